import json
import threading
import time
from pathlib import Path

import pytest
from result import Err, Ok

from gooseberryquay.ids import EntryId
from gooseberryquay.links.platform_client import PlatformUnreachable, WriteConflict
from gooseberryquay.links.platform_messages import StoredObject
from gooseberryquay.serving.decision_log import DecisionLog
from gooseberryquay.serving.stream_relay import PinnedVersion
from gooseberryquay.serving.stream_versions import (
    READ_INTERVAL_S,
    RECORD_TIME_S,
    STREAM_LIFETIME_S,
    StreamVersions,
    StreamVersionsOptions,
    VersionUnknown,
)
from gooseberryquay.serving.tests.builders import MODEL, FakeClock, build_record, build_registry
from gooseberryquay.serving.tests.witness_builders import DirectWitnesses
from gooseberryquay.serving.version_history import StoredStreams

# What 744db1e writes.
EARLIER_BUILD = (Path(__file__).parent / "stream_versions_744db1e.json").read_text()


class _Store:
    """Keep objects by key, with versions; unreachable on demand."""

    def __init__(self):
        self.objects = {}
        self.is_away = False
        self.call_count = 0
        self.may_write = threading.Event()
        self.may_write.set()

    def put(self, key, value):
        self.objects[key] = StoredObject(key=key, version=1, value=value)

    def list(self, prefix):
        self.call_count += 1
        if self.is_away:
            return Err(PlatformUnreachable("away"))
        return Ok(tuple(self.objects.values()))

    def read(self, key):
        self.call_count += 1
        return Err(PlatformUnreachable("away")) if self.is_away else Ok(self.objects.get(key))

    def write(self, key, value, expected_version=None):
        self.call_count += 1
        self.may_write.wait()
        if self.is_away:
            return Err(PlatformUnreachable("away"))
        held = self.objects.get(key)
        if (held.version if held is not None else 0) != expected_version:
            return Err(WriteConflict(held))
        self.objects[key] = StoredObject(key=key, version=expected_version + 1, value=value)
        return Ok(expected_version + 1)


class _Fleet:
    """Entries that share a store and see one list of engines."""

    def __init__(self):
        self.clock = FakeClock(1000.0)
        self.store = _Store()
        self.registry = build_registry([build_record("i-1", version="v1")])
        self.entries = []
        # None for entries that don't answer.
        self.by_name = {}
        self.is_list_behind = False

    def start(self, name, registry=None, store=None):
        options = StreamVersionsOptions(EntryId(name), is_list_behind=lambda: self.is_list_behind)
        entry = StreamVersions(
            options,
            registry or self.registry,
            store or self.store,
            DecisionLog(),
            self.clock,
            witnesses=DirectWitnesses(name, self.by_name),
        )
        entry.start()
        self.entries.append(entry)
        self.by_name[name] = entry
        return entry

    def end(self, entry):
        entry.stop()
        self.entries.remove(entry)
        self.lose(entry)

    def lose(self, entry):
        """Let peers get no answer of an entry from now on."""
        names = [name for name, each in self.by_name.items() if each is entry]
        self.by_name.update({name: None for name in names})

    def add_newer(self):
        self.clock.now_s += 1.0
        self.registry.apply_record(build_record("i-2", version="v2"))

    def remove_older(self):
        self.registry.remove("i-1")


@pytest.fixture
def fleet():
    fleet = _Fleet()
    yield fleet
    for each in list(fleet.entries):
        fleet.end(each)


def test_stream_is_known_where_it_began(fleet):
    entry = fleet.start("e-1")
    fleet.add_newer()
    entry.record("s-1", MODEL, "v2")
    assert entry.version_of("s-1", MODEL) == "v2"


def test_stream_is_known_at_another_entry_after_the_first_one_ended(fleet):
    first = fleet.start("e-1")
    fleet.add_newer()
    first.record("s-1", MODEL, "v2")
    fleet.end(first)
    assert fleet.start("e-2").version_of("s-1", MODEL) == "v2"


def test_entry_that_restarts_keeps_the_streams_of_its_earlier_process(fleet):
    first = fleet.start("e-1")
    fleet.add_newer()
    first.record("s-1", MODEL, "v1")
    fleet.end(first)
    again = fleet.start("e-1")
    again.record("s-2", MODEL, "v2")
    fleet.end(again)
    third = fleet.start("e-1")
    assert third.version_of("s-1", MODEL) == "v1"
    assert third.version_of("s-2", MODEL) == "v2"


@pytest.mark.parametrize("name", [None, ""])
def test_take_up_that_names_no_stream_is_refused_while_versions_are_mixed(fleet, name):
    entry = fleet.start("e-1")
    fleet.add_newer()
    assert entry.version_of(name, MODEL) == VersionUnknown()
    fleet.clock.now_s += 20.0
    assert entry.version_of(name, MODEL) == VersionUnknown()


