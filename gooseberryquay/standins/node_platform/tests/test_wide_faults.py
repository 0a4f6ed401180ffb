"""Wide faults are drawn again by the same seed, are recorded, and end with their healing."""

import math
import random

import pytest

from gooseberryquay.contracts.fields import Address
from gooseberryquay.standins.fault_proxy import FaultProxy
from gooseberryquay.standins.node_platform.call_result import CallEnd
from gooseberryquay.standins.node_platform.caller_connection import CallerConnection
from gooseberryquay.standins.node_platform.entry_history import EntryHistory
from gooseberryquay.standins.node_platform.site import Site
from gooseberryquay.standins.node_platform.upstream_server import AnswerFaults
from gooseberryquay.standins.node_platform.wide_faults import WideFaults

DRAWS = 60
KINDS = {"fault_caller_link", "fault_upstream_link", "fault_answers", "stop_in_series"}
TIMEOUT_S = 3.0


class Ports:
    """Name of an entry that is never started."""

    def __init__(self, name):
        self.name = name


class IdleEntry:
    """Entry without a process, whose callers reach an upstream directly."""

    def __init__(self, name, port):
        self.ports = Ports(name)
        self.caller_proxy = FaultProxy(Address("127.0.0.1", port))
        self.caller_proxy.start()
        self.history = EntryHistory()
        self.stops = []

    def restart(self, how):
        """Record a stop."""
        self.stops.append(how)


@pytest.fixture
def site():
    made = Site(random.Random(1), has_proxies=True)
    made.start(engines=2, services=2)
    yield made
    made.stop()


@pytest.fixture
def entries(site):
    port = next(iter(site.services.values())).port
    made = [IdleEntry(f"entry-{number}", port) for number in range(3)]
    yield made
    for each in made:
        each.caller_proxy.stop()


def _inject_all(site, entries, seed):
    scheduled = []
    faults = WideFaults(
        random.Random(seed), site, entries, lambda wait_s, act: scheduled.append((wait_s, act))
    )
    return [faults.inject() for _ in range(DRAWS)], scheduled, faults


def test_seed_draws_each_kind_of_fault_and_draws_them_again(site, entries, monkeypatch):
    monkeypatch.setattr("time.sleep", lambda _s: None)
    names, scheduled, faults = _inject_all(site, entries, seed=1)
    assert {each.partition("(")[0] for each in names if each} == KINDS
    for _, act in scheduled:
        act()
    faults.heal()
    again, _, _ = _inject_all(site, entries, seed=1)
    assert again == names


def test_healing_ends_each_fault_and_its_excuse(site, entries):
    names, scheduled, faults = _inject_all(site, entries, seed=2)
    begun = [each for entry in entries for each in entry.history.disruptions]
    assert begun and all(each.until_s == math.inf for each in begun)
    for _, act in scheduled:
        act()
    faults.heal()
    assert all(each.until_s < math.inf for each in begun)
    assert {each.port for each in begun} <= {each.caller_proxy.port for each in entries}
    assert any(each.stops for each in entries)
    assert [each.answer_faults for each in site.upstreams()] == [AnswerFaults()] * 4
    ports = [each.port for each in [*site.proxies.values(), *(e.caller_proxy for e in entries)]]
    for port in ports:
        connection = CallerConnection(port, TIMEOUT_S)
        headers = {"Host": "h", "X-Attempt-Id": "r", "X-Token-Usage": "100,8"}
        assert connection.exchange("/post/r", headers, b"").end is CallEnd.COMPLETE
        connection.close()
