"""Each token reaches its caller exactly once, in order and from a single generation."""

import threading

import pytest

from gooseberryquay.daemons.tests.builders import (
    COMPLETION_PATH,
    MODEL,
    BackgroundStream,
    call,
    small_plan,
    stream,
    wait_until,
)
from gooseberryquay.standins.engine_faults import Hang, WrongGeneration
from gooseberryquay.standins.fault_proxy import FaultProxy
from gooseberryquay.standins.local_fleet import LocalFleet
from gooseberryquay.standins.proxy_messages import (
    CutConnections,
    ResetConnections,
    SilenceConnections,
)

TOKENS = 60


@pytest.fixture(scope="module")
def fleet():
    limits = {"stream_idle_timeout_s": 1.0}
    plan = small_plan(entries=3, has_proxies=True, limits=limits)
    with LocalFleet(plan) as running:
        yield running


def _engine_of(result):
    return result.event_ids[0].removeprefix("id: ").partition("~")[0]


def _assert_complete(result):
    assert result.is_done, result
    assert result.indexes() == list(range(TOKENS))
    assert result.generation


@pytest.mark.parametrize("fault", [CutConnections(), ResetConnections(), SilenceConnections()])
def test_stream_survives_a_connection_fault_between_entry_and_engine(fleet, fault):
    running = BackgroundStream(fleet.entry_addresses()[0], TOKENS).wait_for_tokens(5)
    proxy: FaultProxy = fleet.proxies[_engine_of(running.result)]
    proxy.apply_fault(fault)
    _assert_complete(running.join())


def test_token_of_another_generation_is_not_forwarded(fleet):
    running = BackgroundStream(fleet.entry_addresses()[0], TOKENS).wait_for_tokens(5)
    fleet.inject(_engine_of(running.result), WrongGeneration(tokens=1))
    got = running.join()
    # The engine stores the wrong event, so resuming returns it again.
    assert got.error["type"] == "generation_lost"
    assert got.indexes() == list(range(len(got.event_ids)))
    assert got.generation


def test_stream_survives_an_engine_that_hangs_for_a_while(fleet):
    running = BackgroundStream(fleet.entry_addresses()[0], TOKENS).wait_for_tokens(5)
    fleet.inject(_engine_of(running.result), Hang(duration_s=1.5))
    _assert_complete(running.join())


def test_stream_resumes_at_another_entry_after_a_kill(fleet):
    first = BackgroundStream(fleet.entry_addresses()[2], TOKENS).wait_for_tokens(5)
    fleet.kill("entry-3")
    got = first.join()
    assert not got.is_done
    rest = stream(fleet.entry_addresses()[1], TOKENS, last_event_id=got.last_event_id)
    assert rest.is_done
    assert got.indexes() + rest.indexes() == list(range(TOKENS))
    assert got.generation == rest.generation


def test_other_workspace_cannot_resume_a_generation(fleet):
    got = stream(fleet.entry_addresses()[0], TOKENS, stop_after=3)
    foreign = stream(
        fleet.entry_addresses()[1], TOKENS, last_event_id=got.last_event_id, workspace="plant"
    )
    assert foreign.status == 403
    assert foreign.error["type"] == "wrong_workspace"
    assert not foreign.event_ids


def test_generation_of_a_killed_engine_ends_with_generation_lost(fleet):
    running = BackgroundStream(fleet.entry_addresses()[0], 2000).wait_for_tokens(5)
    engine = _engine_of(running.result)
    fleet.kill(engine)
    got = running.join()
    assert got.error["type"] == "generation_lost"
    assert got.error["ran"] == "maybe"
    assert got.indexes() == list(range(len(got.event_ids)))
    again = stream(fleet.entry_addresses()[1], 10, last_event_id=got.last_event_id)
    assert (again.status, again.error["type"]) == (410, "generation_lost")
    fleet.start(engine)
    after_restart = stream(fleet.entry_addresses()[1], 10, last_event_id=got.last_event_id)
    assert after_restart.error["type"] == "generation_lost"


def test_unstreamed_completion_is_rerun_when_its_engine_dies(fleet):
    wait_until(lambda: stream(fleet.entry_addresses()[0], 2).is_done)
    responses = []
    body = {"model": MODEL, "prompt": "whole", "standin_output_tokens": 80}
    caller = threading.Thread(
        target=lambda: responses.append(call(fleet.entry_addresses()[0], COMPLETION_PATH, body))
    )
    before = {name: fleet.engine_counts(name).arrivals for name in fleet.plan.engine_names()}
    caller.start()
    busy = []
    wait_until(
        lambda: busy.extend(
            name
            for name in fleet.plan.engine_names()
            if fleet.engine_counts(name).arrivals > before[name]
        )
        or busy
    )
    fleet.kill(busy[0])
    caller.join(60)
    assert responses[0].status == 200
    words = responses[0].body["choices"][0]["text"].split()
    assert [int(word.split(".")[0][1:]) for word in words] == list(range(80))
    assert len({word.split(".")[1] for word in words}) == 1
