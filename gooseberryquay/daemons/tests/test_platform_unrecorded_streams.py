"""Streams that begin at an entry whose store is away while engines of two versions serve."""

import contextlib
import random
import signal
import time

import pytest

from gooseberryquay.daemons.tests.gated_store_builders import GateMode, store_gates
from gooseberryquay.daemons.tests.platform_builders import running_entries
from gooseberryquay.daemons.tests.stream_builders import StreamCaller, read_all, start_streams
from gooseberryquay.standins.node_platform.site import Site

STREAMS = 24
EVENTS = 350
INTERVAL_S = 0.02
# Bounds of the requirement: streams with events of two versions, and of those taken up again.
JOINED_MAX = 2
TAKEN_UP_SHARE_MIN = 0.5
LIST_SEEN_S = 1.0
STORE_MISSED_S = 0.4
# Longer than a stream waits for its record.
BEGUN_S = 1.3


@pytest.fixture
def site():
    site = Site(random.Random(1))
    site.start(engines=4, services=2)
    yield site
    site.stop()


@contextlib.contextmanager
def _gated_entries(site, folder, count=3, are_peers=True):
    with store_gates(site, count) as gates:
        ports = [each.port for each in gates]
        with running_entries(
            site, folder, count, store_ports=ports, are_peers=are_peers
        ) as entries:
            time.sleep(1.0)
            yield entries, gates


def _release(site, version="v2", count=2):
    """Add engines of another version, and let as many of the oldest ones leave."""
    serving = [each.id for each in site.engines.values() if not each.is_leaving]
    for each in serving[:count]:
        site.add_engine(version)
        site.announce_leave(each)
    time.sleep(LIST_SEEN_S)


def _close(gates, mode=GateMode.REFUSING):
    for each in gates:
        each.set(mode)
    time.sleep(STORE_MISSED_S)


def _begin(entries, others, **options):
    """Start streams at the first entries, which are taken up at the others once these end."""
    callers = [StreamCaller(event_count=EVENTS, **options) for _ in range(STREAMS)]
    reading = start_streams(callers, _ports(entries), _ports(others), INTERVAL_S)
    time.sleep(BEGUN_S)
    return callers, reading


def _ports(entries):
    return [each.ports.callers for each in entries]


def _end(entries, reading, how=signal.SIGKILL):
    for each in entries:
        each.process.send_signal(how)
    for each in reading:
        each.join()


def _check(callers):
    begun = [each for each in callers if each.numbers]
    assert len(begun) >= STREAMS // 2
    assert sum(each.is_joined for each in callers) <= JOINED_MAX
    assert sum(each.is_complete for each in begun) >= TAKEN_UP_SHARE_MIN * len(begun)


# Guards against streams that go on at another version, or not at all, because the entry that
# began them could not record their version in the store and was killed.
@pytest.mark.parametrize("mode", [GateMode.REFUSING, GateMode.SILENT, GateMode.LOSING_ANSWERS])
@pytest.mark.parametrize("since_release_s", [0.0, 5.0])
def test_stream_of_an_entry_without_store_goes_on_at_its_version(
    site, tmp_path, mode, since_release_s
):
    with _gated_entries(site, tmp_path) as (entries, gates):
        _release(site)
        time.sleep(since_release_s)
        _close(gates[:1], mode)
        callers, reading = _begin(entries[:1], entries[1:])
        _end(entries[:1], reading)
    _check(callers)
    assert {each.versions[0] for each in callers if each.versions} == {"v1", "v2"}


# Guards against the same if one of the peers that keep a record ends together with the entry.
def test_stream_of_two_killed_entries_without_store_goes_on_at_its_version(site, tmp_path):
    with _gated_entries(site, tmp_path) as (entries, gates):
        _release(site)
        _close(gates[:2])
        callers, reading = _begin(entries[:2], entries[2:])
        _end(entries[:2], reading)
    _check(callers)


