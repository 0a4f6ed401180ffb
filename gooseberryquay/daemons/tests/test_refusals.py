"""Statuses that promise "not run" are given only to requests that did not run."""

import threading

from gooseberryquay.daemons.tests.builders import (
    COMPLETION_PATH,
    MODEL,
    call,
    small_plan,
    stream,
    wait_until,
)
from gooseberryquay.links.execution_proof import PROMISES_NOT_EXECUTED
from gooseberryquay.standins.local_fleet import LocalFleet

LONG_TOKENS = 2000
REFUSED_RESUMES = [
    ({"X-Workspace": "plant"}, "wrong_workspace"),
    ({"X-Workspace": "stranger"}, "unknown_workspace"),
    ({"X-Deadline-Ms": "0"}, "deadline_past"),
    ({"X-Work-Kind": "a b"}, "invalid_request"),
    ({"Last-Event-ID": "x"}, "generation_lost"),
]


def test_refused_resume_does_not_say_that_its_generation_did_not_run():
    with LocalFleet(small_plan(entries=1, engines=1)) as fleet:
        at = fleet.entry_addresses()[0]
        started = stream(at, LONG_TOKENS, stop_after=2)
        for headers, error_type in REFUSED_RESUMES:
            resume = {"Last-Event-ID": started.last_event_id, **headers}
            refused = call(at, COMPLETION_PATH, {"model": MODEL, "prompt": "p"}, **resume)
            assert refused.error["type"] == error_type
            assert refused.error["ran"] == "maybe", error_type


def test_generation_that_ran_at_a_dead_engine_gets_no_status_that_promises_it_did_not():
    with LocalFleet(small_plan(entries=1, engines=1)) as fleet:
        at = fleet.entry_addresses()[0]
        wait_until(lambda: stream(at, 2).is_done)
        before = fleet.engine_counts("engine-1").arrivals
        body = {"model": MODEL, "prompt": "whole", "standin_output_tokens": LONG_TOKENS}
        responses = []
        caller = threading.Thread(target=lambda: responses.append(call(at, COMPLETION_PATH, body)))
        caller.start()
        wait_until(lambda: fleet.engine_counts("engine-1").arrivals > before)
        fleet.kill("engine-1")
        caller.join(60)
    assert responses[0].error["ran"] == "maybe"
    assert responses[0].status not in PROMISES_NOT_EXECUTED
