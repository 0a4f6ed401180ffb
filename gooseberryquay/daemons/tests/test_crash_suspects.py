"""A request that crashes engines is blocked; unrelated requests are not."""

import pytest

from gooseberryquay.daemons.tests.builders import BackgroundStream, small_plan, stream
from gooseberryquay.standins.local_fleet import LocalFleet

CRASHING_PROMPT = "please crash-the-engine now"
CRASHES_MAX = 2
ATTEMPTS = 12


@pytest.fixture
def fleet():
    with LocalFleet(small_plan(entries=3, engines=6)) as running:
        yield running


def _dead_engines(fleet):
    names = fleet.plan.engine_names()
    return [name for name in names if not fleet.process(name).is_running()]


def test_crashing_request_is_blocked_at_every_entry(fleet):
    refused = 0
    for attempt in range(ATTEMPTS):
        entries = fleet.entry_addresses()
        got = stream(entries[attempt % len(entries)], 20, prompt=CRASHING_PROMPT)
        assert not got.is_done
        refused += got.error is not None and got.error["type"] == "suspected_crash"
        if refused == 1 and attempt < ATTEMPTS - len(entries):
            fleet.kill("entry-2")
            fleet.start("entry-2")
            fleet.wait_until_ready(["entry-2"])
            refused += 1
    assert refused > 1
    assert len(_dead_engines(fleet)) <= CRASHES_MAX


def test_requests_interrupted_by_a_zone_failure_are_served_when_retried(fleet):
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
    interrupted = [number for number, each in enumerate(results) if not each.is_done]
    assert interrupted
    retries = [
        BackgroundStream(fleet.entry_addresses()[1], 20, prompt=f"note {number}")
        for number in interrupted
    ]
    ends = [each.join(30.0) for each in retries]
    assert [each.error for each in ends if not each.is_done] == []
