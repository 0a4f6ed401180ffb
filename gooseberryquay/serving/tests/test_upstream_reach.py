"""Whether an entry, rather than its upstreams, is cut off, and which peer carries its requests."""

import contextlib
import random

import pytest

from gooseberryquay.contracts.fields import Address
from gooseberryquay.ids import EntryId, Incarnation, ZoneId
from gooseberryquay.machines.peer import Peer
from gooseberryquay.serving.decision_log import DecisionLog
from gooseberryquay.serving.ports import ProbeOutcome
from gooseberryquay.serving.relay_peers import AVOID_S, RelayPeers
from gooseberryquay.serving.tests.builders import FakeClock, build_record
from gooseberryquay.serving.upstream_reach import LATE_S, SILENCE_S, TRUST_S, UpstreamReach

# "A sound engine may fall silent for a second or so and go on."
USUAL_SILENCE_S = 1.0
ENGINES = ("i-1", "i-2", "i-3")
SERVICES = ("app-1", "app-2")


class _Fleet:
    """Upstreams of two services, of which some are reached."""

    def __init__(self):
        self.clock = FakeClock(100.0)
        self.reached = {*ENGINES, *SERVICES}
        # What the others do: with a delay, upstreams that are silent answer after it.
        self.unreached = ProbeOutcome.UNOPENED
        self.answer_delay_s = float("inf")
        self.probe_lasts_s = 0.0
        self.probed = []
        self.changes = []
        self.records = [build_record(each) for each in ENGINES]
        self.records += [build_record(each, service="ledger") for each in SERVICES]
        self.reach = UpstreamReach(
            upstreams=lambda: self.records,
            probe=self._probe,
            log=DecisionLog(),
            rng=random.Random(1),
            on_change=self.changes.append,
            clock=self.clock,
        )

    def _probe(self, upstream, answer_timeout_s):
        self.probed.append(upstream.id)
        self.clock.now_s += self.probe_lasts_s
        if upstream.id in self.reached or self.answer_delay_s <= answer_timeout_s:
            return ProbeOutcome.ANSWERED
        return self.unreached

    def pass_time(self, duration_s):
        self.clock.now_s += duration_s
        self.reach.check()


@pytest.fixture
def fleet():
    return _Fleet()


def test_entry_that_reaches_none_of_several_upstreams_is_cut_off(fleet):
    fleet.reached.clear()
    fleet.reach.record_failure("i-1")
    fleet.reach.check()
    assert not fleet.reach.is_cut_off
    fleet.reach.record_failure("app-1")
    fleet.reach.check()
    assert fleet.reach.is_cut_off
    assert fleet.changes == [True]


def test_upstreams_of_one_service_that_are_all_down_are_no_cut(fleet):
    fleet.reached -= set(ENGINES)
    for each in ENGINES:
        fleet.reach.record_failure(each)
    fleet.reach.check()
    assert not fleet.reach.is_cut_off
    assert set(fleet.probed) & set(SERVICES)


def test_one_upstream_that_is_silent_for_a_second_is_no_cut(fleet):
    fleet.reached.discard("i-1")
    with fleet.reach.waiting():
        fleet.pass_time(SILENCE_S + 0.1)
        assert fleet.probed
        assert not fleet.reach.is_cut_off
        fleet.probed.clear()
        fleet.pass_time(TRUST_S / 2)
    assert fleet.probed == []


def test_answers_of_other_upstreams_cause_no_probe_while_one_request_waits(fleet):
    with fleet.reach.waiting():
        for _ in range(20):
            fleet.reach.record_answer()
            fleet.pass_time(SILENCE_S / 2)
    assert fleet.probed == []


def test_idle_entry_probes_nothing(fleet):
    fleet.pass_time(60.0)
    assert fleet.probed == []


def test_entry_that_was_frozen_is_not_cut_off(fleet):
    with fleet.reach.waiting():
        fleet.pass_time(30.0)
    assert not fleet.reach.is_cut_off


def test_silence_of_all_upstreams_is_a_cut_within_a_second(fleet):
    fleet.reached.clear()
    with fleet.reach.waiting():
        fleet.pass_time(SILENCE_S + 0.1)
    assert fleet.reach.is_cut_off


def test_cut_ends_with_the_first_upstream_that_is_reached(fleet):
    fleet.reached.clear()
    fleet.reach.record_failure("i-1")
    fleet.reach.record_failure("i-2")
    fleet.reach.check()
    fleet.reached.update(ENGINES, SERVICES)
    fleet.reach.check()
    assert not fleet.reach.is_cut_off
    assert fleet.changes == [True, False]
    # Old failures do not count any more.
    fleet.probed.clear()
    fleet.pass_time(TRUST_S + 0.1)
    assert fleet.probed == []


