"""Callers of HTTP/1.0 know a stream that was broken off from one that is whole."""

import random
import signal
import time

import pytest

from gooseberryquay.daemons.tests.platform_builders import running_entries
from gooseberryquay.daemons.tests.unframed_builders import UnframedCaller, join, start_reading
from gooseberryquay.standins.node_platform.site import GRACE_S, Site

STREAMS = 20
EVENTS = 20
EVENT_S = 0.02
# Longer than the grace of an entry.
LONG_EVENTS = 400
# More than a small buffer of a caller takes.
MANY_EVENTS = 600
SHORT_EVENT_S = 0.001
BEFORE_END_S = 0.5
EXIT_SLACK_S = 1.0
# Longer than an entry waits for the end of a caller's own stream, and than a drain of short ones.
PAUSE_S = GRACE_S + EXIT_SLACK_S


@pytest.fixture
def site():
    site = Site(random.Random(1))
    site.start(engines=4, services=1)
    for each in site.engines.values():
        each.event_s = EVENT_S
    yield site
    site.stop()


def _build_callers(event_count, kinds=("note", "check"), pause_s=0.0):
    return [
        UnframedCaller(f"u{number}", kinds[number % len(kinds)], event_count, pause_s)
        for number in range(STREAMS)
    ]


def test_stream_that_an_engine_breaks_off_does_not_look_complete(site, tmp_path):
    for each in site.engines.values():
        each.faults.cut_share = 0.5
    callers = _build_callers(EVENTS)
    with running_entries(site, tmp_path, 1) as entries:
        join(start_reading(callers, entries[0].ports.callers))
    broken = [each for each in callers if not each.is_whole]
    assert len(broken) > STREAMS // 5
    assert [each.id for each in broken if each.looks_complete] == []
    assert [each.id for each in callers if each.is_whole and each.is_reset] == []


def test_stream_of_an_entry_that_is_killed_does_not_look_complete(site, tmp_path):
    callers = _build_callers(LONG_EVENTS)
    with running_entries(site, tmp_path, 1) as entries:
        threads = start_reading(callers, entries[0].ports.callers)
        time.sleep(BEFORE_END_S)
        entries[0].process.kill()
        join(threads)
    assert sum(each.has_begun for each in callers) > STREAMS // 2
    assert [each.id for each in callers if each.looks_complete] == []


def test_stream_that_outlasts_the_grace_does_not_look_complete(site, tmp_path):
    callers = _build_callers(LONG_EVENTS)
    with running_entries(site, tmp_path, 1) as entries:
        threads = start_reading(callers, entries[0].ports.callers)
        time.sleep(BEFORE_END_S)
        entries[0].process.send_signal(signal.SIGTERM)
        assert entries[0].process.wait(GRACE_S + EXIT_SLACK_S) == 0
        join(threads)
    assert sum(each.has_begun for each in callers) > STREAMS // 2
    assert [each.id for each in callers if each.looks_complete] == []


@pytest.mark.parametrize("is_draining", [True, False], ids=["drain", "in service"])
def test_whole_stream_arrives_whole_at_a_slow_reader(site, tmp_path, is_draining):
    """Guard against a reset that discards what the caller hasn't read."""
    for each in site.engines.values():
        each.event_s = SHORT_EVENT_S
    callers = _build_callers(MANY_EVENTS, pause_s=PAUSE_S)
    with running_entries(site, tmp_path, 1) as entries:
        threads = start_reading(callers, entries[0].ports.callers)
        time.sleep(BEFORE_END_S)
        if is_draining:
            entries[0].process.send_signal(signal.SIGTERM)
            assert entries[0].process.wait(GRACE_S + EXIT_SLACK_S) == 0
        join(threads)
    assert [each.id for each in callers if not each.is_whole or each.is_reset] == []
