"""A request that crashes engines is stopped, and innocent ones are not."""

import pytest

from gooseberryquay.daemons.tests.builders import BackgroundStream, small_plan, stream
from gooseberryquay.standins.local_fleet import LocalFleet

POISON = "please crash-the-engine now"
CRASHES_MAX = 2
TRIES = 12


@pytest.fixture
def fleet():
    with LocalFleet(small_plan(entries=3, engines=6)) as running:
        yield running


def _dead_engines(fleet):
    names = fleet.plan.engine_names()
    return [name for name in names if not fleet.process(name).is_running()]


def test_crashing_request_is_stopped_at_every_entry_and_its_neighbours_are_served(fleet):
    refused = 0
    for attempt in range(TRIES):
        entries = fleet.entry_addresses()
        got = stream(entries[attempt % len(entries)], 20, prompt=POISON)
        assert not got.is_done
        refused += got.error is not None and got.error["type"] == "suspected_crash"
        if refused == 1 and attempt < TRIES - len(entries):
            fleet.kill("entry-2")
            fleet.start("entry-2")
            fleet.wait_until_ready(["entry-2"])
            refused += 1
    assert refused > 1
    assert len(_dead_engines(fleet)) <= CRASHES_MAX


def test_requests_hit_by_the_failure_of_a_zone_are_served_at_once_when_sent_again(fleet):
    zone = fleet.plan.zones[0]
    names = fleet.plan.engine_names()
    lost = [name for name in names if fleet.plan.zone_of(names, name) == zone]
    running = [
        BackgroundStream(fleet.entry_addresses()[0], 400, prompt=f"note {number}")
        for number in range(24)
    ]
    for each in running:
        each.wait_for_tokens(1)
    for name in lost:
        fleet.kill(name)
    results = [each.join() for each in running]
    hit = [number for number, each in enumerate(results) if not each.is_done]
    assert hit
    again = [
        BackgroundStream(fleet.entry_addresses()[1], 20, prompt=f"note {number}") for number in hit
    ]
    ends = [each.join(30.0) for each in again]
    assert [each.error for each in ends if not each.is_done] == []
