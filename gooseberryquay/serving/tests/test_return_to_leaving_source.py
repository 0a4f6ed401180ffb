"""Runs that go on at an engine that is leaving, as no other took their KV cache."""

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
)
from gooseberryquay.serving.upstream_record import UpstreamState

KEPT = Err(MoveFailure(MoveRefusal.NO_ROOM, copied("kept").ok_value.handle))
# The deployments' bound on requests to an engine that is leaving.
DRAIN_S = 2.0
EVENTS = 400
EVENT_S = 0.01


class _Engine:
    """Send events until a final copy stops the run."""

    def __init__(self):
        self.is_stopped = False
        self.sent = 0

    def response(self):
        self.is_stopped = False
        response = ScriptedResponse(200, [])
        response.parts = self._parts(response)
        return response

    def _parts(self, response):
        while self.sent < EVENTS and not self.is_stopped:
            time.sleep(EVENT_S)
            self.sent += 1
            yield event(self.sent)
        response.end = BROKEN if self.sent < EVENTS else BodyEnd.FRAMED


def test_run_whose_final_copies_are_refused_is_not_sent_to_its_source_after_the_drain():
    path = build_path([build_record(f"engine-{each}") for each in range(3)], ScriptedCalls())
    engine = _Engine()
    opened_at_s = []
    drained_at_s = []
    client = path.upstream_client
    scripted_open = client.open

    def open_(upstream, call, options, caller):
        opened_at_s.append((upstream.id, time.monotonic()))
        client.responses = [engine.response()]
        return scripted_open(upstream, call, options, caller)

    def move(_source, _id, _target, is_final, _until_s):
        time.sleep(0.01)
        if not is_final:
            return copied("ahead")
        engine.is_stopped = True
        return KEPT

    def drain(number):
        if number == 3 and not drained_at_s:
            drained_at_s.append(time.monotonic())
            path.registry.apply_record(build_record("engine-0", state=UpstreamState.DRAINING))

    client.open, client.move = open_, move
    first = engine.response

    def first_response():
        response = first()
        response.before_part = drain
        return response

    engine.response = first_response
    caller = Recorder()
    request = build_request(
        build_route(RouteKind.STREAMING, timeout_s=10.0, is_resumable=False),
        caller,
        deadline_at_s=time.monotonic() + 10.0,
    )
    path.generation_handler.serve(request)
    late = [
        round(at_s - drained_at_s[0], 2)
        for id, at_s in opened_at_s
        if id == "engine-0" and at_s - drained_at_s[0] > DRAIN_S
    ]
    assert caller.is_complete
    assert late == []
