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
    ENTRY_NAMES,
    HOST,
    LONG_TIMEOUT_S,
    make_declaration,
    make_upstream,
    zone_back,
    zone_out,
)
from gooseberryquay.zones.watcher_choice import choose_watchers


def test_first_configuration_is_created_once(fleet, store):
    fleet.add(*ENTRY_NAMES)
    assert fleet.wait_for_revision(1, LONG_TIMEOUT_S)
    stored = store.read().unwrap()
    assert stored.configuration.revision == stored.version == 1
    assert set(fleet.revisions()) == {1}


def test_change_is_in_force_at_eight_entries_within_the_bound(fleet, store):
    fleet.add(*ENTRY_NAMES)
    assert fleet.wait_for(fleet.is_fresh, LONG_TIMEOUT_S)
    assert store.apply(zone_out(), "op").is_ok()
    assert fleet.wait_for_revision(2, 5.0)
    for node in fleet.nodes.values():
        assert not node.keeper.configuration().may_get_work(make_upstream("yield-0"))


def test_large_declaration_reaches_every_entry(fleet, store):
    fleet.add(*ENTRY_NAMES[:4])
    assert fleet.wait_for_revision(1, LONG_TIMEOUT_S)
    large = make_declaration(4800)
    assert store.apply(ReplaceDeclaration(declaration=large), "op").is_ok()
    assert fleet.wait_for_revision(2, LONG_TIMEOUT_S)
    assert all(n.keeper.configuration().declaration == large for n in fleet.nodes.values())


def test_only_watchers_query_the_platform_while_it_is_available(platform, store):
    timing = ConfigurationSyncTiming(freshness_bound_s=60.0)
    fleet = KeeperFleet(Address(HOST, platform.port), make_declaration(), timing, 0.1)
    try:
        fleet.add(*ENTRY_NAMES)
        assert fleet.wait_for_revision(1, LONG_TIMEOUT_S)
        reads = platform.counts().calls(CallKind.READ, "config")
        for revision in range(2, 8):
            change = zone_out() if revision % 2 == 0 else zone_back()
            assert store.apply(change, "op").is_ok()
            assert fleet.wait_for_revision(revision, LONG_TIMEOUT_S)
        # For each change, the operator reads the current object and the snapshot.
        assert platform.counts().calls(CallKind.READ, "config") - reads <= 12 + len(ENTRY_NAMES)
    finally:
        fleet.stop()


def test_checks_after_a_pushed_change_do_not_read_the_object_again(platform, store):
    timing = ConfigurationSyncTiming(freshness_bound_s=1.0, watch_timeout_s=0.3)
    fleet = KeeperFleet(Address(HOST, platform.port), make_declaration(), timing, 3600.0)
    try:
        fleet.add(*ENTRY_NAMES)
        assert fleet.wait_for(fleet.is_fresh, LONG_TIMEOUT_S)
        assert store.apply(zone_out(), "op").is_ok()
        assert fleet.wait_for_revision(2, LONG_TIMEOUT_S)
        object_bytes = len(store.read().unwrap().document.model_dump_json())
        before = platform.counts()
        assert fleet.wait_for(
            lambda: platform.counts().calls(CallKind.WATCH) > before.calls(CallKind.WATCH) + 50,
            LONG_TIMEOUT_S,
        )
        read_bytes = platform.counts().body_bytes(CallKind.WATCH)
        assert read_bytes - before.body_bytes(CallKind.WATCH) <= 2 * object_bytes
    finally:
        fleet.stop()


@pytest.mark.parametrize(
    ("fan_out", "heartbeat_interval_s"), [(3, 3600.0), (0, 0.1)], ids=["push", "pull"]
)
def test_push_and_pull_each_reach_all_entries_alone(platform, store, fan_out, heartbeat_interval_s):
    timing = ConfigurationSyncTiming(freshness_bound_s=3600.0, fan_out=fan_out)
    address = Address(HOST, platform.port)
    fleet = KeeperFleet(address, make_declaration(), timing, heartbeat_interval_s)
    try:
        fleet.add(*ENTRY_NAMES[:4])
        assert fleet.wait_for_revision(1, LONG_TIMEOUT_S)
        assert store.apply(zone_out(), "op").is_ok()
        assert fleet.wait_for_revision(2, LONG_TIMEOUT_S)
    finally:
        fleet.stop()


