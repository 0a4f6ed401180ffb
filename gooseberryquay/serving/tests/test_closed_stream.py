"""Streams without framing that their engines close, with and without an order to stop the run."""

import threading
import time

import pytest
from result import Err

from gooseberryquay.links.upstream_connection import BodyEnd
from gooseberryquay.serving.active_generation import MoveState, RunStop
from gooseberryquay.serving.ports import ListeningState, MoveFailure, MoveRefusal
from gooseberryquay.serving.route import RouteKind
from gooseberryquay.serving.tests.builders import (
    Recorder,
    ScriptedCalls,
    ScriptedResponse,
    assert_no_load_left,
    build_path,
    build_record,
    build_request,
    build_route,
    copied,
    event,
    events,
)
from gooseberryquay.serving.upstream_record import UpstreamState

RECORDS = [build_record(f"engine-{number}") for number in range(3)]
HANDLE = copied("kept").ok_value.handle
FAILED = Err(MoveFailure(MoveRefusal.FAILED))
NO_HANDLE = Err(MoveFailure(MoveRefusal.NO_ROOM))
KEPT = Err(MoveFailure(MoveRefusal.NO_ROOM, HANDLE))
IN_PROGRESS = Err(MoveFailure(MoveRefusal.IN_PROGRESS))
UNKNOWN_RUN = Err(MoveFailure(MoveRefusal.UNKNOWN_RUN))
NOT_SENT = Err(MoveFailure(MoveRefusal.NOT_SENT))
KINDS = [{"is_resumable": False}, {"is_resumable": True, "attempts_max": 2}]


def _closed(first, last, **changes):
    parts = [event(each) for each in range(first, last + 1)]
    return ScriptedResponse(200, parts, BodyEnd.CLOSED, **changes)


def _serve(path, kind):
    recorder = Recorder()
    path.generation_handler.serve(build_request(build_route(RouteKind.STREAMING, **kind), recorder))
    assert_no_load_left(path)
    return recorder


def _stop_before(path, part, *answers, delay_s=0.0, is_stopped=True):
    """Return a hook that drains an engine before a part; its final copies get the answers.

    The last answer is repeated if the run is not stopped.
    """
    finals = list(answers)
    ordered = threading.Event()

    def move(source, _id, _target, is_final, _until_s):
        path.upstream_client.moved.append((source.id, is_final))
        if not is_final:
            return UNKNOWN_RUN if is_stopped and ordered.is_set() else copied("ahead")
        ordered.set()
        time.sleep(delay_s)
        if not is_stopped and len(finals) == 1:
            return finals[0]
        return finals.pop(0) if finals else FAILED

    def act(number):
        if number == part:
            path.registry.apply_record(build_record("engine-0", state=UpstreamState.DRAINING))
            assert ordered.wait(2.0)
            if not delay_s:
                _wait_for_answer(path)

    path.upstream_client.move = move
    return act


def _wait_for_answer(path):
    (active,) = path.active.at("engine-0")
    with active.changed:
        active.changed.wait_for(lambda: active.state is not MoveState.STOPPING, timeout=2.0)


@pytest.mark.parametrize("kind", KINDS, ids=["once", "resumable"])
@pytest.mark.parametrize("delay_s", [0.0, 0.2], ids=["before", "after"])
@pytest.mark.parametrize("last", [0, 2], ids=["no event", "events"])
@pytest.mark.parametrize(
    ("answers", "copy"),
    [
        ([copied("last")], "last"),
        ([KEPT], "kept"),
        ([NO_HANDLE, UNKNOWN_RUN], "ahead"),
        ([FAILED, UNKNOWN_RUN], "ahead"),
        ([FAILED, copied("last")], "last"),
        ([FAILED, IN_PROGRESS, copied("last")], "last"),
        ([], "ahead"),
    ],
)
def test_stream_closed_after_an_order_that_may_have_been_heeded_goes_on_from_a_copy(
    answers, copy, last, delay_s, kind
):
    path = build_path(RECORDS, ScriptedCalls())
    hook = _stop_before(path, last, *answers, delay_s=delay_s)
    path.upstream_client.responses = [_closed(1, last, before_part=hook), _closed(last + 1, 4)]
    caller = _serve(path, kind)
    assert (caller.body, caller.is_complete) == (events(1, 4), True)
    assert path.upstream_client.opened[1][1].continuation.copy.name == copy


@pytest.mark.parametrize("kind", KINDS, ids=["once", "resumable"])
@pytest.mark.parametrize("delay_s", [0.0, 0.2], ids=["before", "after"])
@pytest.mark.parametrize("answer", [UNKNOWN_RUN, IN_PROGRESS, NOT_SENT])
def test_stream_of_a_run_that_no_order_stopped_is_complete(answer, delay_s, kind):
    path = build_path(RECORDS, ScriptedCalls())
    hook = _stop_before(path, 2, answer, delay_s=delay_s, is_stopped=False)
    path.upstream_client.responses = [_closed(1, 2, before_part=hook)]
    caller = _serve(path, kind)
    assert (caller.body, caller.is_complete, caller.is_aborted) == (events(1, 2), True, False)
    assert len(path.upstream_client.opened) == 1


