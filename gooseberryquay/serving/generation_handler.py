"""Carry a generation from an engine to its caller, across engines that leave or fail."""

import functools
import time
from dataclasses import dataclass, field

from result import Err, Ok, Result

from gooseberryquay.ids import UpstreamId
from gooseberryquay.links.upstream_connection import BodyEnd, BodyPart, CallerLeft
from gooseberryquay.machines.retry_budget import RetryBudget
from gooseberryquay.serving.accepted import AcceptedRequest
from gooseberryquay.serving.active_generation import (
    ActiveGeneration,
    ActiveGenerations,
    Copy,
    MoveState,
)
from gooseberryquay.serving.crash_guard import CrashGuard, RunLoss
from gooseberryquay.serving.decision_log import DecisionLog
from gooseberryquay.serving.generation_queue import GenerationQueue, Placed, QueueTicket
from gooseberryquay.serving.migration import Migration
from gooseberryquay.serving.placement import EngineNeed, Placement
from gooseberryquay.serving.ports import (
    Continuation,
    IndeterminateOutcome,
    NotExecuted,
    OpenAnswer,
    SendOptions,
    UpstreamClient,
)
from gooseberryquay.serving.refusal import Refusal, RefusalReason
from gooseberryquay.serving.stream_relay import StreamEnd, StreamProgress, StreamRelay
from gooseberryquay.serving.upstream_load import LoadTable
from gooseberryquay.serving.upstream_signals import UpstreamSignals

__all__ = ["GenerationHandler"]

HTTP_OK = 200
SERVER_ERROR = 500
# As for plain calls.
AVOID_S = 0.5
MS_PER_S = 1000.0
# The notice that engines give.
MOVE_WAIT_S = 2.0
# A few steps of the engines' batches.
RETRY_AFTER_S = 0.5
# Leaves time to read the prompt before the first token is due.
QUEUE_SHARE = 0.85
# Callers prefer a late answer to none, but not after the whole deadline.
GIVE_UP_GOALS = 3.0
# Outputs are at most as long as the caller allows, and mostly shorter.
HINTLESS_SHARE = 0.5
RANKS_PER_WORKSPACE = 3
RANK_MAX = 9
# More than engines can leave during the longest generation.
MOVES_MAX = 12
# As for plain calls.
UNARRIVED_MAX = 6
# An engine's error message is short.
ENGINE_ANSWER_BYTES_MAX = 1024 * 1024

Outcome = StreamEnd | NotExecuted | CallerLeft


@dataclass
class _Attempts:
    """Hold what was tried for one request."""

    runs: int = 0
    unarrived: int = 0
    excluded: set[UpstreamId] = field(default_factory=set)
    reason: str = "no engine takes new work"


