"""Orders to stop a run whose answers do not come, or that are heeded late."""

import threading
import time

from result import Err

from gooseberryquay.links.upstream_connection import BodyEnd
from gooseberryquay.serving.ports import MoveFailure, MoveRefusal
from gooseberryquay.serving.route import RouteKind
from gooseberryquay.serving.tests.builders import (
    BROKEN,
    Recorder,
    ScriptedCalls,
    ScriptedResponse,
    build_path,
    build_record,
    build_request,
    build_route,
    copied,
    event,
    events,
)
from gooseberryquay.serving.upstream_record import UpstreamState

FAILED = Err(MoveFailure(MoveRefusal.FAILED))
# Callers abandon a stream after a longer gap.
GAP_S = 2.0


def _parts(first, last):
    return [event(each) for each in range(first, last + 1)]


def _drain(path, name="engine-0"):
    path.registry.apply_record(build_record(name, state=UpstreamState.DRAINING))


def _serve(path, **route):
    recorder = Recorder()
    request = build_request(
        build_route(RouteKind.STREAMING, timeout_s=10.0, **route),
        recorder,
        deadline_at_s=time.monotonic() + 10.0,
    )
    path.generation_handler.serve(request)
    return recorder


def test_stream_closed_after_an_order_without_an_answer_goes_on_before_its_caller_leaves():
    path = build_path([build_record(f"engine-{each}") for each in range(3)], ScriptedCalls())
    ordered = threading.Event()
    at_s = {}

    def move(_source, _id, _target, is_final, until_s):
        if not is_final:
            return copied("ahead")
        ordered.set()
        time.sleep(max(0.0, until_s - time.monotonic()))
        return FAILED

    def before_end(number):
        if number == 2:
            at_s["last event"] = time.monotonic()
            _drain(path)
            assert ordered.wait(2.0)

    def before_next(number):
        at_s.setdefault("next event", time.monotonic())

    path.upstream_client.move = move
    path.upstream_client.responses = [
        ScriptedResponse(200, _parts(1, 2), BodyEnd.CLOSED, before_part=before_end),
        ScriptedResponse(200, _parts(3, 4), before_part=before_next),
    ]
    caller = _serve(path, is_resumable=False)
    assert (caller.body, caller.is_complete) == (events(1, 4), True)
    assert at_s["next event"] - at_s["last event"] < GAP_S


def test_new_run_that_an_unanswered_order_of_the_run_before_may_stop_is_not_complete():
    path = build_path([build_record(f"engine-{each}") for each in range(3)], ScriptedCalls())
    ordered = threading.Event()

    def move(source, _id, _target, is_final, _until_s):
        path.upstream_client.moved.append((source.id, is_final))
        if is_final and source.id == "engine-1":
            if not ordered.is_set():
                ordered.set()
                _drain(path, "engine-2")
            return FAILED
        return copied("h")

    def before_end(number):
        if number == 2:
            _drain(path)
            (active,) = path.active.at("engine-0")
            with active.changed:
                assert active.changed.wait_for(lambda: active.copy is not None, 2.0)

    path.upstream_client.move = move
    path.upstream_client.responses = [
        ScriptedResponse(200, _parts(1, 2), BROKEN, before_part=before_end),
        ScriptedResponse(200, _parts(3, 3), BROKEN),
        # The order that was not answered arrives.
        ScriptedResponse(200, _parts(4, 4), BodyEnd.CLOSED),
        ScriptedResponse(503, is_not_run=True),
    ]
    caller = _serve(path, is_resumable=True, attempts_max=3)
    # The engine that may still hold the order gets no new run.
    assert path.upstream_client.upstreams() == ["engine-0", "engine-1"]
    assert ordered.is_set()
    assert not caller.is_complete
