"""The list of upstreams across drains, restarts, malformed entries and outages."""

import time

from gooseberryquay.serving.decision_log import DecisionLog
from gooseberryquay.serving.list_readers import UpstreamListReader, ZoneListReader
from gooseberryquay.serving.object_source import Listing, StoredObject
from gooseberryquay.serving.tests.builders import (
    MODEL,
    OTHER_ZONE,
    ZONE,
    FakeClock,
    build_record,
)
from gooseberryquay.serving.upstream_record import UpstreamState
from gooseberryquay.serving.upstream_registry import UpstreamRegistry

GRACE_S = 0.05
RECORDS = {
    "ready": build_record("engine-1"),
    "draining": build_record("engine-1", state=UpstreamState.DRAINING),
    "malformed": None,
}


def _object(name, state="ready", is_deleted=False):
    return StoredObject(name, 7, {"state": state}, is_deleted)


def _reader():
    registry = UpstreamRegistry()
    left = []
    registry.on_leaving(left.append)

    def decode(stored):
        known = RECORDS[stored.content["state"]]
        return known and build_record(stored.name, state=known.state)

    return UpstreamListReader(registry, decode, DecisionLog(), GRACE_S), registry, left


def _usable(registry):
    return {each.record.id for each in registry.usable(MODEL)}


def test_draining_upstream_gets_no_more_work_and_is_reported_once():
    reader, registry, left = _reader()
    reader.read_change(_object("engine-1"), False)
    reader.read_change(_object("engine-1", "draining"), False)
    reader.read_change(_object("engine-1", is_deleted=True), False)
    assert _usable(registry) == set()
    assert left == ["engine-1"]


def test_upstream_missing_from_a_listing_is_removed():
    reader, registry, left = _reader()
    reader.read_listing(Listing((_object("engine-1"), _object("engine-2")), 1), False)
    reader.read_listing(Listing((_object("engine-2"),), 2), False)
    assert _usable(registry) == {"engine-2"}
    assert left == ["engine-1"]


def test_malformed_list_entry_removes_only_its_upstream():
    reader, registry, _ = _reader()
    reader.read_listing(Listing((_object("engine-1"), _object("engine-2")), 1), False)
    reader.read_change(_object("engine-1", "malformed"), False)
    assert _usable(registry) == {"engine-2"}


def test_list_entry_that_expired_during_an_outage_may_reappear():
    reader, registry, left = _reader()
    reader.read_listing(Listing((_object("engine-1"), _object("engine-2")), 1), False)
    reader.read_listing(Listing((), 2), True)
    assert _usable(registry) == {"engine-1", "engine-2"}
    reader.read_change(_object("engine-1"), True)
    time.sleep(3 * GRACE_S)
    assert _usable(registry) == {"engine-1"}
    assert left == ["engine-2"]


def test_restart_under_the_same_id_is_a_new_incarnation():
    clock = FakeClock()
    registry = UpstreamRegistry(clock)
    registry.apply_record(build_record("engine-1", born_ms=1))
    clock.now_s += 50.0
    registry.apply_record(build_record("engine-1", born_ms=2, cold_left_s=3.0))
    known = registry.find("engine-1")
    assert known.first_seen_at_s == clock.now_s
    assert known.cold_until_s == clock.now_s + 3.0


def test_zone_out_of_service_gets_no_work_until_it_is_restored():
    registry = UpstreamRegistry()
    registry.apply_record(build_record("engine-1"))
    registry.apply_record(build_record("engine-2", zone=OTHER_ZONE))
    reader = ZoneListReader(registry, DecisionLog())
    reader.read_listing(Listing((_object(ZONE),), 1), False)
    assert _usable(registry) == {"engine-2"}
    reader.read_change(_object(OTHER_ZONE), False)
    assert _usable(registry) == set()
    reader.read_change(_object(ZONE, is_deleted=True), False)
    assert _usable(registry) == {"engine-1"}