@pytest.mark.parametrize("kind", KINDS, ids=["once", "resumable"])
def test_framed_stream_is_complete_whatever_its_order_was_answered(kind):
    path = build_path(RECORDS, ScriptedCalls())
    hook = _stop_before(path, 2, copied("last"))
    framed = _closed(1, 2, before_part=hook)
    framed.end = BodyEnd.FRAMED
    path.upstream_client.responses = [framed]
    caller = _serve(path, kind)
    assert (caller.body, caller.is_complete) == (events(1, 2), True)
    assert len(path.upstream_client.opened) == 1


def test_stopped_stream_that_may_run_once_is_broken_off_if_no_copy_is_left():
    path = build_path(RECORDS, ScriptedCalls())
    refused = ScriptedResponse(503, is_not_run=True)
    hook = _stop_before(path, 2, copied("last"))
    path.upstream_client.responses = [_closed(1, 2, before_part=hook), refused, refused]
    caller = _serve(path, KINDS[0])
    assert (caller.body, caller.is_complete, caller.is_aborted) == (events(1, 2), False, True)


def test_answer_to_an_earlier_order_does_not_count_for_the_run_that_goes_on():
    path = build_path(RECORDS, ScriptedCalls())
    hook = _stop_before(path, 2, copied("last"))
    path.upstream_client.responses = [_closed(1, 2, before_part=hook), _closed(3, 4)]
    seen = []
    path.upstream_client.responses[1].before_part = lambda _number: seen.extend(
        active.stop for number in range(3) for active in path.active.at(f"engine-{number}")
    )
    assert _serve(path, KINDS[0]).is_complete
    assert set(seen) == {RunStop.NOT_ORDERED}


def test_run_that_this_entry_stopped_does_not_make_its_request_suspect():
    path = build_path(RECORDS, ScriptedCalls())
    losses = []
    path.guard.run_lost = lambda *arguments: losses.append(arguments)
    hook = _stop_before(path, 2, FAILED, UNKNOWN_RUN)
    path.upstream_client.responses = [_closed(1, 2, before_part=hook), _closed(3, 4)]
    assert _serve(path, KINDS[0]).is_complete
    assert losses == []


@pytest.mark.parametrize("end", list(BodyEnd))
def test_copy_that_ends_after_its_generation_is_freed_and_takes_no_place(end):
    path = build_path(RECORDS, ScriptedCalls())
    copying, is_over = threading.Event(), threading.Event()

    def move(*_arguments):
        copying.set()
        assert is_over.wait(2.0)
        return copied("late")

    def leave(number):
        if number == 2:
            path.registry.apply_record(build_record("engine-0", state=UpstreamState.DRAINING))
            assert copying.wait(2.0)

    path.upstream_client.move = move
    response = _closed(1, 2, before_part=leave)
    response.end = end
    path.upstream_client.responses = [response]
    recorder = Recorder()
    path.generation_handler.serve(build_request(build_route(RouteKind.STREAMING), recorder))
    assert recorder.is_complete
    is_over.set()
    assert_no_load_left(path)
    assert [each.name for each in path.upstream_client.freed] == ["late"]


@pytest.mark.parametrize("kind", KINDS, ids=["once", "resumable"])
def test_stream_closed_by_the_exit_of_its_engine_goes_on_from_the_copy_made_before(kind):
    path = build_path(RECORDS, ScriptedCalls())
    path.upstream_client.listening["engine-0"] = ListeningState.REFUSED
    hook = _stop_before(path, 2, NOT_SENT, is_stopped=False)
    path.upstream_client.responses = [_closed(1, 2, before_part=hook), _closed(3, 4)]
    caller = _serve(path, kind)
    assert (caller.body, caller.is_complete) == (events(1, 4), True)
    assert path.upstream_client.opened[1][1].continuation.copy.name == "ahead"


@pytest.mark.parametrize("kind", KINDS, ids=["once", "resumable"])
def test_whole_stream_is_not_cut_as_its_leaving_engine_refuses_connections(kind):
    path = build_path(RECORDS, ScriptedCalls())
    path.upstream_client.listening["engine-0"] = ListeningState.REFUSED
    path.upstream_client.move = lambda *_: NOT_SENT

    def leave(number):
        if number == 2:
            path.registry.apply_record(build_record("engine-0", state=UpstreamState.DRAINING))

    path.upstream_client.responses = [_closed(1, 2, before_part=leave)]
    caller = _serve(path, kind)
    assert (caller.body, caller.is_complete, caller.is_aborted) == (events(1, 2), True, False)
