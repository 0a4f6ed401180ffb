"""Planned shutdowns interrupt nothing; evacuated zones and drained upstreams get no new work."""

import json
import signal
import time

import pytest

from gooseberryquay.daemons.tests.builders import (
    BackgroundStream,
    call,
    run_operator_command,
    set_outage,
    small_plan,
    stream,
    wait_until,
)
from gooseberryquay.standins.engine_faults import Reclaim
from gooseberryquay.standins.local_fleet import LocalFleet
from gooseberryquay.standins.platform_faults import Outage

NO_NEW_WORK_AFTER_S = 3.0
CONFIGURATION_APPLY_S = 5.0
# Lasts longer than the HTTP server waits for its threads on shutdown.
LONG_STREAM_TOKENS = 600


@pytest.fixture
def fleet():
    with LocalFleet(small_plan(engines=3, entries=3)) as running:
        yield running


def _revision(fleet, number):
    status = call(fleet.entry_addresses()[number], "/status", {}, method="GET")
    return status.body["revision"]


def _arrivals(fleet, names):
    return sum(fleet.engine_counts(name).arrivals for name in names)


def _engines_of(fleet, zone):
    names = fleet.plan.engine_names()
    return [name for name in names if fleet.plan.zone_of(names, name) == zone]


def _send_to_all(fleet, rounds):
    return [stream(at, 2) for _ in range(rounds) for at in fleet.entry_addresses()]


def test_evacuated_zone_gets_no_new_work_and_keeps_its_streams(fleet):
    running = [BackgroundStream(at, 150) for at in fleet.entry_addresses() * 3]
    for each in running:
        each.wait_for_tokens(2)
    assert run_operator_command(fleet, "zone", "out", "zone-a").returncode == 0
    time.sleep(NO_NEW_WORK_AFTER_S)
    engines = _engines_of(fleet, "zone-a")
    before = _arrivals(fleet, engines)
    assert all(each.is_done for each in _send_to_all(fleet, 10))
    assert _arrivals(fleet, engines) == before
    assert all(each.join().is_done for each in running)
    assert run_operator_command(fleet, "zone", "back", "zone-a").returncode == 0
    wait_until(lambda: _send_to_all(fleet, 2) and _arrivals(fleet, engines) > before)


def test_drained_upstream_gets_no_new_work(fleet):
    assert run_operator_command(fleet, "upstream", "drain", "engine-1").returncode == 0
    time.sleep(NO_NEW_WORK_AFTER_S)
    status = json.loads(run_operator_command(fleet, "status", "--json").stdout)
    assert len(status["entries"]) == len(fleet.entry_addresses())
    for entry in status["entries"]:
        assert "engine-1" not in {each["id"] for each in entry["upstreams"]}
    before = _arrivals(fleet, ["engine-1"])
    assert all(each.is_done for each in _send_to_all(fleet, 10))
    assert _arrivals(fleet, ["engine-1"]) == before


def test_reclaimed_upstream_gets_no_new_work(fleet):
    fleet.inject("engine-2", Reclaim(after_s=30.0))
    time.sleep(NO_NEW_WORK_AFTER_S)
    before = _arrivals(fleet, ["engine-2"])
    assert all(each.is_done for each in _send_to_all(fleet, 10))
    assert _arrivals(fleet, ["engine-2"]) == before


def _is_ready(address):
    response = call(address, "/readyz", {}, method="GET")
    return response is not None and response.status == 200


def test_sigterm_finishes_every_stream_and_exits_with_success(fleet):
    running = [BackgroundStream(fleet.entry_addresses()[0], LONG_STREAM_TOKENS) for _ in range(10)]
    for each in running:
        each.wait_for_tokens(2)
    fleet.terminate("entry-1")
    wait_until(lambda: not _is_ready(fleet.entry_addresses()[0]))
    assert not all(each.result.is_done for each in running)
    assert all(each.join().is_done for each in running)
    assert fleet.process("entry-1").wait(60) == 0


def test_rolling_restart_completes_every_accepted_stream(fleet):
    results = []
    for name, at in fleet.addresses.entries.items():
        others = [each for each in fleet.entry_addresses() if each != at]
        running = [BackgroundStream(each, LONG_STREAM_TOKENS) for each in (at, *others)]
        for each in running:
            each.wait_for_tokens(1)
        fleet.terminate(name)
        results += [each.join() for each in running]
        assert fleet.process(name).wait(60) == 0
        fleet.start(name)
        fleet.wait_until_ready([name])
    assert all(each.is_done for each in results)


def test_configuration_survives_a_restart_during_a_platform_outage(fleet):
    assert run_operator_command(fleet, "zone", "out", "zone-b").returncode == 0
    wait_until(lambda: all(_revision(fleet, each) == 2 for each in range(3)), CONFIGURATION_APPLY_S)
    set_outage(fleet, Outage.DROP)
    fleet.process("entry-1").send_signal(signal.SIGKILL)
    fleet.process("entry-1").wait(10)
    fleet.start("entry-1")
    fleet.wait_until_ready(["entry-1"])
    assert _revision(fleet, 0) == 2
    before = _arrivals(fleet, _engines_of(fleet, "zone-b"))
    assert all(each.is_done for each in _send_to_all(fleet, 5))
    assert _arrivals(fleet, _engines_of(fleet, "zone-b")) == before
