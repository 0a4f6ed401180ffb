"""Which guarantees a final response gives, whichever way the handling of a request ended."""

import contextlib
import io
import logging
import threading
import time

import pytest
from pythonjsonlogger.json import JsonFormatter
from result import Err

from gooseberryquay.ids import RequestId
from gooseberryquay.links.caller_watch import NullCallerWatch
from gooseberryquay.links.streaming_gateway import CallerDisconnected
from gooseberryquay.serving.call import GenerationDemand
from gooseberryquay.serving.decision_log import FIELDS, DecisionLog
from gooseberryquay.serving.drain_state import DrainState
from gooseberryquay.serving.refusal import RefusalReason
from gooseberryquay.serving.route import RouteKind
from gooseberryquay.serving.tests.builders import (
    BROKEN,
    LEDGER,
    MODEL,
    Recorder,
    ScriptedCalls,
    ScriptedResponse,
    build_call,
    build_path,
    build_record,
    build_request_handler,
    build_route,
    build_routing,
    build_ticket,
    events,
)


class _FailingClient:
    """Fail in the request's thread after the request may have been sent."""

    def __init__(self, error):
        self.error = error

    def open(self, upstream, call, options, caller):
        raise self.error


@pytest.mark.parametrize("kind", RouteKind)
@pytest.mark.parametrize("error", [TimeoutError("timed out"), KeyError("x"), MemoryError()])
def test_exception_after_sending_a_request_promises_nothing(kind, error):
    """The HTTP server answers 408 to a TimeoutError, which promises that nothing ran."""
    routing = build_routing(build_route(kind))
    records = [build_record("app-1", LEDGER), build_record("engine-1", MODEL)]
    path = build_path(records, _FailingClient(error), routing)
    recorder = Recorder()
    build_request_handler(path, routing).serve(build_call(), NullCallerWatch(), recorder)
    assert recorder.status == RefusalReason.INTERNAL_ERROR.status == 502
    assert recorder.is_complete


def test_exception_after_the_response_has_begun_aborts_the_connection():
    routing = build_routing(build_route(RouteKind.STREAMING))
    broken = ScriptedResponse(200, [events(1, 2)], before_part=_fail_at(1))
    path = build_path([build_record("engine-1", MODEL)], ScriptedCalls([broken]), routing)
    recorder = Recorder()
    build_request_handler(path, routing).serve(build_call(), NullCallerWatch(), recorder)
    assert (recorder.status, recorder.body) == (200, events(1, 2))
    assert recorder.is_aborted and not recorder.is_complete


def _fail_at(part):
    def act(number):
        if number == part:
            raise KeyError("x")

    return act


@pytest.mark.parametrize("kind", RouteKind)
@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_upstreams_guarantee_without_proof_never_reaches_the_caller(kind, status):
    routing = build_routing(build_route(kind))
    records = [build_record("app-1", LEDGER), build_record("engine-1", MODEL)]
    responses = [ScriptedResponse(status, [b"busy"]) for _ in range(4)]
    path = build_path(records, ScriptedCalls(responses), routing)
    recorder = Recorder()
    build_request_handler(path, routing).serve(build_call(), NullCallerWatch(), recorder)
    assert recorder.status in {502, 504}


def _wait_until(condition, within_s=5.0):
    until_s = time.monotonic() + within_s
    while not condition():
        assert time.monotonic() < until_s
        time.sleep(0.01)


class _BlockingClient:
    """Hold each send until it is released, then report that the outcome is unknown."""

    def __init__(self):
        self.is_sent = threading.Event()
        self.released = threading.Event()

    def open(self, upstream, call, options, caller):
        self.is_sent.set()
        self.released.wait(5.0)
        return Err(BROKEN)


@contextlib.contextmanager
def _served(handler, call, recorder):
    thread = threading.Thread(target=handler.serve, args=(call, NullCallerWatch(), recorder))
    thread.start()
    yield
    thread.join(5.0)
    assert not thread.is_alive()


@pytest.mark.parametrize("kind", RouteKind)
def test_request_in_flight_at_the_exit_gets_an_answer_that_promises_nothing(kind):
    """Calls that were in flight as the process exited were cut without an answer."""
    routing = build_routing(build_route(kind))
    client, recorder, drain_state = _BlockingClient(), Recorder(), DrainState()
    records = [build_record("app-1", LEDGER), build_record("engine-1", MODEL)]
    handler = build_request_handler(build_path(records, client, routing), routing, drain_state)
    with _served(handler, build_call(), recorder):
        assert client.is_sent.wait(5.0)
        drain_state.begin(0.5)
        handler.refuse_unsent()
        assert recorder.status is None
        assert handler.end_open() == 1
        assert (recorder.status, recorder.is_complete) == (502, True)
        client.released.set()
    assert recorder.status == 502


