"""Which guarantees a final response gives, whichever way the handling of a request ended."""

import pytest

from gooseberryquay.links.caller_watch import NullCallerWatch
from gooseberryquay.serving.refusal import RefusalReason
from gooseberryquay.serving.route import RouteKind
from gooseberryquay.serving.tests.builders import (
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
