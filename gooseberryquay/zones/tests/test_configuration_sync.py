import pytest
from result import Ok

from gooseberryquay.contracts import Address
from gooseberryquay.links.http_client import HttpClient
from gooseberryquay.standins.keeper_fleet import KeeperFleet
from gooseberryquay.standins.platform_faults import PlatformFaults
from gooseberryquay.standins.platform_limits import CallKind
from gooseberryquay.zones.configuration_change import ReplaceDeclaration
from gooseberryquay.zones.configuration_document import CURRENT_KEY
from gooseberryquay.zones.configuration_messages import (
    CHANGES_PATH,
    OUTAGE_PATH,
    OutageExchange,
    PushChanges,
)
from gooseberryquay.zones.configuration_store import ConfigurationStore
from gooseberryquay.zones.configuration_sync_timing import ConfigurationSyncTiming
from gooseberryquay.zones.outage_sketch import OutageRound
from gooseberryquay.zones.tests.builders import (
    EIGHT,
    HOST,
    LONG_S,
    make_declaration,
    make_upstream,
    zone_back,
    zone_out,
)
from gooseberryquay.zones.watcher_choice import choose_watchers


def test_first_configuration_is_created_once(fleet, store):
    fleet.add(*EIGHT)
    assert fleet.wait_for_revision(1, LONG_S)
    stored = store.read().unwrap()
    assert stored.configuration.revision == stored.version == 1
    assert set(fleet.revisions()) == {1}


def test_change_is_in_force_at_eight_entries_within_the_bound(fleet, store):
    fleet.add(*EIGHT)
    assert fleet.wait_for(fleet.is_fresh, LONG_S)
    assert store.apply(zone_out(), "op").is_ok()
    assert fleet.wait_for_revision(2, 5.0)
    for node in fleet.nodes.values():
        assert not node.keeper.configuration().may_get_work(make_upstream("yield-0"))


def test_large_declaration_reaches_every_entry(fleet, store):
    fleet.add(*EIGHT[:4])
    assert fleet.wait_for_revision(1, LONG_S)
    big = make_declaration(4800)
    assert store.apply(ReplaceDeclaration(declaration=big), "op").is_ok()
    assert fleet.wait_for_revision(2, LONG_S)
    assert all(n.keeper.configuration().declaration == big for n in fleet.nodes.values())


def test_only_watchers_ask_the_platform_while_all_is_well(platform, store):
    timing = ConfigurationSyncTiming(freshness_bound_s=60.0)
    fleet = KeeperFleet(Address(HOST, platform.port), make_declaration(), timing, 0.1)
    try:
        fleet.add(*EIGHT)
        assert fleet.wait_for_revision(1, LONG_S)
        reads = platform.counts().calls(CallKind.READ, "config")
        for revision in range(2, 8):
            change = zone_out() if revision % 2 == 0 else zone_back()
            assert store.apply(change, "op").is_ok()
            assert fleet.wait_for_revision(revision, LONG_S)
        # The operator reads the current object and the snapshot for each change.
        assert platform.counts().calls(CallKind.READ, "config") - reads <= 12 + len(EIGHT)
    finally:
        fleet.stop()


def test_own_checks_after_a_pushed_change_do_not_read_the_object_again(platform, store):
    timing = ConfigurationSyncTiming(freshness_bound_s=1.0, watch_timeout_s=0.3)
    fleet = KeeperFleet(Address(HOST, platform.port), make_declaration(), timing, 3600.0)
    try:
        fleet.add(*EIGHT)
        assert fleet.wait_for(fleet.is_fresh, LONG_S)
        assert store.apply(zone_out(), "op").is_ok()
        assert fleet.wait_for_revision(2, LONG_S)
        object_bytes = len(store.read().unwrap().document.model_dump_json())
        before = platform.counts()
        assert fleet.wait_for(
            lambda: platform.counts().calls(CallKind.WATCH) > before.calls(CallKind.WATCH) + 50,
            LONG_S,
        )
        read_bytes = platform.counts().body_bytes(CallKind.WATCH)
        assert read_bytes - before.body_bytes(CallKind.WATCH) <= 2 * object_bytes
    finally:
        fleet.stop()