class _ResetRecorder(Recorder):
    """Fail as the connection of a caller that has reset it."""

    def send(self, status, headers, body):
        raise CallerDisconnected("reset by peer")


@pytest.mark.parametrize("end_name", ["end_open", "refuse_unsent"])
def test_caller_that_resets_its_connection_leaves_no_other_without_an_answer_at_the_exit(end_name):
    """The drain ended with the exception, and all other requests were cut."""
    routing = build_routing(build_route(RouteKind.STREAMING, goal_s=30.0, timeout_s=30.0))
    path = build_path([build_record("engine-1", MODEL)], ScriptedCalls(), routing)
    path.queue.place(build_ticket("other"), NullCallerWatch())
    reset, recorder, drain_state = _ResetRecorder(), Recorder(), DrainState()
    handler = build_request_handler(path, routing, drain_state)
    demand = GenerationDemand("m", 6000, 400, 400, ())
    calls = [
        build_call(id=RequestId(id), deadline_at_s=time.monotonic() + 30.0, demand=demand)
        for id in ("first", "second")
    ]
    with _served(handler, calls[0], reset):
        _wait_until(lambda: path.queue.length() == 1)
        with _served(handler, calls[1], recorder):
            _wait_until(lambda: path.queue.length() == 2)
            drain_state.begin(7.5)
            getattr(handler, end_name)()
            assert (recorder.status, recorder.is_complete) == (503, True)
            for run in path.loads.runs_at("engine-1"):
                path.loads.end(run)


def test_queued_generation_that_cannot_end_before_the_exit_is_refused_at_once():
    """Generations waited at an entry that drained, and were cut at its exit."""
    routing = build_routing(build_route(RouteKind.STREAMING, goal_s=30.0, timeout_s=30.0))
    path = build_path([build_record("engine-1", MODEL)], ScriptedCalls(), routing)
    path.queue.place(build_ticket("other"), NullCallerWatch())
    recorder, drain_state = Recorder(), DrainState()
    handler = build_request_handler(path, routing, drain_state)
    call = build_call(
        deadline_at_s=time.monotonic() + 30.0, demand=GenerationDemand("m", 6000, 400, 400, ())
    )
    with _served(handler, call, recorder):
        _wait_until(lambda: path.queue.length() == 1)
        drain_state.begin(7.5)
        handler.refuse_unsent()
        assert (recorder.status, recorder.is_complete) == (503, True)
        assert recorder.is_aborted
        for run in path.loads.runs_at("engine-1"):
            path.loads.end(run)
        path.queue.changed()
    assert path.upstream_client.opened == []


def test_request_that_arrives_while_the_entry_drains_is_accepted_only_if_it_ends_before_the_exit():
    routing = build_routing(build_route(RouteKind.NON_IDEMPOTENT, goal_s=0.1, timeout_s=2.0))
    for grace_s, status in [(1.9, 503), (5.0, 200)]:
        client = ScriptedCalls([ScriptedResponse(200, [b"done"])])
        path = build_path([build_record("app-1", LEDGER)], client, routing)
        drain_state, recorder = DrainState(), Recorder()
        drain_state.begin(grace_s)
        handler = build_request_handler(path, routing, drain_state)
        handler.serve(build_call(), NullCallerWatch(), recorder)
        assert recorder.status == status
        assert len(client.opened) == (status == 200)


def test_refusals_without_a_route_are_told_apart_by_lines_that_are_cut():
    text = io.StringIO()
    writer = logging.StreamHandler(text)
    writer.setFormatter(JsonFormatter(FIELDS, static_fields={"entry": "edge-gbg-norr-1"}))
    logger = logging.Logger("refusals")
    logger.addHandler(writer)
    routing = build_routing(build_route(RouteKind.NON_IDEMPOTENT))
    path = build_path([build_record("app-1", LEDGER)], ScriptedCalls([]), routing)
    draining = DrainState()
    draining.begin(0.1)
    calm, id = DrainState(), RequestId("ee2fc6871545588d")
    for table, drain_state, call in [
        (None, calm, build_call(id=id)),
        (routing, calm, build_call(id=id, host="other.example")),
        (routing, calm, build_call(id=id, key="other")),
        (routing, draining, build_call(id=id)),
    ]:
        handler = build_request_handler(path, table, drain_state, DecisionLog(logger))
        handler.serve(call, NullCallerWatch(), Recorder())
    cut = [line[:200] for line in text.getvalue().splitlines()]
    assert [line.partition('"reason": "')[2].partition('"')[0] for line in cut] == [
        "no_configuration",
        "not_found",
        "unknown_key",
        "entry_leaving",
    ]
