"""A part of a prompt that crashes each engine, under restarts, outages and other crashes."""

import random
import threading
import time

import pytest

from gooseberryquay.daemons.tests.platform_builders import running_entries
from gooseberryquay.daemons.tests.prompt_part_builders import (
    BAD,
    ENTRIES,
    FIRST,
    OTHER,
    STABLE_WINDOW_S,
    check_blocked,
    prompt_callers,
    run_together,
)
from gooseberryquay.standins.node_platform.site import Site
from gooseberryquay.standins.node_platform.store import StoreAvailability
from gooseberryquay.standins.node_platform.upstream_crash import CrashingPart, CrashMode

OUTAGE_SEEN_S = 4.0


@pytest.fixture
def site():
    site = Site(random.Random(1))
    site.start(engines=9, services=3)
    yield site
    site.stop()


def test_part_that_served_well_before_it_crashes_engines_is_blocked(site, tmp_path):
    with running_entries(site, tmp_path, ENTRIES) as entries:
        bad = prompt_callers(entries, "/check/1", FIRST, BAD)
        sound = prompt_callers(entries, "/check/1", FIRST)
        run_together(2.0, bad, sound)
        site.set_crashing_part(CrashingPart(BAD))
        run_together(2 * STABLE_WINDOW_S + 3.0, bad, sound)
        check_blocked(site, sound)


def test_first_part_of_a_whole_route_that_crashes_engines_is_blocked(site, tmp_path):
    site.set_crashing_part(CrashingPart(BAD))
    with running_entries(site, tmp_path, ENTRIES) as entries:
        sound = prompt_callers(entries, "/note/1", FIRST)
        run_together(
            2 * STABLE_WINDOW_S + 3.0, prompt_callers(entries, "/check/1", BAD, OTHER), sound
        )
        check_blocked(site, sound)


def test_part_that_crashes_engines_stays_blocked_when_every_entry_restarts(site, tmp_path):
    site.set_crashing_part(CrashingPart(BAD))
    with running_entries(site, tmp_path, ENTRIES) as entries:
        bad = prompt_callers(entries, "/check/1", FIRST, BAD)
        sound = prompt_callers(entries, "/check/1", FIRST)
        run_together(STABLE_WINDOW_S + 2.0, bad, sound)
        for each in entries:
            each.process.kill()
        for each in entries:
            each.start()
        run_together(STABLE_WINDOW_S, bad, sound)
        check_blocked(site, sound)


def test_part_that_crashes_engines_is_blocked_while_the_store_is_unavailable(site, tmp_path):
    site.set_crashing_part(CrashingPart(BAD))
    with running_entries(site, tmp_path, ENTRIES) as entries:
        site.store.availability = StoreAvailability.REFUSING
        time.sleep(OUTAGE_SEEN_S)
        bad = prompt_callers(entries, "/check/1", FIRST, BAD)
        sound = prompt_callers(entries, "/check/1", FIRST)
        run_together(2 * STABLE_WINDOW_S, bad, sound)
        check_blocked(site, sound)


@pytest.mark.parametrize("parts", [(FIRST,), (FIRST, OTHER)])
@pytest.mark.parametrize("at_once", [1, 4])
def test_sound_parts_are_not_blocked_when_engines_crash_for_other_reasons(
    site, tmp_path, parts, at_once
):
    with running_entries(site, tmp_path, ENTRIES) as entries:
        sound = prompt_callers(entries, "/check/1", *parts, concurrency=6, pause_s=0.02)
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