# Guards against an assumption about streams whose records may have been lost.
@pytest.mark.parametrize("since_newer_s", [0.0, 20.0])
@pytest.mark.parametrize("loss", ["store restored", "peers silent", "peers restarted"])
def test_unknown_stream_is_not_taken_up_if_its_record_may_be_lost(fleet, since_newer_s, loss):
    entry, *others = [fleet.start(f"e-{number}") for number in range(4)]
    fleet.add_newer()
    assert entry.version_of("s-9", MODEL) == "v1"
    fleet.clock.now_s += since_newer_s + 3.0
    match loss:
        case "store restored":
            entry.store_lost_writes()
        case "peers silent":
            for each in others:
                fleet.lose(each)
        case "peers restarted":
            for number, each in enumerate(others):
                fleet.end(each)
                fleet.start(f"e-{number + 1}")
    assert entry.version_of("s-9", MODEL) == VersionUnknown()


# Guards against streams that are refused because the entry that began them could not record them.
@pytest.mark.parametrize("since_newer_s", [0.0, 20.0])
def test_stream_without_a_record_began_at_the_earliest_version(fleet, since_newer_s):
    entry, killed, _ = (fleet.start(f"e-{number}") for number in range(3))
    fleet.add_newer()
    fleet.lose(killed)
    fleet.clock.now_s += since_newer_s
    assert entry.version_of("s-9", MODEL) == "v1"


# Guards against streams that go on at the earliest version because their entry's store was away.
@pytest.mark.parametrize("ended_count", [1, 2])
def test_stream_that_the_store_did_not_take_is_known_to_peers(fleet, ended_count):
    store = _Store()
    first, *others = [fleet.start(f"e-{number}", store=store) for number in range(4)]
    fleet.add_newer()
    store.is_away = True
    assert first.record("s-1", MODEL, "v2")
    for each in [first, *others][:ended_count]:
        fleet.lose(each)
    assert others[-1].version_of("s-1", MODEL) == "v2"
    store.is_away = False


# Guards against a record that only peers have, and that ends with them.
def test_peer_that_reaches_the_store_writes_what_it_keeps(fleet):
    store = _Store()
    first = fleet.start("e-0", store=store)
    others = [fleet.start(f"e-{number}") for number in (1, 2)]
    fleet.add_newer()
    store.is_away = True
    assert first.record("s-1", MODEL, "v2")
    for each in others:
        fleet.end(each)
    fleet.lose(first)
    assert fleet.start("e-3").version_of("s-1", MODEL) == "v2"
    store.is_away = False


# Guards against streams that begin at a later version and that nobody else knows.
def test_stream_may_not_begin_at_a_later_version_that_neither_store_nor_peers_record(fleet):
    store = _Store()
    first = fleet.start("e-0", store=store)
    fleet.lose(fleet.start("e-1"))
    fleet.add_newer()
    assert first.only_version_to_begin(MODEL) is None
    store.is_away = True
    assert not first.record("s-1", MODEL, "v2")
    assert first.only_version_to_begin(MODEL) == PinnedVersion("v1")
    assert first.record("s-2", MODEL, "v1")
    store.is_away = False
    fleet.start("e-1")
    assert first.record("s-3", MODEL, "v2")
    assert first.only_version_to_begin(MODEL) is None


# Guards against a version that comes back long after it left and passes for the earliest one.
def test_version_that_comes_back_after_a_stream_lifetime_is_the_later_one(fleet):
    entry = fleet.start("e-1")
    fleet.add_newer()
    fleet.remove_older()
    assert entry.version_of("s-9", MODEL) == "v1"
    fleet.clock.now_s += STREAM_LIFETIME_S + 1.0
    assert entry.version_of("s-9", MODEL) == "v2"
    fleet.clock.now_s += 1.0
    fleet.registry.apply_record(build_record("i-1", version="v1"))
    assert entry.version_of("s-9", MODEL) == "v2"
    assert fleet.start("e-2").version_of("s-9", MODEL) == "v2"


# Guards against a peer without the latest list that takes a version for the only one.
def test_peer_that_keeps_a_record_of_a_newer_version_knows_of_that_version(fleet):
    store = _Store()
    first = fleet.start("e-0", store=store)
    behind = fleet.start("e-1", build_registry([build_record("i-1", version="v1")]))
    fleet.add_newer()
    store.is_away = True
    assert first.record("s-1", MODEL, "v2")
    assert behind.version_of("s-1", MODEL) == "v2"
    assert behind.version_of(None, MODEL) == VersionUnknown()
    store.is_away = False


def test_many_take_ups_at_the_only_version_share_one_call_of_the_store(fleet):
    entry = fleet.start("e-1")
    assert entry.version_of("s-9", MODEL) == "v1"
    before = fleet.store.call_count
    for number in range(20):
        assert entry.version_of(f"s-{number}", MODEL) == "v1"
    assert fleet.store.call_count <= before + 1


