"""Carry a generation from an engine to its caller, across engines that leave or fail."""

import time
from dataclasses import dataclass, field
from enum import Enum

from result import Err, Ok

from gooseberryquay.ids import UpstreamId
from gooseberryquay.links.streaming_gateway import CallerGone
from gooseberryquay.links.upstream_connection import BodyEnd, BodyPart, CallerLeft
from gooseberryquay.machines.retry_budget import RetryBudget
from gooseberryquay.serving.accepted import AcceptedRequest
from gooseberryquay.serving.active_generation import ActiveGeneration, ActiveGenerations, Copy
from gooseberryquay.serving.decision_log import DecisionLog
from gooseberryquay.serving.event_stream import EventCutter
from gooseberryquay.serving.generation_queue import GenerationQueue, Placed, QueueTicket
from gooseberryquay.serving.migration import Migration
from gooseberryquay.serving.placement import EngineNeed, Placement
from gooseberryquay.serving.ports import (
    Continuation,
    NotSent,
    OpenAnswer,
    SendTerms,
    Undecided,
    UpstreamCalls,
)
from gooseberryquay.serving.refusal import Refusal, RefusalReason
from gooseberryquay.serving.upstream_load import LoadTable

__all__ = ["GenerationFlow"]

HTTP_OK = 200
SERVER_ERROR = 500
AVOID_S = 0.5
MOVE_WAIT_S = 2.0
RETRY_AFTER_S = 0.5
QUEUE_SHARE = 0.85
GIVE_UP_GOALS = 3.0
HINTLESS_SHARE = 0.5
RANKS_PER_WORKSPACE = 3
MOVES_MAX = 12
ENGINE_ANSWER_BYTES_MAX = 1024 * 1024


class StreamEnd(Enum):
    """Say how one engine's part of a stream ended."""

    COMPLETE = "complete"
    BROKEN = "broken"
    CALLER_LEFT = "caller left"
    OUT_OF_ORDER = "out of order"
    TIMED_OUT = "timed out"


@dataclass
class _Progress:
    """Hold what has reached the caller of one generation."""

    is_started: bool = False
    last_id: str | None = None
    last_number: int | None = None
    runs: int = 0
    excluded: set[UpstreamId] = field(default_factory=set)