@pytest.mark.parametrize(
    ("fan_out", "heartbeat_interval_s"), [(3, 3600.0), (0, 0.1)], ids=["push", "pull"]
)
def test_push_and_pull_each_reach_everybody_alone(platform, store, fan_out, heartbeat_interval_s):
    timing = ConfigurationSyncTiming(freshness_bound_s=3600.0, fan_out=fan_out)
    address = Address(HOST, platform.port)
    fleet = KeeperFleet(address, make_declaration(), timing, heartbeat_interval_s)
    try:
        fleet.add(*EIGHT[:4])
        assert fleet.wait_for_revision(1, LONG_S)
        assert store.apply(zone_out(), "op").is_ok()
        assert fleet.wait_for_revision(2, LONG_S)
    finally:
        fleet.stop()


def test_older_object_of_the_platform_never_steps_back(fleet, store, platform):
    fleet.add(*EIGHT[:3])
    assert fleet.wait_for_revision(1, LONG_S)
    assert store.apply(zone_out(), "op").is_ok()
    assert fleet.wait_for_revision(2, LONG_S)
    platform.set_faults(PlatformFaults(stale_prefix="config/"))
    fleet.add("late")
    late = fleet.nodes["late"].keeper
    assert fleet.wait_for(lambda: late.configuration() is not None, LONG_S)
    assert set(fleet.revisions()) == {2}


def test_object_rewritten_with_an_older_revision_is_ignored(fleet, store, link):
    fleet.add(*EIGHT[:3])
    assert fleet.wait_for_revision(1, LONG_S)
    old = link.read(CURRENT_KEY).unwrap().value
    store.apply(zone_out(), "op")
    assert fleet.wait_for_revision(2, LONG_S)
    link.write(CURRENT_KEY, old)
    # An answer with an older revision confirms nothing.
    keepers = [node.keeper for node in fleet.nodes.values()]
    assert fleet.wait_for(lambda: not any(each.is_fresh() for each in keepers), LONG_S)
    assert set(fleet.revisions()) == {2}


def test_request_that_waited_at_a_paused_entry_confirms_nothing(fleet):
    fleet.add(*EIGHT[:2])
    assert fleet.wait_for(fleet.is_fresh, LONG_S)
    fleet.cut(frozenset(EIGHT[:1]))
    cut, other = (fleet.nodes[name] for name in EIGHT[:2])
    assert fleet.wait_for(lambda: not cut.keeper.is_fresh(), LONG_S)
    client = HttpClient(HOST, cut.port)
    sender = other.peers.this_entry()
    push = PushChanges(sender=sender, revision=other.keeper.revision(), version=0, changes=())
    assert client.send("POST", CHANGES_PATH, push.model_dump_json().encode()).is_ok()
    exchange = OutageExchange(
        revision=other.keeper.revision(),
        confirmed_age_s=0.0,
        round=OutageRound(number=0, bits="0"),
    )
    assert client.send("POST", OUTAGE_PATH, exchange.model_dump_json().encode()).is_ok()
    assert not cut.keeper.is_fresh()


def test_watchers_are_few_and_the_same_in_every_view(fleet):
    fleet.add(*EIGHT)
    live = next(iter(fleet.nodes.values())).peers.live()
    chosen = choose_watchers(live, 2)
    assert len(chosen) == 2
    assert chosen == choose_watchers(tuple(reversed(live)), 2)


def test_entry_creates_nothing_while_its_peers_hold_a_configuration(fleet, store, link):
    fleet.add(*EIGHT[:2])
    assert fleet.wait_for_revision(1, LONG_S)
    assert store.apply(zone_out(), "op").is_ok()
    assert fleet.wait_for_revision(2, LONG_S)
    stored = link.read(CURRENT_KEY).unwrap()
    assert link.delete(CURRENT_KEY, stored.version).is_ok()
    fleet.add("late")
    assert fleet.wait_for(lambda: fleet.nodes["late"].keeper.revision() == 2, LONG_S)
    assert ConfigurationStore(link).read().is_err()
    assert link.read(CURRENT_KEY) == Ok(None)