def test_idle_connections_are_used_only_if_some_connection_lives_on(fleet):
    assert fleet.reach.may_use_idle_connections()
    fleet.reached.clear()
    fleet.reach.record_failure("i-1")
    fleet.reach.record_failure("i-2")
    fleet.reach.check()
    assert not fleet.reach.may_use_idle_connections()
    fleet.clock.now_s += 0.1
    fleet.reach.record_answer()
    assert fleet.reach.may_use_idle_connections()


def _cut_behind_open_links(fleet):
    fleet.reached.clear()
    fleet.unreached = ProbeOutcome.UNANSWERED
    with fleet.reach.waiting():
        fleet.pass_time(SILENCE_S + 0.1)


def test_connections_that_open_without_an_answer_are_no_reach(fleet):
    _cut_behind_open_links(fleet)
    assert fleet.reach.is_cut_off
    fleet.pass_time(10.0)
    assert fleet.reach.is_cut_off
    fleet.reached.add("app-1")
    fleet.pass_time(0.3)
    assert fleet.changes == [True, False]


def test_upstreams_that_reset_all_requests_are_a_cut(fleet):
    fleet.reached.clear()
    fleet.unreached = ProbeOutcome.UNANSWERED
    fleet.reach.record_failure("i-1")
    fleet.reach.record_failure("app-1")
    fleet.reach.check()
    assert fleet.reach.is_cut_off


def test_upstreams_that_reset_new_connections_and_answer_on_others_are_no_cut(fleet):
    """Upstreams with all connections in use look like this."""
    fleet.reached.clear()
    fleet.unreached = ProbeOutcome.UNANSWERED
    for _ in range(20):
        fleet.reach.record_failure("i-1")
        fleet.reach.record_failure("app-1")
        fleet.reach.record_answer()
        fleet.pass_time(SILENCE_S / 2)
    assert fleet.probed
    assert not fleet.changes


def test_upstreams_that_are_all_silent_for_a_second_are_no_cut(fleet):
    fleet.answer_delay_s = USUAL_SILENCE_S
    _cut_behind_open_links(fleet)
    assert fleet.probed
    assert not fleet.changes


def test_entry_that_stood_still_during_its_probes_is_not_cut_off(fleet):
    fleet.probe_lasts_s = LATE_S + USUAL_SILENCE_S
    _cut_behind_open_links(fleet)
    assert fleet.probed
    assert not fleet.changes


@pytest.mark.parametrize("unreached", [ProbeOutcome.UNOPENED, ProbeOutcome.UNANSWERED])
def test_services_that_are_down_next_to_one_that_answers_are_no_cut(fleet, unreached):
    fleet.reached = {"app-2"}
    fleet.records = [each for each in fleet.records if each.id != "app-1"]
    fleet.unreached = unreached
    with fleet.reach.waiting():
        fleet.pass_time(SILENCE_S + 0.1)
    assert fleet.probed
    assert not fleet.changes


def test_cut_of_a_site_with_one_upstream_is_not_guessed(fleet):
    fleet.records = fleet.records[:1]
    fleet.reached.clear()
    with fleet.reach.waiting():
        fleet.pass_time(SILENCE_S + 0.1)
    assert not fleet.reach.is_cut_off


class _Members:
    def __init__(self, zones):
        self._peers = [
            Peer(
                id=EntryId(f"e-{number}"),
                incarnation=Incarnation(1),
                zone=ZoneId(zone),
                control_address=Address("127.0.0.1", 1),
            )
            for number, zone in enumerate(zones)
        ]

    def this_entry(self):
        return self._peers[0]

    def live(self):
        return tuple(self._peers)


def _relay_peers(*zones):
    clock = FakeClock(100.0)
    log = DecisionLog()
    return RelayPeers(_Members(zones), ZoneId(zones[0]), log, random.Random(1), clock), clock


def test_peers_of_the_zone_carry_requests_first_and_those_of_others_share_the_load():
    peers, _ = _relay_peers("zone-a", "zone-a", "zone-b", "zone-b")
    chosen = []
    with contextlib.ExitStack() as carried:
        for number in range(30):
            chosen.append(peers.choose(()).id)
            carried.enter_context(peers.carrying(chosen[-1], f"r-{number}", "i-1"))
    assert chosen[0] == "e-1"
    assert {chosen.count(each) for each in ("e-1", "e-2", "e-3")} <= {8, 9, 10, 11, 12, 13}


def test_peer_that_carries_nothing_is_left_for_a_while():
    peers, clock = _relay_peers("zone-a", "zone-a", "zone-b")
    peers.avoid("e-1")
    assert peers.choose(()).id == "e-2"
    peers.avoid("e-2")
    assert peers.choose(()) is None
    clock.now_s += AVOID_S + 0.1
    assert peers.choose(()).id == "e-1"


def test_entry_without_peers_has_none_to_send_through():
    peers, _ = _relay_peers("zone-a")
    assert peers.choose(()) is None