class GenerationFlow:
    """Serve requests of routes with streams."""

    def __init__(
        self,
        calls: UpstreamCalls,
        placement: Placement,
        queue: GenerationQueue,
        loads: LoadTable,
        retries: RetryBudget,
        active: ActiveGenerations,
        migration: Migration,
        log: DecisionLog,
    ) -> None:
        self._calls = calls
        self._placement = placement
        self._queue = queue
        self._loads = loads
        self._retries = retries
        self._active = active
        self._migration = migration
        self._log = log

    def serve(self, request: AcceptedRequest) -> Refusal | CallerLeft | None:
        """Relay a generation; gives a refusal only while nothing has been sent to the caller."""
        self._retries.saw_request(request.service)
        progress = _Progress(last_id=request.call.resume_after)
        reason = "no engine takes new work"
        is_first = True
        while True:
            if time.monotonic() >= request.until_s:
                return self._give_up(request, progress, RefusalReason.TIMED_OUT, "out of time")
            if not is_first and not self._retries.may_retry(request.service):
                reason += "; the retry budget is spent"
                break
            match self._queue.place(self._ticket(request, progress), request.caller):
                case Err(CallerLeft() as left):
                    return left
                case Err(Refusal() as refusal):
                    if progress.runs or progress.is_started:
                        break
                    return refusal
                case Ok(placed):
                    pass
            is_first = False
            outcome = self._run(request, progress, placed)
            match outcome:
                case StreamEnd.COMPLETE:
                    return None
                case StreamEnd.CALLER_LEFT | CallerLeft():
                    return CallerLeft()
                case StreamEnd.TIMED_OUT:
                    break
                case StreamEnd.OUT_OF_ORDER:
                    reason = "the stream is out of order"
                    break
                case NotSent(text):
                    reason = text
                case StreamEnd.BROKEN:
                    reason = "the engine broke off"
                    progress.runs += 1
            progress.excluded.add(placed.known.record.id)
            if progress.runs and not self._may_run_again(request, progress):
                break
        code = RefusalReason.OUTCOME_UNKNOWN if progress.runs else RefusalReason.NOT_RUN
        if time.monotonic() >= request.until_s:
            code = RefusalReason.TIMED_OUT
        return self._give_up(request, progress, code, reason)

    def _may_run_again(self, request: AcceptedRequest, progress: _Progress) -> bool:
        return request.route.may_repeat and progress.runs < request.route.attempts_max

    def _ticket(self, request: AcceptedRequest, progress: _Progress) -> QueueTicket:
        call, route = request.call, request.route
        late_at_s = call.arrived_at_s + QUEUE_SHARE * route.goal_s
        give_up_at_s = call.arrived_at_s + GIVE_UP_GOALS * route.goal_s
        return QueueTicket(
            call.id,
            request.service,
            _need_of(request),
            rank_of(request),
            late_at_s,
            min(request.until_s, give_up_at_s),
            frozenset(progress.excluded),
        )

    def _run(
        self, request: AcceptedRequest, progress: _Progress, placed: Placed
    ) -> StreamEnd | NotSent | CallerLeft:
        """Run a generation at one engine and wherever it is moved from there."""
        active = ActiveGeneration(
            request, placed.known, placed.run, self._tokens_per_event(request)
        )
        continuation: Continuation | None = None
        if progress.is_started:
            continuation = Continuation(progress.last_id, None)
        self._active.add(active)
        try:
            end: StreamEnd | NotSent | CallerLeft = StreamEnd.BROKEN
            for _ in range(MOVES_MAX):
                end = self._run_once(active, progress, continuation)
                if end is not StreamEnd.BROKEN:
                    return end
                copy = active.take_copy(MOVE_WAIT_S)
                if copy is None:
                    return end
                self._go_on_at(active, copy)
                continuation = Continuation(progress.last_id, copy.handle)
            return end
        finally:
            self._active.remove(active)
            self._loads.end(active.run)
            self._drop_copy(active)
            self._queue.changed()

    def _tokens_per_event(self, request: AcceptedRequest) -> int:
        engine = self._placement.engine_terms(request.service)
        return engine.tokens_per_event if engine is not None else 1

    def _go_on_at(self, active: ActiveGeneration, copy: Copy) -> None:
        self._active.remove(active)
        if copy.run is not active.run:
            self._loads.end(active.run)
        active.known = copy.holder
        active.run = copy.run
        self._active.add(active)

    def _drop_copy(self, active: ActiveGeneration) -> None:
        copy = active.end()
        if copy is not None:
            self._loads.end(copy.run)
            self._calls.free_copy(copy.handle.source, copy.handle)

    def _run_once(
        self, active: ActiveGeneration, progress: _Progress, continuation: Continuation | None
    ) -> StreamEnd | NotSent | CallerLeft:
        request, upstream = active.request, active.known.record
        if active.known.is_leaving:
            self._migration.begin(active)
        workspace = request.workspace.id if request.workspace is not None else None
        terms = SendTerms(
            workspace,
            request.until_s,
            rank_of(request),
            needs_new_connection=not request.route.may_repeat,
            continuation=continuation,
        )
        match self._calls.open(upstream, request.call, terms, request.caller):
            case Err(CallerLeft() as left):
                return left
            case Err(NotSent() as failure):
                self._loads.saw_failure(upstream.id, AVOID_S)
                self._note(active, "not sent", failure.reason)
                return failure
            case Err(Undecided(reason)):
                if time.monotonic() >= request.until_s:
                    return StreamEnd.TIMED_OUT
                self._loads.saw_failure(upstream.id, AVOID_S)
                self._note(active, "no answer", reason)
                return StreamEnd.BROKEN
            case Ok(answer):
                pass
        if answer.load is not None:
            self._loads.saw_hint(upstream.id, answer.load)
        if answer.is_not_run:
            answer.close()
            self._note(active, "refused by engine", str(answer.status))
            self._loads.saw_failure(upstream.id, AVOID_S)
            return NotSent(f"the engine refused with status {answer.status}")
        if answer.status != HTTP_OK:
            return self._pass_on_failure(active, progress, answer)
        return self._relay(active, progress, answer)

    def _pass_on_failure(
        self, active: ActiveGeneration, progress: _Progress, answer: OpenAnswer
    ) -> StreamEnd | CallerLeft:
        """Pass on an engine's own failure, unless the request may run again."""
        request = active.request
        self._note(active, "engine failed", str(answer.status))
        progress.runs += 1
        may_run_again = self._may_run_again(request, progress)
        progress.runs -= 1
        if progress.is_started or (may_run_again and answer.status >= SERVER_ERROR):
            answer.close()
            return StreamEnd.BROKEN
        body = bytearray()
        while True:
            match answer.read(request.caller, request.until_s):
                case Ok(BodyPart(content)) if len(body) < ENGINE_ANSWER_BYTES_MAX:
                    body += content
                case Ok(BodyEnd()):
                    answer.finish()
                    break
                case Err(CallerLeft() as left):
                    answer.close()
                    return left
                case _:
                    answer.close()
                    return StreamEnd.BROKEN
        request.answer.send(answer.status, answer.headers, bytes(body))
        progress.is_started = True
        return StreamEnd.COMPLETE

    def _relay(
        self, active: ActiveGeneration, progress: _Progress, answer: OpenAnswer
    ) -> StreamEnd:
        request = active.request
        cutter = EventCutter()
        end = StreamEnd.BROKEN
        try:
            while True:
                match answer.read(request.caller, request.until_s):
                    case Ok(BodyPart(content)):
                        if not self._pass_on(active, progress, answer, cutter, content):
                            end = StreamEnd.OUT_OF_ORDER
                            return end
                    case Ok(BodyEnd()):
                        if cutter.rest():
                            return end
                        end = self._complete(active, progress, answer)
                        return end
                    case Err(CallerLeft()):
                        end = StreamEnd.CALLER_LEFT
                        return end
                    case Err(Undecided(reason)):
                        if time.monotonic() >= request.until_s:
                            end = StreamEnd.TIMED_OUT
                        else:
                            self._note(active, "stream broke off", reason)
                        return end
        except CallerGone:
            end = StreamEnd.CALLER_LEFT
            return end
        finally:
            if end is StreamEnd.COMPLETE:
                answer.finish()
                self._loads.saw_success(active.known.record.id)
            else:
                answer.close()

    def _complete(
        self, active: ActiveGeneration, progress: _Progress, answer: OpenAnswer
    ) -> StreamEnd:
        request = active.request
        if not progress.is_started:
            request.answer.start_stream(answer.status, answer.headers)
            progress.is_started = True
        request.answer.end_stream()
        return StreamEnd.COMPLETE

    def _pass_on(
        self,
        active: ActiveGeneration,
        progress: _Progress,
        answer: OpenAnswer,
        cutter: EventCutter,
        content: bytes,
    ) -> bool:
        """Pass on whole events in order; False if one is missing."""
        for event in cutter.feed(content):
            number = event.number
            if number is not None and progress.last_number is not None:
                if number <= progress.last_number:
                    continue
                if number > progress.last_number + 1:
                    return False
            if not progress.is_started:
                active.request.answer.start_stream(answer.status, answer.headers)
                progress.is_started = True
            active.request.answer.write(event.raw)
            progress.last_id = event.id or progress.last_id
            progress.last_number = number if number is not None else progress.last_number
            active.run.generated_tokens += active.tokens_per_event
        return True

    def _give_up(
        self, request: AcceptedRequest, progress: _Progress, code: RefusalReason, reason: str
    ) -> Refusal | None:
        if not progress.is_started:
            return Refusal(code, reason, RETRY_AFTER_S)
        self._log.failure("stream aborted", request.call.id, reason=reason, last=progress.last_id)
        request.answer.abort()
        return None

    def _note(self, active: ActiveGeneration, event: str, reason: str) -> None:
        known = active.known
        self._log.request(
            event,
            active.request.call.id,
            upstream=known.record.id,
            upstream_state="gone" if known.is_gone else known.record.state.value,
            move=active.state.value,
            events_tokens=active.run.generated_tokens,
            reason=reason,
        )


def _need_of(request: AcceptedRequest) -> EngineNeed:
    demand = request.call.demand
    if demand is None:
        return EngineNeed(0, 0.0)
    expected = demand.output_tokens_hint or HINTLESS_SHARE * demand.output_tokens_max
    return EngineNeed(demand.prompt_tokens, float(min(expected, demand.output_tokens_max)))


def rank_of(request: AcceptedRequest) -> int:
    """Give the order among waiting requests, the lowest first: by workspace, then by route."""
    workspace = request.workspace.priority if request.workspace is not None else 0
    route = min(request.route.priority, RANKS_PER_WORKSPACE - 1)
    return min(9, max(0, workspace * RANKS_PER_WORKSPACE + route))
