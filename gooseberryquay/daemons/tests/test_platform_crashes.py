"""Retries of requests that crash the upstreams that run them, sent to whole entries."""

import random
import signal
import threading
import time

import pytest

from gooseberryquay.daemons.tests.platform_builders import (
    RetryingCallers,
    running_entries,
    send_request,
)
from gooseberryquay.standins.node_platform.site import Site
from gooseberryquay.standins.node_platform.store import StoreMood
from gooseberryquay.standins.node_platform.upstream_crash import CrashMode

# Bounds of the requirement on requests that crash upstreams.
CRASHES_UNTIL_BLOCKED = 3
STABLE_WINDOW_S = 3.0
RETRIES_MAX = 3
OUTAGE_SEEN_S = 4.0
ENTRIES = 3
MODES = list(CrashMode)
DETECTABLE_MODE = CrashMode.AT_ARRIVAL


@pytest.fixture
def site():
    site = Site(random.Random(1))
    site.start(engines=9, services=9)
    yield site
    site.stop()


def _retrying_callers(entries, path, mode, **changes):
    return RetryingCallers([each.ports.callers for each in entries], path, mode.value, **changes)


def _late_retries(site):
    crashes = sorted(site.record.crashes)
    if len(crashes) < CRASHES_UNTIL_BLOCKED:
        return []
    blocked_at_s = crashes[CRASHES_UNTIL_BLOCKED - 1] + STABLE_WINDOW_S
    return [each for each in site.record.crasher_arrivals if each > blocked_at_s]


@pytest.mark.parametrize("path", ["/check/1", "/note/1", "/read/1", "/post/1"])
@pytest.mark.parametrize("mode", [CrashMode.AT_ARRIVAL, CrashMode.MIDWAY])
def test_retries_of_a_crashing_request_crash_at_most_three_upstreams(site, tmp_path, path, mode):
    with running_entries(site, tmp_path, ENTRIES) as entries:
        callers = _retrying_callers(entries, path, mode)
        callers.run(STABLE_WINDOW_S + 2.0)
        assert send_request(entries[0].ports.callers, path, b"sound").status == 200
    assert len(site.record.crashes) <= CRASHES_UNTIL_BLOCKED
    assert callers.responses[-1].refusal == "crashes_upstreams"
    assert callers.responses[-1].status == 503 and float(callers.responses[-1].retry_after) > 0


@pytest.mark.parametrize("path", ["/check/1", "/read/1", "/post/1"])
def test_retries_of_a_request_that_makes_upstreams_unresponsive_are_blocked(site, tmp_path, path):
    with running_entries(site, tmp_path, ENTRIES) as entries:
        _retrying_callers(entries, path, CrashMode.SILENTLY, concurrency=4).run(14.0)
    assert len(site.record.crashes) >= CRASHES_UNTIL_BLOCKED
    assert len(_late_retries(site)) <= RETRIES_MAX


@pytest.mark.parametrize("mode", [CrashMode.AT_ARRIVAL, CrashMode.MIDWAY])
def test_concurrent_retries_at_all_entries_are_blocked(site, tmp_path, mode):
    with running_entries(site, tmp_path, ENTRIES) as entries:
        _retrying_callers(entries, "/check/1", mode, concurrency=9).run(STABLE_WINDOW_S + 4.0)
    assert len(_late_retries(site)) <= RETRIES_MAX


def test_crashing_request_stays_blocked_when_every_entry_restarts(site, tmp_path):
    with running_entries(site, tmp_path, ENTRIES) as entries:
        callers = _retrying_callers(entries, "/check/1", DETECTABLE_MODE)
        callers.run(STABLE_WINDOW_S + 1.0)
        for each in entries:
            each.process.kill()
        for each in entries:
            each.start()
        callers.run(3.0)
    assert len(_late_retries(site)) <= RETRIES_MAX


def test_crashing_request_is_blocked_while_the_store_is_unavailable(site, tmp_path):
    with running_entries(site, tmp_path, ENTRIES) as entries:
        site.store.mood = StoreMood.REFUSING
        time.sleep(OUTAGE_SEEN_S)
        _retrying_callers(entries, "/check/1", DETECTABLE_MODE).run(STABLE_WINDOW_S + 2.0)
    assert len(site.record.crashes) <= CRASHES_UNTIL_BLOCKED


def test_crashing_request_is_blocked_at_entries_without_peers(site, tmp_path):
    with running_entries(site, tmp_path, 5, are_peers=False) as entries:
        _retrying_callers(entries, "/check/1", DETECTABLE_MODE, pause_s=0.6).run(
            STABLE_WINDOW_S + 4.0
        )
    assert len(_late_retries(site)) <= RETRIES_MAX


def test_crashing_request_is_blocked_at_entries_that_were_suspended(site, tmp_path):
    with running_entries(site, tmp_path, 4) as entries:
        for each in entries[1:]:
            each.process.send_signal(signal.SIGSTOP)
        _retrying_callers(entries[:1], "/check/1", DETECTABLE_MODE).run(STABLE_WINDOW_S + 1.0)
        for each in entries[1:]:
            each.process.send_signal(signal.SIGCONT)
        time.sleep(STABLE_WINDOW_S)
        _retrying_callers(entries[1:], "/check/1", DETECTABLE_MODE).run(3.0)
    assert len(_late_retries(site)) <= RETRIES_MAX


def test_popular_harmless_request_is_served_while_upstreams_crash(site, tmp_path):
    """Many callers send one request; upstreams crash singly and together for other reasons."""
    with running_entries(site, tmp_path, ENTRIES) as entries:
        popular = RetryingCallers(
            [each.ports.callers for each in entries], "/check/1", b"same", 0.02, 6
        )
        callers = threading.Thread(target=popular.run, args=(6.0,))
        callers.start()
        time.sleep(1.0)
        for engine in list(site.engines.values())[:4]:
            engine.crash(CrashMode.AT_ARRIVAL)
            time.sleep(0.5)
        for engine in [each for each in site.engines.values() if not each.is_crashed][:4]:
            engine.crash(CrashMode.AT_ARRIVAL)
        callers.join()
        assert {each.refusal for each in popular.responses} <= {None, "outcome_unknown"}
        for number in range(12):
            assert (
                send_request(entries[number % ENTRIES].ports.callers, "/check/1", b"same").status
                == 200
            )
