"""A request that crashes the upstreams that run it, sent again at whole entries."""

import random
import signal
import threading
import time

import pytest

from gooseberryquay.daemons.tests.platform_builders import Repeats, ask, running_entries
from gooseberryquay.standins.node_platform.site import Site
from gooseberryquay.standins.node_platform.store import StoreMood
from gooseberryquay.standins.node_platform.upstream_crash import CrashMode

# Bounds of the users' rule.
CRASHES_UNTIL_KNOWN = 3
STABLE_WINDOW_S = 3.0
RETRIES_MAX = 3
OUTAGE_SEEN_S = 4.0
ENTRIES = 3
MODES = list(CrashMode)
LOUD = CrashMode.AT_ARRIVAL


@pytest.fixture
def site():
    site = Site(random.Random(1))
    site.start(engines=9, services=9)
    yield site
    site.stop()


def _repeats(entries, path, mode, **changes):
    return Repeats([each.ports.callers for each in entries], path, mode.value, **changes)


def _late_retries(site):
    crashes = sorted(site.record.crashes)
    if len(crashes) < CRASHES_UNTIL_KNOWN:
        return []
    known_at_s = crashes[CRASHES_UNTIL_KNOWN - 1] + STABLE_WINDOW_S
    return [each for each in site.record.crasher_arrivals if each > known_at_s]


@pytest.mark.parametrize("path", ["/check/1", "/note/1", "/read/1", "/post/1"])
@pytest.mark.parametrize("mode", [CrashMode.AT_ARRIVAL, CrashMode.MIDWAY])
def test_repeats_of_a_crashing_request_end_three_upstreams_at_most(site, tmp_path, path, mode):
    with running_entries(site, tmp_path, ENTRIES) as entries:
        repeats = _repeats(entries, path, mode)
        repeats.run(STABLE_WINDOW_S + 2.0)
        assert ask(entries[0].ports.callers, path, b"sound").status == 200
    assert len(site.record.crashes) <= CRASHES_UNTIL_KNOWN
    assert repeats.answers[-1].refusal == "crashes_upstreams"
    assert repeats.answers[-1].status == 503 and float(repeats.answers[-1].retry_after) > 0


@pytest.mark.parametrize("path", ["/check/1", "/read/1", "/post/1"])
def test_repeats_of_a_request_under_which_upstreams_fall_silent_end(site, tmp_path, path):
    with running_entries(site, tmp_path, ENTRIES) as entries:
        _repeats(entries, path, CrashMode.SILENTLY, side_by_side=4).run(14.0)
    assert len(site.record.crashes) >= CRASHES_UNTIL_KNOWN
    assert len(_late_retries(site)) <= RETRIES_MAX


@pytest.mark.parametrize("mode", [CrashMode.AT_ARRIVAL, CrashMode.MIDWAY])
def test_repeats_at_once_at_all_entries_end(site, tmp_path, mode):
    with running_entries(site, tmp_path, ENTRIES) as entries:
        _repeats(entries, "/check/1", mode, side_by_side=9).run(STABLE_WINDOW_S + 4.0)
    assert len(_late_retries(site)) <= RETRIES_MAX


def test_crashing_request_stays_known_when_every_entry_restarts(site, tmp_path):
    with running_entries(site, tmp_path, ENTRIES) as entries:
        repeats = _repeats(entries, "/check/1", LOUD)
        repeats.run(STABLE_WINDOW_S + 1.0)
        for each in entries:
            each.process.kill()
        for each in entries:
            each.start()
        repeats.run(3.0)
    assert len(_late_retries(site)) <= RETRIES_MAX


def test_crashing_request_is_known_while_the_store_is_away(site, tmp_path):
    with running_entries(site, tmp_path, ENTRIES) as entries:
        site.store.mood = StoreMood.REFUSING
        time.sleep(OUTAGE_SEEN_S)
        _repeats(entries, "/check/1", LOUD).run(STABLE_WINDOW_S + 2.0)
    assert len(site.record.crashes) <= CRASHES_UNTIL_KNOWN


def test_crashing_request_is_known_at_entries_that_lost_their_peers(site, tmp_path):
    with running_entries(site, tmp_path, 5, are_peers=False) as entries:
        _repeats(entries, "/check/1", LOUD, pause_s=0.6).run(STABLE_WINDOW_S + 4.0)
    assert len(_late_retries(site)) <= RETRIES_MAX


def test_crashing_request_is_known_at_entries_that_were_frozen(site, tmp_path):
    with running_entries(site, tmp_path, 4) as entries:
        for each in entries[1:]:
            each.process.send_signal(signal.SIGSTOP)
        _repeats(entries[:1], "/check/1", LOUD).run(STABLE_WINDOW_S + 1.0)
        for each in entries[1:]:
            each.process.send_signal(signal.SIGCONT)
        time.sleep(STABLE_WINDOW_S)
        _repeats(entries[1:], "/check/1", LOUD).run(3.0)
    assert len(_late_retries(site)) <= RETRIES_MAX


def test_sound_request_that_many_send_is_served_while_upstreams_end(site, tmp_path):
    """Many callers ask the same; upstreams crash one by one and together for other reasons."""
    with running_entries(site, tmp_path, ENTRIES) as entries:
        popular = Repeats([each.ports.callers for each in entries], "/check/1", b"same", 0.02, 6)
        callers = threading.Thread(target=popular.run, args=(6.0,))
        callers.start()
        time.sleep(1.0)
        for engine in list(site.engines.values())[:4]:
            engine.crash(CrashMode.AT_ARRIVAL)
            time.sleep(0.5)
        for engine in [each for each in site.engines.values() if not each.is_crashed][:4]:
            engine.crash(CrashMode.AT_ARRIVAL)
        callers.join()
        assert {each.refusal for each in popular.answers} <= {None, "outcome_unknown"}
        for number in range(12):
            assert ask(entries[number % ENTRIES].ports.callers, "/check/1", b"same").status == 200
