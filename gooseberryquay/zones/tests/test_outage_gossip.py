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
    # With a frozen clock, the budget is never refilled.
    return ControlBudget(clock=lambda: 0.0)


@pytest.fixture
def reachability():
    return PlatformReachability(EntryId("entry-0"), member_retention_s=600.0)


@pytest.fixture
def gossip(reachability, budget):
    return OutageGossip(
        peers=None,
        local=LocalConfiguration(),
        reachability=reachability,
        timing=ConfigurationSyncTiming(),
        rng=random.Random(1),
        on_report=lambda: None,
        budget=budget,
    )


def test_exchange_rate_drops_only_after_the_first_round(gossip, reachability, budget):
    budget.spend(1_000_000)
    reachability.set_unreachable(is_unreachable=True)
    first_s = [gossip._interval_s(100.0 + step) for step in range(int(ROUND_S))]
    later_s = gossip._interval_s(101.0 + ROUND_S)
    assert set(first_s) == {0.5} and later_s == 1.0


def test_next_outage_is_reported_at_the_full_rate_again(gossip, reachability, budget):
    budget.spend(1_000_000)
    for began_at_s in (100.0, 200.0):
        reachability.set_unreachable(is_unreachable=True)
        assert gossip._interval_s(began_at_s) == 0.5
        assert gossip._interval_s(began_at_s + 2 * ROUND_S) == 1.0
        reachability.set_unreachable(is_unreachable=False)
        gossip._interval_s(began_at_s + 3 * ROUND_S)


def test_exchange_rate_stays_at_the_full_rate_while_the_budget_allows(gossip, reachability):
    reachability.set_unreachable(is_unreachable=True)
    gossip._interval_s(100.0)
    assert gossip._interval_s(101.0 + ROUND_S) == 0.5


def test_member_that_leaves_while_members_are_listed_is_not_added_again(reachability):
    leaver = EntryId("entry-1")
    leaving = threading.Thread(target=reachability.remove_member, args=(leaver,))

    def list_members():
        leaving.start()
        leaving.join(timeout=0.2)
        return [leaver]

    reachability.record_live_members(list_members)
    leaving.join()
    assert reachability.members() == (EntryId("entry-0"),)


def test_stale_peer_does_not_add_a_member_that_left(reachability):
    leaver, other = EntryId("entry-1"), EntryId("entry-2")
    reachability.record_live_members(lambda: [leaver])
    reachability.remove_member(leaver)
    reachability.record_peer_members([leaver, other])
    assert set(reachability.members()) == {EntryId("entry-0"), other}
    reachability.record_live_members(lambda: [leaver])
    assert leaver in reachability.members()