def test_stale_object_of_the_platform_never_decreases_the_revision(fleet, store, platform):
    fleet.add(*ENTRY_NAMES[:3])
    assert fleet.wait_for_revision(1, LONG_TIMEOUT_S)
    assert store.apply(zone_out(), "op").is_ok()
    assert fleet.wait_for_revision(2, LONG_TIMEOUT_S)
    platform.set_faults(PlatformFaults(stale_prefix="config/"))
    fleet.add("late")
    late = fleet.nodes["late"].keeper
    assert fleet.wait_for(lambda: late.configuration() is not None, LONG_TIMEOUT_S)
    assert set(fleet.revisions()) == {2}


def test_object_rewritten_with_an_older_revision_is_ignored(fleet, store, client):
    fleet.add(*ENTRY_NAMES[:3])
    assert fleet.wait_for_revision(1, LONG_TIMEOUT_S)
    old = client.read(CURRENT_KEY).unwrap().value
    store.apply(zone_out(), "op")
    assert fleet.wait_for_revision(2, LONG_TIMEOUT_S)
    client.write(CURRENT_KEY, old)
    # A response with an older revision does not confirm the configuration.
    keepers = [node.keeper for node in fleet.nodes.values()]
    assert fleet.wait_for(lambda: not any(each.is_fresh() for each in keepers), LONG_TIMEOUT_S)
    assert set(fleet.revisions()) == {2}


def test_request_queued_at_a_paused_entry_does_not_confirm_the_configuration(fleet):
    fleet.add(*ENTRY_NAMES[:2])
    assert fleet.wait_for(fleet.is_fresh, LONG_TIMEOUT_S)
    fleet.cut(frozenset(ENTRY_NAMES[:1]))
    isolated, other = (fleet.nodes[name] for name in ENTRY_NAMES[:2])
    assert fleet.wait_for(lambda: not isolated.keeper.is_fresh(), LONG_TIMEOUT_S)
    client = HttpClient(HOST, isolated.port)
    sender = other.peers.this_entry()
    push = PushChanges(sender=sender, revision=other.keeper.revision(), version=0, changes=())
    assert client.send("POST", CHANGES_PATH, push.model_dump_json().encode()).is_ok()
    exchange = OutageExchange(
        revision=other.keeper.revision(),
        confirmed_age_s=0.0,
        round=OutageRound(number=0, bits="0"),
    )
    assert client.send("POST", OUTAGE_PATH, exchange.model_dump_json().encode()).is_ok()
    assert not isolated.keeper.is_fresh()


def test_watchers_are_few_and_independent_of_the_member_order(fleet):
    fleet.add(*ENTRY_NAMES)
    live = next(iter(fleet.nodes.values())).peers.live()
    chosen = choose_watchers(live, 2)
    assert len(chosen) == 2
    assert chosen == choose_watchers(tuple(reversed(live)), 2)


def test_entry_creates_no_configuration_while_its_peers_have_one(fleet, store, client):
    fleet.add(*ENTRY_NAMES[:2])
    assert fleet.wait_for_revision(1, LONG_TIMEOUT_S)
    assert store.apply(zone_out(), "op").is_ok()
    assert fleet.wait_for_revision(2, LONG_TIMEOUT_S)
    stored = client.read(CURRENT_KEY).unwrap()
    assert client.delete(CURRENT_KEY, stored.version).is_ok()
    fleet.add("late")
    assert fleet.wait_for(lambda: fleet.nodes["late"].keeper.revision() == 2, LONG_TIMEOUT_S)
    assert ConfigurationStore(client).read().is_err()
    assert client.read(CURRENT_KEY) == Ok(None)
