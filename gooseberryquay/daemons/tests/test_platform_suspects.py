"""Crash suspects that entries share through the store of the node platform."""

import time

import pytest

from gooseberryquay.contracts.fields import Address
from gooseberryquay.ids import UpstreamId
from gooseberryquay.links.connection_pool import ConnectionPool
from gooseberryquay.links.platform_client import NO_VERSION, WriteConflict
from gooseberryquay.machines.suspect_messages import (
    DEATHS_MAX,
    Death,
    SuspectRecord,
    SuspectUpdate,
)
from gooseberryquay.machines.suspect_store import MAX_STORED_RECORDS, SuspectStore
from gooseberryquay.machines.suspect_table import SuspectTable
from gooseberryquay.platform.store import StoreClient
from gooseberryquay.platform.store_era import StoreEra
from gooseberryquay.standins.node_platform.store import ObjectStore, StoreAvailability

VALUE_BYTES_MAX = 1048576
ONE, TWO = UpstreamId("i-1/1"), UpstreamId("i-2/1")


@pytest.fixture
def store():
    store = ObjectStore()
    store.start()
    yield store
    store.stop()


@pytest.fixture
def objects(store):
    return StoreClient(ConnectionPool(1.0, 4.0), Address("127.0.0.1", store.port), StoreEra())


def _suspects_of_entry(objects, finished_max=8):
    table = SuspectTable(15.0, 3600.0, finished_max=finished_max)
    return table, SuspectStore(objects, table)


def _record(*upstreams):
    deaths = tuple(Death(upstream=each, at_s=time.time()) for each in upstreams)
    return SuspectRecord(fingerprint="f", deaths=deaths)


def _write(table, store, record):
    store.add(table.merge([record]))
    store.write_pending()


def test_deaths_written_concurrently_by_entries_are_all_kept(objects):
    first, second, third = (
        _suspects_of_entry(objects),
        _suspects_of_entry(objects),
        _suspects_of_entry(objects),
    )
    _write(*first, _record(ONE))
    _write(*second, _record(TWO))
    assert third[1].load()
    assert third[0].get("f").crash_count() == 2


def test_write_with_an_outdated_version_conflicts(objects):
    assert objects.read("suspects/3").unwrap() is None
    version = objects.write("suspects/3", "{}", NO_VERSION).unwrap()
    assert isinstance(objects.write("suspects/3", "{}", NO_VERSION).unwrap_err(), WriteConflict)
    assert objects.write("suspects/3", '{"records": []}', version).unwrap() > version
    assert isinstance(objects.write("suspects/3", "{}", version).unwrap_err(), WriteConflict)


def test_trial_is_claimed_by_one_entry(objects):
    first, second = _suspects_of_entry(objects), _suspects_of_entry(objects)
    for table, _ in (first, second):
        table.merge([_record(ONE)])
    assert first[1].write_if_unchanged(_record(UpstreamId("trial/1")))
    assert not second[1].write_if_unchanged(_record(UpstreamId("trial/2")))


def test_no_trial_is_claimed_while_the_store_is_unavailable(store, objects):
    store.availability = StoreAvailability.REFUSING
    assert not _suspects_of_entry(objects)[1].write_if_unchanged(_record(ONE))


def test_deaths_reported_by_others_do_not_count_against_a_request_that_finished_here(objects):
    table, _ = _suspects_of_entry(objects)
    table.record_finished("f")
    (changed,) = table.merge([_record(ONE, TWO)])
    assert changed.crash_count() == 0


def test_only_the_most_recently_finished_requests_are_remembered(objects):
    table, _ = _suspects_of_entry(objects, finished_max=1)
    table.record_finished("f")
    table.record_finished("g")
    (changed,) = table.merge([_record(ONE)])
    assert changed.crash_count() == 1


def test_largest_object_of_records_is_small_enough_for_the_store():
    deaths = tuple(
        Death(upstream=UpstreamId(f"i-{number:010x}/1775153579315"), at_s=time.time() + number)
        for number in range(DEATHS_MAX)
    )
    records = [
        SuspectRecord(fingerprint=f"part/{number:032x}", deaths=deaths, cleared_until_s=1.5)
        for number in range(MAX_STORED_RECORDS)
    ]
    assert len(SuspectUpdate(records=tuple(records)).model_dump_json()) <= VALUE_BYTES_MAX


def test_record_keeps_only_its_newest_deaths():
    deaths = [Death(upstream=UpstreamId(f"i-{n}/1"), at_s=1000.0 + n) for n in range(100)]
    record = SuspectRecord(fingerprint="f", deaths=(deaths[0],))
    for death in deaths[1:]:
        record = record.merged(SuspectRecord(fingerprint="f", deaths=(death,)), span_s=0.0)
    assert record.deaths == tuple(deaths[-DEATHS_MAX:])
