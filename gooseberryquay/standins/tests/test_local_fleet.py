import json

import pytest

from gooseberryquay.links.http_client import HttpClient
from gooseberryquay.standins.engine_faults import Die
from gooseberryquay.standins.fleet_plan import FleetPlan
from gooseberryquay.standins.load import LoadPlan, LoadRun, Variant
from gooseberryquay.standins.local_fleet import LocalFleet
from gooseberryquay.standins.tests.builders import event_indexes, parse_events

PLAN = FleetPlan(engines=2, engine_options={"step_base_s": 0.005}, has_proxies=True)


@pytest.fixture(scope="module")
def fleet():
    with LocalFleet(PLAN) as started:
        yield started


def test_generation_goes_through_an_entry_and_a_proxy(fleet):
    client = HttpClient(*fleet.entry_addresses()[0], read_timeout_s=20.0)
    wanted = {"model": PLAN.model, "prompt": "a", "stream": True, "standin_output_tokens": 5}
    headers = {"X-Workspace": PLAN.workspaces[0]}
    reply = client.send("POST", "/v1/completions", json.dumps(wanted).encode(), headers).unwrap()
    events = parse_events(reply.body)
    generation = events[0].id.rpartition("/")[0]
    assert event_indexes(events, generation) == list(range(5))
    name = generation.partition("~")[0]
    assert fleet.engine_counts(name).runs == {generation: 1}
    assert fleet.proxies[name].counts().bytes_to_caller > 0


def test_load_run_counts_every_call(fleet):
    plan = LoadPlan(
        workspaces=PLAN.workspaces,
        model=PLAN.model,
        rate_per_s=20.0,
        duration_s=2.0,
        summary_tokens_median=20.0,
    )
    variant = Variant("entries", fleet.entry_addresses(), fleet.upstream_addresses())
    (summary,) = LoadRun(plan, [variant]).run()
    calls = sum(kind.calls for kind in summary.kinds.values())
    assert sum(kind.answered for kind in summary.kinds.values()) == calls
    assert summary.upstreams.duplicate_runs == 0


def test_members_are_paused_killed_and_started_again(fleet):
    fleet.pause("service-1")
    fleet.resume("service-1")
    fleet.inject("engine-2", Die())
    assert fleet.process("engine-2").wait(20) == 70
    fleet.start("engine-2")
    assert fleet.engine_counts("engine-2").arrivals == 0
    fleet.terminate("entry-2")
    assert fleet.process("entry-2").wait(30) == 0
