"""Combined faults: outages, kills, drains and operator commands at the same time."""

import json

import pytest

from gooseberryquay.daemons.tests.builders import (
    POST_PATH,
    BackgroundStream,
    call,
    run_operator_command,
    set_outage,
    small_plan,
    stream,
    wait_until,
)
from gooseberryquay.standins.local_fleet import LocalFleet
from gooseberryquay.standins.platform_faults import Outage

UNAVAILABLE_STATUS = 3
TOKENS = 120


@pytest.fixture
def fleet():
    with LocalFleet(small_plan(engines=3, entries=3)) as running:
        yield running


def test_zone_command_is_refused_in_a_platform_outage_and_works_after_it(fleet):
    set_outage(fleet, Outage.REFUSE)
    refused = run_operator_command(fleet, "zone", "out", "zone-a")
    assert refused.returncode == UNAVAILABLE_STATUS
    set_outage(fleet, Outage.NONE)
    assert run_operator_command(fleet, "zone", "out", "zone-a").returncode == 0


def test_leaving_entry_does_not_report_a_posting_that_ran_as_not_run(fleet):
    entries = fleet.entry_addresses()
    assert call(entries[1], POST_PATH, {"kg": 1}, "ran").status == 200
    running = BackgroundStream(entries[0], 400).wait_for_tokens(1)
    fleet.terminate("entry-1")
    wait_until(lambda: call(entries[0], POST_PATH, {"kg": 1}, "ran").status == 503)
    again = call(entries[0], POST_PATH, {"kg": 1}, "ran")
    assert (again.error["type"], again.error["ran"]) == ("entry_leaving", "maybe")
    first = call(entries[0], POST_PATH, {"kg": 2}, "new", **{"X-Retry-Count": "0"})
    assert (first.error["type"], first.error["ran"]) == ("entry_leaving", "no")
    assert running.join().is_done


def test_entry_killed_while_another_drains_loses_no_token(fleet):
    entries = fleet.entry_addresses()
    drained = BackgroundStream(entries[0], TOKENS).wait_for_tokens(3)
    killed = BackgroundStream(entries[1], TOKENS).wait_for_tokens(3)
    fleet.terminate("entry-1")
    fleet.kill("entry-2")
    assert drained.join().is_done
    got = killed.join()
    rest = stream(entries[2], TOKENS, last_event_id=got.last_event_id)
    assert got.indexes() + rest.indexes() == list(range(TOKENS))
    assert fleet.process("entry-1").wait(60) == 0


def test_engine_death_in_a_platform_outage_does_not_affect_other_engines(fleet):
    set_outage(fleet, Outage.DROP)
    fleet.kill("engine-1")
    wait_until(lambda: stream(fleet.entry_addresses()[0], 3).is_done)
    results = [stream(at, 3) for at in fleet.entry_addresses() * 5]
    assert all(each.is_done for each in results)


def test_posting_whose_entry_dies_in_a_platform_outage_never_runs_twice(fleet):
    entries = fleet.entry_addresses()
    assert call(entries[0], POST_PATH, {"kg": 1}, "both").status == 200
    set_outage(fleet, Outage.DROP)
    fleet.kill("entry-1")
    again = call(entries[1], POST_PATH, {"kg": 1}, "both")
    assert again.status == 200 or again.error["ran"] != "no"
    set_outage(fleet, Outage.NONE)
    wait_until(lambda: call(entries[2], POST_PATH, {"kg": 1}, "both").status == 200)
    assert fleet.service_counts("service-1").runs["both"] == 1


def test_burn_report_includes_requests_of_a_restarted_entry(fleet, tmp_path):
    for at in fleet.entry_addresses():
        assert call(at, POST_PATH, {"kg": 1}, f"burn-{at.port}").status == 200
    fleet.terminate("entry-1")
    assert fleet.process("entry-1").wait(60) == 0
    fleet.start("entry-1")
    fleet.wait_until_ready(["entry-1"])
    base = tmp_path / "base.ini"
    base.write_text("[service:ledger-app]\nkind = plain\noperations = post-weights\n")
    report = json.loads(run_operator_command(fleet, "burn", f"--base={base}", "--json").stdout)
    (row,) = [each for each in report["rows"] if each["promise"] == "answered"]
    assert row["windows"][-1]["due"] == len(fleet.entry_addresses())
