"""Runs that go on after an order to stop them, at engines that leave later."""

import time

import pytest
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

NO_HANDLE = Err(MoveFailure(MoveRefusal.NO_ROOM))
UNKNOWN_RUN = Err(MoveFailure(MoveRefusal.UNKNOWN_RUN))
REFUSED = [
    Err(MoveFailure(MoveRefusal.IN_PROGRESS)),
    Err(MoveFailure(MoveRefusal.NOT_SENT)),
]
EVENTS = 100
EVENT_S = 0.01
DRAINED_AT = 3


def _drain(path, number):
    if number == DRAINED_AT:
        path.registry.apply_record(build_record("engine-0", state=UpstreamState.DRAINING))


def _serve(path):
    caller = Recorder()
    request = build_request(
        build_route(RouteKind.STREAMING, timeout_s=10.0, is_resumable=False),
        caller,
        deadline_at_s=time.monotonic() + 10.0,
    )
    path.generation_handler.serve(request)
    return caller


@pytest.mark.parametrize("refused", REFUSED, ids=["409", "not sent"])
def test_run_whose_stop_was_refused_is_ordered_again_before_its_engine_leaves(refused):
    path = build_path([build_record(f"engine-{each}") for each in range(3)], ScriptedCalls())
    finals = []
    response = ScriptedResponse(200, [], BROKEN, before_part=lambda each: _drain(path, each))

    def parts():
        for number in range(1, EVENTS + 1):
            time.sleep(EVENT_S)
            if len(finals) > 1:
                return
            yield event(number)

    def move(_source, _id, _target, is_final, _until_s):
        time.sleep(EVENT_S)
        if not is_final:
            return copied("ahead")
        finals.append(time.monotonic())
        return refused if len(finals) == 1 else copied("last")

    response.parts = parts()
    path.upstream_client.move = move
    path.upstream_client.responses = [response, ScriptedResponse(200, [event(EVENTS + 1)])]
    _serve(path)
    # The engine ends the stream as it leaves, one second after the first order.
    assert len(finals) > 1 and finals[1] - finals[0] < EVENTS * EVENT_S * 0.9


def test_stream_that_went_on_long_after_an_order_and_ended_is_not_cut():
    path = build_path([build_record(f"engine-{each}") for each in range(3)], ScriptedCalls())
    path.upstream_client.move = lambda _source, _id, _target, is_final, _until_s: (
        copied("ahead") if not is_final else finals.pop(0) if finals else UNKNOWN_RUN
    )
    finals = [NO_HANDLE]

    def parts():
        for number in range(1, EVENTS + 1):
            time.sleep(EVENT_S)
            yield event(number)

    # The copy made before the order is too old.
    too_old = ScriptedResponse(503, is_not_run=True)
    path.upstream_client.responses = [
        ScriptedResponse(200, parts(), BodyEnd.CLOSED, before_part=lambda each: _drain(path, each)),
        too_old,
    ]
    caller = _serve(path)
    assert (caller.body, caller.is_complete) == (events(1, EVENTS), True)
