import random
import threading

import pytest

from gooseberryquay.ids import EntryId
from gooseberryquay.machines.control_budget import ControlBudget
from gooseberryquay.zones.configuration_sync_timing import ConfigurationSyncTiming
from gooseberryquay.zones.local_configuration import LocalConfiguration
from gooseberryquay.zones.outage_gossip import OutageGossip
from gooseberryquay.zones.outage_sketch import ROUND_S
from gooseberryquay.zones.platform_reachability import PlatformReachability


@pytest.fixture
def budget():
    # Standing still, it is not filled again.
    return ControlBudget(clock=lambda: 0.0)


@pytest.fixture
def reachability():
    return PlatformReachability(EntryId("entry-0"), member_memory_s=600.0)


@pytest.fixture
def spread(reachability, budget):
    return OutageGossip(
        peers=None,
        held=LocalConfiguration(),
        reachability=reachability,
        timing=ConfigurationSyncTiming(),
        chooser=random.Random(1),
        on_report=lambda: None,
        budget=budget,
    )


def test_reports_of_an_outage_give_way_only_after_the_first_round(spread, reachability, budget):
    budget.spend(1_000_000)
    reachability.mark(is_unreachable=True)
    first_s = [spread._interval_s(100.0 + step) for step in range(int(ROUND_S))]
    later_s = spread._interval_s(101.0 + ROUND_S)
    assert set(first_s) == {0.5} and later_s == 1.0


def test_next_outage_is_told_fast_again(spread, reachability, budget):
    budget.spend(1_000_000)
    for began_at_s in (100.0, 200.0):
        reachability.mark(is_unreachable=True)
        assert spread._interval_s(began_at_s) == 0.5
        assert spread._interval_s(began_at_s + 2 * ROUND_S) == 1.0
        reachability.mark(is_unreachable=False)
        spread._interval_s(began_at_s + 3 * ROUND_S)


def test_reports_go_on_fast_where_bytes_are_left(spread, reachability):
    reachability.mark(is_unreachable=True)
    spread._interval_s(100.0)
    assert spread._interval_s(101.0 + ROUND_S) == 0.5


def test_member_that_leaves_while_members_are_listed_is_not_put_back(reachability):
    leaver = EntryId("entry-1")
    leaving = threading.Thread(target=reachability.forget_member, args=(leaver,))

    def list_members():
        leaving.start()
        leaving.join(timeout=0.2)
        return [leaver]

    reachability.see_members(list_members)
    leaving.join()
    assert reachability.members() == (EntryId("entry-0"),)


def test_peer_that_has_not_heard_of_a_leave_does_not_bring_the_leaver_back(reachability):
    leaver, other = EntryId("entry-1"), EntryId("entry-2")
    reachability.see_members(lambda: [leaver])
    reachability.forget_member(leaver)
    reachability.hear_of_members([leaver, other])
    assert set(reachability.members()) == {EntryId("entry-0"), other}
    reachability.see_members(lambda: [leaver])
    assert leaver in reachability.members()
