"""Records of a crashing part of a prompt over a large fleet, in one process."""

import random
import threading
import time
import tracemalloc

import pytest
from result import Err, Ok

from gooseberryquay.contracts.fields import Address
from gooseberryquay.ids import EntryId, Incarnation, UpstreamId, ZoneId
from gooseberryquay.links.http_client import Reply
from gooseberryquay.links.http_server import Request, Router
from gooseberryquay.links.platform_client import WriteConflict
from gooseberryquay.links.platform_messages import StoredObject
from gooseberryquay.links.transport_failure import ConnectionBroken
from gooseberryquay.machines.peer import Peer
from gooseberryquay.machines.suspect_gossip import UPDATE_PATH
from gooseberryquay.machines.suspect_list import SuspectList
from gooseberryquay.machines.tests.member_builders import wait_until

BAD, FIRST = "part/bad", "part/first"
CRASHES_MAX = 3
# The longest window in which the users' bounds do not hold yet.
STABLE_WINDOW_S = 5.0
# A burst of crashes may cost each owner of a record a read and a write of its shard each second.
CALLS_PER_CRASH_MAX = 40
CRASHES = 60
# A small part of the smallest instance's memory.
BYTES_PER_ENTRY_MAX = 4 * 1024 * 1024


class _Store:
    def __init__(self):
        self.objects, self.reads, self.writes, self.lists = {}, 0, 0, 0
        self._lock = threading.Lock()

    def list(self, prefix):
        self.lists += 1
        return Ok(tuple(self.objects.values()))

    def read(self, key):
        self.reads += 1
        return Ok(self.objects.get(key))

    def write(self, key, value, expected_version=None):
        with self._lock:
            self.writes += 1
            held = self.objects.get(key)
            if (held.version if held else 0) != expected_version:
                return Err(WriteConflict(held))
            self.objects[key] = StoredObject(key=key, version=expected_version + 1, value=value)
            return Ok(expected_version + 1)


class _Peers:
    def __init__(self, fleet, own):
        self._fleet, self._own = fleet, own

    def this_entry(self):
        return self._own

    def live(self):
        return self._fleet.peers

    def send(self, to, path, message, timeout_s):
        handler = self._fleet.handlers.get(to.id) if path == UPDATE_PATH else None
        if handler is None:
            return Err(ConnectionBroken("no such path", was_sent=False))
        self._fleet.message_count += 1
        body = message.model_dump_json().encode()
        response = handler(Request("POST", path, {}, {}, body, None, None))
        return Ok(Reply(response.status, {}, response.body))


class _Fleet:
    def __init__(self, count):
        self.store, self.handlers, self.message_count = _Store(), {}, 0
        self.peers = tuple(
            Peer(
                id=EntryId(f"e-{each}"),
                incarnation=Incarnation(1),
                zone=ZoneId("z"),
                control_address=Address("127.0.0.1", 9000 + each),
            )
            for each in range(count)
        )
        self.lists = [self._build(each) for each in self.peers]
        for each in self.lists:
            each.start()

    def _build(self, peer):
        suspects = SuspectList(
            _Peers(self, peer),
            self.store,
            crash_count_max=CRASHES_MAX,
            share_min_deaths=CRASHES_MAX - 1,
            finished_max=64,
        )
        router = _Routes()
        suspects.add_routes(router)
        self.handlers[peer.id] = router.handlers[UPDATE_PATH]
        return suspects

    def stop(self):
        # Messages that are still pending would be processed by one interpreter for all entries.
        self.handlers.clear()
        for each in self.lists:
            each.stop()

    def count_of(self, part):
        records = [each.record(part) for each in self.lists]
        return [0 if record is None else record.crash_count() for record in records]


class _Routes(Router):
    def __init__(self):
        self.handlers = {}

    def add(self, method, path, handler):
        self.handlers[path] = handler


@pytest.fixture
def fleet():
    fleet = _Fleet(195)
    yield fleet
    fleet.stop()


@pytest.fixture
def small_fleet():
    fleet = _Fleet(16)
    yield fleet
    fleet.stop()


def test_crashing_part_is_known_to_a_large_fleet_in_time_and_a_common_one_is_cleared(fleet):
    rng = random.Random(1)
    time.sleep(0.5)
    before = fleet.store.reads + fleet.store.writes
    for number in range(5):
        entry = rng.choice(fleet.lists)
        entry.record_death(UpstreamId(f"i-{number}"), [f"request-{number}", BAD, FIRST])
        entry.send_updates()
        time.sleep(0.3)
    for each in rng.sample(fleet.lists, 60):
        each.ran_well([FIRST], 1.0)
    ended_at_s = time.monotonic()
    wait_until(lambda: min(fleet.count_of(BAD)) >= CRASHES_MAX)
    wait_until(lambda: max(fleet.count_of(FIRST)) == 0)
    assert time.monotonic() - ended_at_s < STABLE_WINDOW_S
    calls = fleet.store.reads + fleet.store.writes - before
    assert calls <= 5 * CALLS_PER_CRASH_MAX
    assert max(len(each.records()) for each in fleet.lists) <= 7
    print(f"{calls} calls of the store, {fleet.message_count} messages among entries")


def test_common_part_is_not_suspected_for_an_entry_that_is_cut_off_from_all_engines(fleet):
    """Such an entry takes every engine for crashed; others go on with the same part."""
    rng = random.Random(2)
    cut_off, others = fleet.lists[0], fleet.lists[1:]
    for _ in range(4):
        for each in rng.sample(others, 30):
            each.ran_well([FIRST], 1.0)
        for number in range(12):
            cut_off.record_death(UpstreamId(f"i-{number}"), [f"request-{number}", FIRST])
        cut_off.send_updates()
        time.sleep(0.5)
    for each in rng.sample(others, 30):
        each.ran_well([FIRST], 1.0)
    wait_until(lambda: max(fleet.count_of(FIRST)) == 0)


def test_records_of_a_long_burst_of_crashes_stay_within_memory_and_calls(small_fleet):
    """Each crash has a request, a part of its own and a common part."""
    fleet = small_fleet
    before = fleet.store.reads + fleet.store.writes
    tracemalloc.start()
    for number in range(CRASHES):
        entry = fleet.lists[number % len(fleet.lists)]
        deaths = [f"request-{number}", f"part/{number}", BAD, FIRST]
        entry.record_death(UpstreamId(f"i-{number}"), deaths)
        time.sleep(0.01)
    calls = fleet.store.reads + fleet.store.writes - before
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert calls <= CRASHES * CALLS_PER_CRASH_MAX
    assert held_bytes / len(fleet.lists) <= BYTES_PER_ENTRY_MAX
    assert max(len(each.record(BAD).deaths) for each in fleet.lists if each.record(BAD)) <= 16
    print(f"{calls} calls of the store, {held_bytes / len(fleet.lists) / 1024:.0f} KiB an entry")
