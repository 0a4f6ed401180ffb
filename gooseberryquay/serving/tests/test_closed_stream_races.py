"""Orders to stop runs at random moments, with random answers, of engines that close streams."""

import random
import threading
import time

import pytest
from result import Err, Ok

from gooseberryquay.contracts.fields import Address
from gooseberryquay.links.upstream_connection import BodyEnd
from gooseberryquay.serving.ports import CopyHandle, MovedCopy, MoveFailure, MoveRefusal
from gooseberryquay.serving.route import RouteKind
from gooseberryquay.serving.tests.builders import (
    Recorder,
    ScriptedCalls,
    ScriptedResponse,
    build_path,
    build_record,
    build_request,
    build_route,
    event,
    events,
)
from gooseberryquay.serving.upstream_record import UpstreamState

ENGINES = 5
EVENTS = 24
EVENT_S = 0.002
STREAMS = 60


class _Run:
    def __init__(self):
        self.is_stopped = self.is_ended = False
        self.lock = threading.Lock()


class _Engines(ScriptedCalls):
    """Run one generation at a time and answer orders at random."""

    def __init__(self, rng):
        super().__init__()
        self.rng, self.registry = rng, None
        self.runs, self.handles = {}, set()
        self.drained = set()
        self.answers = []

    def open(self, upstream, call, options, caller):
        self.opened.append((upstream.id, options))
        continuation = options.continuation
        first = 1
        if continuation is not None:
            if continuation.copy is not None:
                if continuation.copy.name not in self.handles:
                    return Ok(ScriptedResponse(503, is_not_run=True))
                self.handles.discard(continuation.copy.name)
            first = int(continuation.last_event_id or 0) + 1
        run = self.runs[upstream.id] = _Run()
        leaves_at = self.rng.randrange(first, EVENTS + 4)
        return Ok(
            ScriptedResponse(200, self._parts(upstream, run, first, leaves_at), BodyEnd.CLOSED)
        )

    def _parts(self, upstream, run, first, leaves_at):
        for number in range(first, EVENTS + 1):
            if number == leaves_at and len(self.drained) < ENGINES - 2:
                self.drained.add(upstream.id)
                self.registry.apply_record(build_record(upstream.id, state=UpstreamState.DRAINING))
            time.sleep(EVENT_S)
            with run.lock:
                if run.is_stopped:
                    return
                if number == EVENTS:
                    run.is_ended = True
            yield event(number)

    def move(self, source, id, target, is_final, until_s):
        run = self.runs.get(source.id)
        time.sleep(self.rng.uniform(0.0, 0.01))
        if run is None:
            return Err(MoveFailure(MoveRefusal.UNKNOWN_RUN))
        with run.lock:
            if run.is_ended or run.is_stopped:
                answer = Err(MoveFailure(MoveRefusal.UNKNOWN_RUN))
            elif not is_final:
                answer = Ok(MovedCopy(self._handle(), 1))
            else:
                run.is_stopped = self.rng.random() < 0.7
                answer = self.rng.choice(self._answers(run.is_stopped))
                self.answers.append((run.is_stopped, answer))
        time.sleep(self.rng.choice([0.0, 0.0, 0.01, 0.1]))
        return answer

    def _answers(self, is_stopped):
        failed = Err(MoveFailure(MoveRefusal.FAILED))
        no_room = Err(MoveFailure(MoveRefusal.NO_ROOM))
        if not is_stopped:
            refusals = (MoveRefusal.IN_PROGRESS, MoveRefusal.NOT_SENT)
            return [failed, no_room, *(Err(MoveFailure(each)) for each in refusals)]
        kept = Err(MoveFailure(MoveRefusal.NO_ROOM, self._handle()))
        return [Ok(MovedCopy(self._handle(), 1)), kept, no_room, failed]

    def _handle(self):
        name = f"h-{self.rng.random()}"
        self.handles.add(name)
        return CopyHandle(Address("127.0.0.1", 9000), name)


@pytest.mark.parametrize("is_resumable", [False, True], ids=["once", "resumable"])
@pytest.mark.parametrize("seed", [1, 2])
def test_no_stream_is_short_though_complete_and_no_run_stays_in_the_load_table(seed, is_resumable):
    rng = random.Random(seed)
    broken, stopped = [], 0
    for number in range(STREAMS):
        engines = _Engines(rng)
        path = build_path([build_record(f"engine-{each}") for each in range(ENGINES)], engines)
        engines.registry = path.registry
        caller = Recorder()
        route = build_route(RouteKind.STREAMING, timeout_s=10.0, is_resumable=is_resumable)
        request = build_request(route, caller, deadline_at_s=time.monotonic() + 10.0)
        path.generation_handler.serve(request)
        if caller.is_complete:
            assert caller.body == events(1, EVENTS), (number, engines.answers)
        else:
            broken.append((number, engines.answers))
        stopped += any(is_stopped for is_stopped, _ in engines.answers)
        until_s = time.monotonic() + 1.0
        while path.loads.in_flight() and time.monotonic() < until_s:
            time.sleep(0.01)
        assert path.loads.in_flight() == 0, (number, engines.answers)
    assert broken == []
    assert stopped > STREAMS / 4
