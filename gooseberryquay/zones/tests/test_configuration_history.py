import random
import threading
import time
from dataclasses import dataclass, field

import pytest

from gooseberryquay.contracts import Address
from gooseberryquay.links.platform_client import PlatformClient
from gooseberryquay.standins.platform_faults import LostAnswers, Outage, PlatformFaults
from gooseberryquay.zones.configuration_document import CURRENT_KEY
from gooseberryquay.zones.configuration_failure import ChangeUndecided, ConfigurationConflict
from gooseberryquay.zones.configuration_store import ConfigurationStore
from gooseberryquay.zones.tests.builders import HOST, LONG_TIMEOUT_S, drain, zone_back, zone_out

ENTRY_NAMES = tuple(f"entry-{index}" for index in range(5))
STEPS = 30
STEP_WAIT_S = 0.1


@dataclass
class History:
    accepted: dict = field(default_factory=dict)
    undecided: list = field(default_factory=list)
    decreases: list = field(default_factory=list)


class Observer(threading.Thread):
    def __init__(self, fleet, history):
        super().__init__(daemon=True)
        self._fleet = fleet
        self._history = history
        self._highest_of_node = {}
        self.is_done = False

    def run(self):
        while not self.is_done:
            for name, node in list(self._fleet.nodes.items()):
                revision = node.keeper.revision()
                highest = self._highest_of_node.get(node, 0)
                if revision < highest:
                    self._history.decreases.append((name, highest, revision))
                self._highest_of_node[node] = max(highest, revision)
            time.sleep(0.002)


def _random_change(rng):
    return rng.choice([zone_out(), zone_back(), zone_out("sask-b"), drain("yield-0")])


def _random_faults(rng):
    return rng.choice(
        [
            PlatformFaults(),
            PlatformFaults(),
            PlatformFaults(outage=Outage.REFUSE),
            PlatformFaults(outage=Outage.DROP),
            PlatformFaults(delay_s=0.1),
            PlatformFaults(stale_prefix=CURRENT_KEY),
            PlatformFaults(
                lost_answers=LostAnswers(
                    probability=0.5,
                    seed=rng.randrange(1000),
                    is_applied=rng.choice([True, False]),
                )
            ),
        ]
    )


def _apply_random_change(store, rng, history):
    applied = store.apply(_random_change(rng), "op")
    if applied.is_ok():
        configuration = applied.unwrap()
        assert configuration.revision not in history.accepted
        history.accepted[configuration.revision] = configuration
        return
    failure = applied.unwrap_err()
    if isinstance(failure, ChangeUndecided):
        history.undecided.append(failure.change_id)
    if isinstance(failure, ConfigurationConflict):
        # The single operator can only conflict with its own earlier change, after a stale read.
        for winner in failure.winners:
            is_known = winner.revision in history.accepted
            assert is_known or winner.change_id in history.undecided


def _restart(fleet, rng):
    name = rng.choice(ENTRY_NAMES)
    fleet.remove(name)
    fleet.add(name)


@pytest.mark.parametrize("seed", [1, 2])
def test_revisions_never_decrease_and_accepted_ones_come_into_force(platform, fleet, seed):
    rng = random.Random(seed)
    client = PlatformClient(Address(HOST, platform.port), read_timeout_s=1.0)
    store = ConfigurationStore(client, commit_timeout_s=0.4)
    history = History()
    fleet.add(*ENTRY_NAMES)
    assert fleet.wait_for_revision(1, LONG_TIMEOUT_S)
    observer = Observer(fleet, history)
    observer.start()
    for _ in range(STEPS):
        action = rng.choice(["operate", "operate", "faults", "restart"])
        match action:
            case "operate":
                _apply_random_change(store, rng, history)
            case "faults":
                platform.set_faults(_random_faults(rng))
            case "restart":
                _restart(fleet, rng)
        time.sleep(STEP_WAIT_S)
    platform.set_faults(PlatformFaults())
    final_configuration = store.read().unwrap().configuration
    assert final_configuration.revision >= max(history.accepted, default=1)
    assert final_configuration.revision - 1 <= len(history.accepted) + len(history.undecided)
    assert fleet.wait_for_revision(final_configuration.revision, LONG_TIMEOUT_S)
    assert observer.is_alive()
    observer.is_done = True
    observer.join()
    assert history.decreases == []
    for node in fleet.nodes.values():
        assert node.keeper.configuration() == final_configuration
    assert len(history.accepted) >= 3
