"""A part of a prompt that crashes each engine, in requests that are otherwise unlike."""

import random
import threading
import time

import pytest

from gooseberryquay.daemons.tests.platform_builders import running_entries
from gooseberryquay.daemons.tests.prompt_part_builders import (
    PromptCallers,
    run_together,
    share_served,
)
from gooseberryquay.standins.node_platform.site import Site
from gooseberryquay.standins.node_platform.store import StoreAvailability
from gooseberryquay.standins.node_platform.upstream_crash import CrashingPart, CrashMode

# Bounds of the requirement on parts of prompts that crash engines.
CRASHES_UNTIL_BLOCKED = 5
STABLE_WINDOW_S = 3.0
LATE_REQUESTS_MAX = 3
# Callers of sound requests are to notice nothing, but for those that run where an engine ends.
SOUND_SERVED_MIN = 0.9
OUTAGE_SEEN_S = 4.0
ENTRIES = 3
BAD, FIRST, OTHER = "bad0", "aa01", "bb02"


@pytest.fixture
def site():
    site = Site(random.Random(1))
    site.start(engines=9, services=3)
    yield site
    site.stop()


def _callers(entries, path, *parts, **changes):
    return PromptCallers([each.ports.callers for each in entries], path, parts, **changes)


def _late_requests(site):
    crashes = sorted(site.record.crashes)
    if len(crashes) < CRASHES_UNTIL_BLOCKED:
        return []
    blocked_at_s = crashes[CRASHES_UNTIL_BLOCKED - 1] + STABLE_WINDOW_S
    return [each for each in site.record.crash_request_arrivals if each > blocked_at_s]


def _check_blocked(site, sound, entries):
    """Check the bound, and that sound requests with the other parts are served."""
    assert len(site.record.crashes) >= 3
    assert len(_late_requests(site)) <= LATE_REQUESTS_MAX
    assert share_served(sound.run(STABLE_WINDOW_S)) >= SOUND_SERVED_MIN


@pytest.mark.parametrize("path", ["/check/1", "/note/1"])
@pytest.mark.parametrize("after_events", [0, 2])
@pytest.mark.parametrize(
    "parts", [(BAD, FIRST), (FIRST, BAD), (FIRST, BAD, OTHER), (FIRST, OTHER, BAD), (BAD,)]
)
def test_part_that_crashes_engines_is_blocked_and_its_neighbors_are_served(
    site, tmp_path, path, after_events, parts
):
    site.set_crashing_part(CrashingPart(BAD, after_events))
    with running_entries(site, tmp_path, ENTRIES) as entries:
        bad = _callers(entries, path, *parts)
        sound = _callers(entries, path, *[each for each in parts if each != BAD])
        run_together(2 * STABLE_WINDOW_S + 3.0, bad, sound)
        _check_blocked(site, sound, entries)
        assert bad.responses[-1].refusal == "crashes_upstreams"
        assert bad.responses[-1].status == 503 and float(bad.responses[-1].retry_after) > 0


def test_part_that_served_well_before_it_crashes_engines_is_blocked(site, tmp_path):
    with running_entries(site, tmp_path, ENTRIES) as entries:
        bad = _callers(entries, "/check/1", FIRST, BAD)
        sound = _callers(entries, "/check/1", FIRST)
        run_together(2.0, bad, sound)
        site.set_crashing_part(CrashingPart(BAD))
        run_together(2 * STABLE_WINDOW_S + 3.0, bad, sound)
        _check_blocked(site, sound, entries)


def test_first_part_of_a_whole_route_that_crashes_engines_is_blocked(site, tmp_path):
    site.set_crashing_part(CrashingPart(BAD))
    with running_entries(site, tmp_path, ENTRIES) as entries:
        sound = _callers(entries, "/note/1", FIRST)
        run_together(2 * STABLE_WINDOW_S + 3.0, _callers(entries, "/check/1", BAD, OTHER), sound)
        _check_blocked(site, sound, entries)


def test_part_that_crashes_engines_stays_blocked_when_every_entry_restarts(site, tmp_path):
    site.set_crashing_part(CrashingPart(BAD))
    with running_entries(site, tmp_path, ENTRIES) as entries:
        bad = _callers(entries, "/check/1", FIRST, BAD)
        sound = _callers(entries, "/check/1", FIRST)
        run_together(STABLE_WINDOW_S + 2.0, bad, sound)
        for each in entries:
            each.process.kill()
        for each in entries:
            each.start()
        run_together(STABLE_WINDOW_S, bad, sound)
        _check_blocked(site, sound, entries)


def test_part_that_crashes_engines_is_blocked_while_the_store_is_unavailable(site, tmp_path):
    site.set_crashing_part(CrashingPart(BAD))
    with running_entries(site, tmp_path, ENTRIES) as entries:
        site.store.availability = StoreAvailability.REFUSING
        time.sleep(OUTAGE_SEEN_S)
        bad = _callers(entries, "/check/1", FIRST, BAD)
        sound = _callers(entries, "/check/1", FIRST)
        run_together(2 * STABLE_WINDOW_S, bad, sound)
        _check_blocked(site, sound, entries)


@pytest.mark.parametrize("parts", [(FIRST,), (FIRST, OTHER)])
@pytest.mark.parametrize("at_once", [1, 4])
def test_sound_parts_are_not_blocked_when_engines_crash_for_other_reasons(
    site, tmp_path, parts, at_once
):
    with running_entries(site, tmp_path, ENTRIES) as entries:
        sound = _callers(entries, "/check/1", *parts, concurrency=6, pause_s=0.02)
        calling = threading.Thread(target=sound.run, args=(8.0,))
        calling.start()
        time.sleep(1.0)
        for _ in range(12 // at_once):
            running = [each for each in site.engines.values() if not each.is_crashed]
            for engine in running[:at_once]:
                engine.crash(CrashMode.AT_ARRIVAL)
            time.sleep(0.5 * at_once)
        calling.join()
        assert {each.refusal for each in sound.responses} <= {None, "outcome_unknown"}