class GenerationHandler:
    """Serve requests of routes with streams."""

    def __init__(
        self,
        *,
        calls: UpstreamClient,
        placement: Placement,
        queue: GenerationQueue,
        loads: LoadTable,
        retries: RetryBudget,
        active: ActiveGenerations,
        migration: Migration,
        signals: UpstreamSignals,
        guard: CrashGuard,
        log: DecisionLog,
    ) -> None:
        self._guard = guard
        self._calls = calls
        self._placement = placement
        self._queue = queue
        self._loads = loads
        self._retries = retries
        self._active = active
        self._migration = migration
        self._notices = signals
        self._log = log

    def serve(self, request: AcceptedRequest) -> Refusal | CallerLeft | None:
        """Relay a generation; gives a refusal only while nothing has been sent to the caller."""
        self._retries.record_request(request.service)
        progress = StreamProgress(last_id=request.call.resume_after)
        attempts = _Attempts()
        is_free = True
        while is_free or self._may_try_again(request, attempts):
            is_free = False
            placed = self._place(request, attempts)
            if isinstance(placed, Err):
                failure = placed.err_value
                if attempts.runs == 0 or isinstance(failure, CallerLeft):
                    return failure
                attempts.reason = failure.message
                break
            self._note_placed(request, placed.ok_value)
            outcome = self._run(request, progress, attempts, placed.ok_value)
            match outcome:
                case StreamEnd.COMPLETE:
                    self._guard.finished(request)
                    self._note_complete(request, progress, placed.ok_value)
                    return None
                case StreamEnd.CALLER_LEFT | CallerLeft():
                    return CallerLeft()
                case StreamEnd.TIMED_OUT | StreamEnd.OUT_OF_ORDER:
                    attempts.runs += 1
                    break
                case StreamEnd.BROKEN:
                    attempts.runs += 1
                case NotExecuted(reason, has_arrived):
                    attempts.reason = reason
                    # Only what arrives at an upstream counts as a retry.
                    attempts.unarrived += not has_arrived
                    is_free = not has_arrived and attempts.unarrived < UNARRIVED_MAX
            attempts.excluded.add(placed.ok_value.known.record.id)
        return self._give_up(request, progress, attempts)

    def _place(
        self, request: AcceptedRequest, attempts: _Attempts
    ) -> Result[Placed, Refusal | CallerLeft]:
        """Wait for an engine, unless the request would end it, as may turn out meanwhile."""
        suspected = self._guard.refusal_on_arrival(request)
        if suspected is not None:
            return Err(suspected)
        placed = self._queue.place(self._ticket(request, attempts), request.caller)
        if isinstance(placed, Err):
            return placed
        suspected = self._guard.refusal(request)
        if suspected is None:
            return placed
        self._loads.end(placed.ok_value.run)
        self._queue.changed()
        return Err(suspected)

    def _may_try_again(self, request: AcceptedRequest, attempts: _Attempts) -> bool:
        if time.monotonic() >= request.until_s:
            return False
        if attempts.runs and not self._may_run_again(request, attempts.runs):
            return False
        if not self._retries.may_retry(request.service):
            attempts.reason += "; the retry budget is spent"
            return False
        return True

    def _may_run_again(self, request: AcceptedRequest, runs: int) -> bool:
        return request.route.may_repeat and runs < request.route.attempts_max

    def _ticket(self, request: AcceptedRequest, attempts: _Attempts) -> QueueTicket:
        call, route = request.call, request.route
        return QueueTicket(
            id=call.id,
            service=request.service,
            need=_need_of(request),
            rank=rank_of(request),
            late_at_s=call.arrived_at_s + QUEUE_SHARE * route.goal_s,
            give_up_at_s=min(request.until_s, call.arrived_at_s + GIVE_UP_GOALS * route.goal_s),
            excluded=frozenset(attempts.excluded),
        )

    def _run(
        self,
        request: AcceptedRequest,
        progress: StreamProgress,
        attempts: _Attempts,
        placed: Placed,
    ) -> Outcome:
        """Run a generation at one engine and wherever it is moved from there."""
        active = ActiveGeneration(
            request, placed.known, placed.run, self._tokens_per_event(request)
        )
        continuation = Continuation(progress.last_id, None) if progress.is_started else None
        self._active.add(active)
        copy: Copy | None = None
        try:
            for _ in range(MOVES_MAX):
                outcome = self._run_once(active, progress, attempts, continuation)
                copy = self._copy_to_go_on_from(active, copy, outcome)
                if copy is None:
                    was_running = continuation is not None and isinstance(outcome, NotExecuted)
                    return StreamEnd.BROKEN if was_running else outcome
                self._go_on_at(active, copy)
                self._retries.spend(request.service)
                continuation = Continuation(progress.last_id, copy.handle)
            return StreamEnd.BROKEN
        finally:
            self._active.remove(active)
            self._loads.end(active.run)
            self._drop_copy(active)
            self._queue.changed()

    def _copy_to_go_on_from(
        self, active: ActiveGeneration, used: Copy | None, outcome: Outcome
    ) -> Copy | None:
        """Give where a generation that broke off may go on, or None."""
        match outcome:
            case StreamEnd.BROKEN:
                return active.take_copy(MOVE_WAIT_S)
            case NotExecuted() if used is not None:
                return used.at_source(active.run)
            case _:
                return None

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
        self,
        active: ActiveGeneration,
        progress: StreamProgress,
        attempts: _Attempts,
        continuation: Continuation | None,
    ) -> Outcome:
        request = active.request
        if active.known.is_leaving:
            self._migration.begin(active)
        terms = SendOptions(
            workspace=request.workspace.id if request.workspace is not None else None,
            until_s=request.until_s,
            priority=rank_of(request),
            needs_new_connection=not request.route.may_repeat,
            continuation=continuation,
        )
        opened = self._calls.open(active.known.record, request.call, terms, request.caller)
        if isinstance(opened, Ok):
            return self._take_answer(active, progress, attempts, opened.ok_value)
        return self._failed_open(active, opened.err_value)

    def _failed_open(
        self, active: ActiveGeneration, failure: NotExecuted | IndeterminateOutcome | CallerLeft
    ) -> Outcome:
        match failure:
            case CallerLeft():
                self._guard.lost(active.request, active.known, RunLoss.CALLER_LEFT)
                return failure
            case NotExecuted(reason, is_upstream_gone=is_gone):
                if is_gone:
                    self._guard.upstream_ended(active.known, "refuses connections")
                self._note(active, "not sent", reason)
                return failure
            case IndeterminateOutcome(reason, is_silence):
                loss = RunLoss.SILENT if is_silence else RunLoss.BROKEN
                self._guard.lost(active.request, active.known, loss)
                if time.monotonic() >= active.request.until_s:
                    return StreamEnd.TIMED_OUT
                self._note(active, "no answer", reason)
                return StreamEnd.BROKEN

    def _take_answer(
        self,
        active: ActiveGeneration,
        progress: StreamProgress,
        attempts: _Attempts,
        answer: OpenAnswer,
    ) -> Outcome:
        upstream = active.known.record.id
        self._notices.saw(active.known, answer)
        if answer.is_not_run:
            answer.close()
            self._note(active, "refused by engine", str(answer.status))
            return NotExecuted(f"the engine refused with status {answer.status}", has_arrived=True)
        if answer.status != HTTP_OK:
            self._note(active, "engine failed", str(answer.status))
            return self._pass_on_failure(active, progress, attempts, answer)
        relay = StreamRelay(active, progress, answer)
        if progress.last_number is not None and active.run.is_moved:
            relay.on_resumed = functools.partial(self._note_resumed, active)
        end = relay.run()
        if end is StreamEnd.COMPLETE:
            self._loads.saw_success(upstream)
        else:
            self._note_lost(active, end)
            if relay.reason:
                self._note(active, f"stream {end.value}", relay.reason)
        return end

    def _note_lost(self, active: ActiveGeneration, end: StreamEnd) -> None:
        if active.state in {MoveState.STOPPING, MoveState.STOPPED}:
            return
        loss = {
            StreamEnd.BROKEN: RunLoss.BROKEN,
            StreamEnd.TIMED_OUT: RunLoss.SILENT,
            StreamEnd.CALLER_LEFT: RunLoss.CALLER_LEFT,
        }.get(end)
        if loss is not None:
            self._guard.lost(active.request, active.known, loss)

    def _pass_on_failure(
        self,
        active: ActiveGeneration,
        progress: StreamProgress,
        attempts: _Attempts,
        answer: OpenAnswer,
    ) -> Outcome:
        """Pass on an engine's own failure, unless the request may run again."""
        request = active.request
        may_run_again = self._may_run_again(request, attempts.runs + 1)
        if progress.is_started or (may_run_again and answer.status >= SERVER_ERROR):
            answer.close()
            return StreamEnd.BROKEN
        body = bytearray()
        while len(body) <= ENGINE_ANSWER_BYTES_MAX:
            match answer.read(request.caller, request.until_s):
                case Ok(BodyPart(content)):
                    body += content
                case Ok(BodyEnd()):
                    answer.finish()
                    request.answer.send(answer.status, answer.headers, bytes(body))
                    return StreamEnd.COMPLETE
                case Err(failure):
                    answer.close()
                    return failure if isinstance(failure, CallerLeft) else StreamEnd.BROKEN
        answer.close()
        return StreamEnd.BROKEN

    def _give_up(
        self, request: AcceptedRequest, progress: StreamProgress, attempts: _Attempts
    ) -> Refusal | None:
        is_late = time.monotonic() >= request.until_s
        if attempts.runs:
            self._guard.send_updates()
        if not progress.is_started:
            code = RefusalReason.OUTCOME_UNKNOWN if attempts.runs else RefusalReason.NOT_RUN
            if is_late:
                code = RefusalReason.TIMED_OUT if attempts.runs else RefusalReason.DEADLINE_PAST
            return Refusal(code, attempts.reason, RETRY_AFTER_S)
        reason = "out of time" if is_late else attempts.reason
        self._log.failure(
            "stream aborted",
            request.call.id,
            fingerprint=request.fingerprint,
            reason=reason,
            last=progress.last_id,
        )
        request.answer.abort()
        return None

    def _note_complete(
        self, request: AcceptedRequest, progress: StreamProgress, placed: Placed
    ) -> None:
        if not progress.first_at_s:
            return
        self._log.request(
            "generation complete",
            request.call.id,
            first_upstream=placed.known.record.id,
            events=progress.last_number,
            first_ms=round((progress.first_at_s - request.call.arrived_at_s) * MS_PER_S),
            longest_pause_ms=round(progress.longest_pause_s * MS_PER_S),
        )

    def _note_resumed(self, active: ActiveGeneration, pause_s: float) -> None:
        self._log.request(
            "generation resumed",
            active.request.call.id,
            upstream=active.known.record.id,
            pause_ms=round(pause_s * MS_PER_S),
        )

    def _note_placed(self, request: AcceptedRequest, placed: Placed) -> None:
        now_s = time.monotonic()
        self._log.request(
            "generation placed",
            request.call.id,
            upstream=placed.known.record.id,
            version=request.version,
            announced_age_s=round(now_s - placed.known.announced_at_s, 2),
            own_runs=len(self._loads.runs_at(placed.known.record.id)),
            expected_tokens=round(placed.run.expected_tokens),
            waited_ms=round((now_s - request.call.arrived_at_s) * MS_PER_S),
        )

    def _note(self, active: ActiveGeneration, event: str, reason: str) -> None:
        known = active.known
        if not known.is_leaving:
            self._loads.saw_failure(known.record.id, AVOID_S)
        self._log.request(
            event,
            active.request.call.id,
            fingerprint=active.request.fingerprint,
            upstream=known.record.id,
            upstream_state="gone" if known.is_gone else known.record.state.value,
            move=active.state.value,
            tokens=active.run.generated_tokens,
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
    return min(RANK_MAX, max(0, workspace * RANKS_PER_WORKSPACE + route))