def test_entry_whose_list_is_behind_learns_of_another_version_from_the_store(fleet):
    other = fleet.start("e-2")
    behind = fleet.start("e-1", build_registry([build_record("i-1", version="v1")]))
    fleet.add_newer()
    other.record("s-1", MODEL, "v2")
    time.sleep(READ_INTERVAL_S + 0.5)
    assert behind.version_of("s-1", MODEL) == "v2"
    fleet.clock.now_s += 20.0
    assert behind.version_of(None, MODEL) == VersionUnknown()


def test_entry_that_peers_know_to_be_behind_takes_nothing_up_while_the_store_is_away(fleet):
    entry = fleet.start("e-1")
    assert entry.version_of("s-1", MODEL) == "v1"
    fleet.store.is_away = True
    time.sleep(READ_INTERVAL_S)
    assert entry.version_of("s-1", MODEL) == "v1"
    fleet.is_list_behind = True
    assert entry.version_of("s-1", MODEL) == VersionUnknown()
    fleet.store.is_away = False


def test_stream_of_a_version_that_left_while_all_entries_were_down_stays_there(fleet):
    fleet.end(fleet.start("e-1"))
    fleet.clock.now_s += 3.0
    fleet.add_newer()
    fleet.remove_older()
    assert fleet.start("e-1").version_of("s-1", MODEL) == "v1"


def test_version_is_forgotten_a_stream_lifetime_after_it_left(fleet):
    entry = fleet.start("e-1")
    fleet.add_newer()
    fleet.remove_older()
    fleet.clock.now_s += STREAM_LIFETIME_S + 1.0
    assert entry.version_of("s-9", MODEL) == "v2"


def test_stream_is_unknown_while_the_store_is_away_and_the_entry_has_just_started(fleet):
    fleet.store.is_away = True
    entry = fleet.start("e-1")
    assert entry.version_of("s-1", MODEL) == VersionUnknown()
    fleet.store.is_away = False


def test_streams_that_begin_together_are_written_in_batches(fleet):
    entry = fleet.start("e-1")
    fleet.add_newer()
    beginning = [
        threading.Thread(target=entry.record, args=(f"s-{number}", MODEL, "v1"))
        for number in range(500)
    ]
    # However slowly the threads start, all streams have begun before the first write returns.
    fleet.store.may_write.clear()
    for each in beginning:
        each.start()
    while entry._record_count < len(beginning):
        time.sleep(0.01)
    fleet.store.may_write.set()
    for each in beginning:
        each.join()
    fleet.end(entry)
    assert fleet.store.call_count < 12
    assert fleet.start("e-2").version_of("s-499", MODEL) == "v1"


# Guards against events that are passed on before the version of their stream is recorded.
def test_stream_is_recorded_before_its_first_event_once_versions_are_mixed(fleet):
    entry, other = fleet.start("e-1"), fleet.start("e-2")
    fleet.add_newer()
    entry.record("s-1", MODEL, "v2")
    # The process of the entry ends here, without a last write.
    stored = StoredStreams.parse(fleet.store.objects["streams/e-1"].value)
    assert stored.streams["s-1"].version == "v2"
    assert other.version_of("s-1", MODEL) == "v2"


def test_stream_without_a_record_began_at_the_previous_version(fleet):
    entry, other = fleet.start("e-1"), fleet.start("e-2")
    fleet.add_newer()
    entry.record("s-1", MODEL, "v2")
    assert other.version_of("s-9", MODEL) == "v1"


# Entries of 744db1e pass events on before they write, and those of 7b9f6b6 also without a record
# while the store is away, so their silence says nothing.
@pytest.mark.parametrize("is_written_ahead", [False, True])
def test_stream_without_a_record_is_not_taken_up_beside_an_entry_of_an_earlier_build(
    fleet, is_written_ahead
):
    other = fleet.start("e-2")
    stored = json.loads(EARLIER_BUILD)
    if is_written_ahead:
        stored["is_written_ahead"] = True
    fleet.store.put("streams/e-1", json.dumps(stored))
    fleet.add_newer()
    time.sleep(READ_INTERVAL_S)
    assert other.version_of("s-1", MODEL) == "v2"
    assert other.version_of("s-9", MODEL) == VersionUnknown()


def test_entry_that_is_replaced_by_this_build_does_not_vouch_for_its_earlier_process(fleet):
    fleet.store.put("streams/e-1", EARLIER_BUILD)
    fleet.add_newer()
    entry, other = fleet.start("e-1"), fleet.start("e-2")
    entry.record("s-2", MODEL, "v2")
    assert other.version_of("s-2", MODEL) == "v2"
    assert other.version_of("s-9", MODEL) == VersionUnknown()


def test_stream_begins_without_a_record_while_the_store_is_away(fleet):
    entry = fleet.start("e-1")
    fleet.add_newer()
    entry.record("s-1", MODEL, "v2")
    fleet.store.is_away = True
    began_at_s = time.monotonic()
    entry.record("s-2", MODEL, "v2")
    assert time.monotonic() - began_at_s < RECORD_TIME_S + 0.5
    began_at_s = time.monotonic()
    entry.record("s-3", MODEL, "v2")
    assert time.monotonic() - began_at_s < 0.2
    fleet.store.is_away = False