# Guards against the same for an entry that stands still, whose callers give it up.
def test_stream_of_a_frozen_entry_without_store_goes_on_at_its_version(site, tmp_path):
    with _gated_entries(site, tmp_path) as (entries, gates):
        _release(site)
        _close(gates[:1])
        callers, reading = _begin(entries[:1], entries[1:], timeout_s=2.0)
        _end(entries[:1], reading, signal.SIGSTOP)
        entries[0].process.send_signal(signal.SIGCONT)
    _check(callers)


# Guards against take-ups that are refused because no entry reaches the store.
@pytest.mark.parametrize("is_back", [False, True])
def test_stream_goes_on_at_its_version_if_no_entry_reaches_the_store(site, tmp_path, is_back):
    with _gated_entries(site, tmp_path) as (entries, gates):
        _release(site)
        _close(gates)
        callers = [StreamCaller(event_count=EVENTS) for _ in range(STREAMS)]
        read_all(callers, _ports(entries[:1]), until_event=20)
        entries[0].process.send_signal(signal.SIGKILL)
        if is_back:
            _close(gates, GateMode.OPEN)
        read_all(callers, _ports(entries[1:]))
    _check(callers)


# Guards against a take-up that is refused because the entry that gets it does not reach the store.
def test_recorded_stream_is_taken_up_at_an_entry_without_store(site, tmp_path):
    with _gated_entries(site, tmp_path) as (entries, gates):
        _release(site)
        callers = [StreamCaller(event_count=EVENTS) for _ in range(STREAMS)]
        read_all(callers, _ports(entries[:1]), until_event=20)
        entries[0].process.send_signal(signal.SIGKILL)
        _close(gates[1:2])
        read_all(callers, _ports(entries[1:2]))
    _check(callers)


# Guards against streams that neither the store nor a peer knows and that begin at a later version.
def test_stream_of_an_entry_without_store_and_peers_begins_at_the_earliest_version(site, tmp_path):
    with _gated_entries(site, tmp_path, 2, are_peers=False) as (entries, gates):
        _release(site)
        _close(gates[:1])
        callers, reading = _begin(entries[:1], entries[1:])
        _end(entries[:1], reading)
    _check(callers)


# Guards against the same while the fleet goes through two releases, or back to the first version.
@pytest.mark.parametrize("versions", [("v2", "v3"), ("v2", "v1")])
def test_stream_of_an_entry_without_store_goes_on_after_a_second_release(site, tmp_path, versions):
    with _gated_entries(site, tmp_path) as (entries, gates):
        for each in versions:
            _release(site, each)
        _close(gates[:1])
        callers, reading = _begin(entries[:1], entries[1:])
        _end(entries[:1], reading)
    _check(callers)


# Guards against a record that is lost as the store comes back from an older copy.
def test_stream_goes_on_at_its_version_after_the_store_has_lost_its_record(site, tmp_path):
    with _gated_entries(site, tmp_path) as (entries, gates):
        _release(site)
        copy = site.store.take_copy()
        _close(gates[:1])
        callers, reading = _begin(entries[:1], entries[1:])
        site.store.come_back_from(copy)
        _end(entries[:1], reading)
    _check(callers)


# Guards against an entry that does not know the versions of before its start.
def test_stream_of_an_entry_started_in_the_release_goes_on_at_its_version(site, tmp_path):
    with _gated_entries(site, tmp_path) as (entries, gates):
        _release(site)
        entries[0].restart()
        time.sleep(LIST_SEEN_S)
        _close(gates[:1])
        callers, reading = _begin(entries[:1], entries[1:])
        _end(entries[:1], reading)
    _check(callers)


# Guards against a stream that begins at one version while a peer keeps another one for it: the
# record of its first run, which too few peers took.
@pytest.mark.parametrize("mode", [GateMode.REFUSING, GateMode.LOSING_ANSWERS])
def test_stream_whose_record_one_peer_alone_keeps_is_not_joined(site, tmp_path, mode):
    with _gated_entries(site, tmp_path) as (entries, gates):
        _release(site)
        entries[2].process.send_signal(signal.SIGSTOP)
        _close(gates[:1], mode)
        callers, reading = _begin(entries[:1], entries[1:2])
        _end(entries[:1], reading)
        entries[2].process.send_signal(signal.SIGCONT)
    _check(callers)
