"""Streams over engines of two software versions, whose events don't fit together."""

import random
import threading
import time

import pytest

from gooseberryquay.daemons.tests.platform_builders import running_entries
from gooseberryquay.daemons.tests.stream_builders import StreamCaller, read_all, start_streams
from gooseberryquay.standins.node_platform.site import Site

STREAMS = 30
# Bounds of the requirement: streams with events of two versions, and of those taken up again.
JOINED_MAX = 2
TAKEN_UP_SHARE_MIN = 0.5
LIST_SEEN_S = 1.0
# Longer than an entry takes to record the streams that it has begun.
RECORDED_S = 0.5


@pytest.fixture
def site():
    site = Site(random.Random(1))
    site.start(engines=3, services=2)
    yield site
    site.stop()


def _add_newer(site, count=3):
    added = [site.add_engine("v2") for _ in range(count)]
    time.sleep(LIST_SEEN_S)
    return added


def _ports(entries):
    return [each.ports.callers for each in entries]


def _begun(entries, until_event=20, count=STREAMS):
    callers = [StreamCaller() for _ in range(count)]
    read_all(callers, _ports(entries), until_event)
    return callers


def _restart(entries):
    for each in entries:
        each.process.kill()
    for each in entries:
        each.start()


def _joined(callers):
    return sum(each.is_joined for each in callers)


def _check(callers, is_version_there=True):
    assert _joined(callers) <= JOINED_MAX
    assert all(each.numbers == list(range(1, len(each.numbers) + 1)) for each in callers)
    if is_version_there:
        begun = [each for each in callers if each.numbers]
        assert sum(each.is_complete for each in begun) >= TAKEN_UP_SHARE_MIN * len(begun)


def test_stream_goes_on_at_the_version_that_began_it_within_one_answer(site, tmp_path):
    with running_entries(site, tmp_path) as entries:
        _add_newer(site)
        for engine in site.engines.values():
            engine.faults.cut_share = 0.5
        callers = _begun(entries, until_event=None)
    assert len({each.versions[0] for each in callers if each.versions}) == 2
    _check(callers)


def test_stream_is_taken_up_at_another_entry_at_the_version_that_began_it(site, tmp_path):
    with running_entries(site, tmp_path) as entries:
        _add_newer(site)
        callers = _begun(entries)
        time.sleep(RECORDED_S)
        read_all(callers, _ports(entries[1:] + entries[:1]))
    _check(callers)


def test_stream_is_taken_up_twice_at_the_version_that_began_it(site, tmp_path):
    with running_entries(site, tmp_path) as entries:
        _add_newer(site)
        callers = _begun(entries)
        time.sleep(RECORDED_S)
        read_all(callers, _ports(entries[1:] + entries[:1]), until_event=40)
        read_all(callers, _ports(entries[2:] + entries[:2]))
    _check(callers)


def test_stream_is_taken_up_at_its_version_after_all_entries_restarted(site, tmp_path):
    with running_entries(site, tmp_path) as entries:
        _add_newer(site)
        callers = _begun(entries)
        time.sleep(RECORDED_S)
        _restart(entries)
        read_all(callers, _ports(entries))
    _check(callers)


@pytest.mark.parametrize("is_restarted", [False, True])
def test_stream_is_not_taken_up_at_another_version_after_its_own_has_left(
    site, tmp_path, is_restarted
):
    with running_entries(site, tmp_path) as entries:
        older = list(site.engines)
        _add_newer(site)
        callers = _begun(entries)
        time.sleep(RECORDED_S)
        for each in older:
            site.remove(each)
        time.sleep(LIST_SEEN_S)
        if is_restarted:
            _restart(entries)
        read_all(callers, _ports(entries[1:] + entries[:1]))
    _check(callers, is_version_there=False)
    newer = [each for each in callers if each.versions and each.versions[0] == "v2"]
    assert sum(each.is_complete for each in newer) >= TAKEN_UP_SHARE_MIN * len(newer)


@pytest.mark.parametrize("has_older_left", [False, True])
def test_stream_is_not_joined_if_the_newer_version_appears_while_all_entries_are_down(
    site, tmp_path, has_older_left
):
    with running_entries(site, tmp_path) as entries:
        older = list(site.engines)
        time.sleep(2.0)
        callers = _begun(entries)
        for each in entries:
            each.process.kill()
        if has_older_left:
            for each in older:
                site.remove(each)
        for _ in range(3):
            site.add_engine("v2")
        for each in entries:
            each.start()
        time.sleep(LIST_SEEN_S)
        read_all(callers, _ports(entries))
    _check(callers, is_version_there=not has_older_left)


def test_stream_that_began_before_the_newer_version_appeared_is_taken_up(site, tmp_path):
    with running_entries(site, tmp_path) as entries:
        callers = _begun(entries)
        _add_newer(site)
        time.sleep(RECORDED_S)
        _restart(entries)
        read_all(callers, _ports(entries))
    _check(callers)


def test_generation_is_not_moved_to_an_engine_of_another_version(site, tmp_path):
    with running_entries(site, tmp_path) as entries:
        older = list(site.engines)
        _add_newer(site)
        callers = [StreamCaller(path="/note/1", event_count=120) for _ in range(STREAMS)]
        reading = threading.Thread(target=read_all, args=(callers, _ports(entries)))
        reading.start()
        time.sleep(0.6)
        for each in older[:2]:
            site.announce_leave(each)
        reading.join()
    _check(callers)


def test_streams_are_taken_up_anywhere_while_one_version_serves(site, tmp_path):
    with running_entries(site, tmp_path) as entries:
        callers = _begun(entries)
        _restart(entries)
        read_all(callers, _ports(entries[1:] + entries[:1]))
    _check(callers)
    assert all(each.is_complete for each in callers if each.numbers)


# Guards against streams that go on at another version because their entry ended before it had
# recorded them.
@pytest.mark.parametrize("since_newer_s", [0.2, 1.0, 3.0, 8.0])
def test_stream_is_not_joined_if_its_entry_is_killed_just_after_it_began(
    site, tmp_path, since_newer_s
):
    with running_entries(site, tmp_path, 4) as entries:
        killed, others = entries[:2], entries[2:]
        for _ in range(6):
            site.add_engine("v2")
        time.sleep(since_newer_s)
        callers = [StreamCaller() for _ in range(120)]
        reading = start_streams(callers, _ports(killed), _ports(others), interval_s=0.008)
        for each in killed:
            each.process.kill()
        for each in reading:
            each.join()
    _check(callers)
