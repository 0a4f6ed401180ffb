"""Forward unary calls to upstreams and return their complete responses."""

import io
import time
from collections.abc import Callable
from dataclasses import dataclass, replace

from result import Err, Ok

from gooseberryquay.ids import ServiceId, UpstreamId
from gooseberryquay.links.upstream_connection import BodyEnd, BodyPart, CallerLeft
from gooseberryquay.machines.retry_budget import RetryBudget
from gooseberryquay.serving.accepted import AcceptedRequest
from gooseberryquay.serving.call_choice import LateCause, late_cause
from gooseberryquay.serving.call_placer import CallPlacer, PlacedCall, Unservable
from gooseberryquay.serving.crash_guard import CrashGuard, RunLoss
from gooseberryquay.serving.decision_log import DecisionLog
from gooseberryquay.serving.execution import guarantees_not_run
from gooseberryquay.serving.final_refusal import final_refusal, guaranteed_refusal
from gooseberryquay.serving.placement import Placement
from gooseberryquay.serving.ports import (
    IndeterminateOutcome,
    NotExecuted,
    OpenResponse,
    SendOptions,
    UpstreamClient,
)
from gooseberryquay.serving.refusal import Refusal
from gooseberryquay.serving.response_buffer_budget import (
    ResponseBufferBudget,
    ResponseBufferReservation,
)
from gooseberryquay.serving.upstream_load import LoadTable
from gooseberryquay.serving.upstream_registry import KnownUpstream
from gooseberryquay.serving.upstream_signals import UpstreamSignals
from gooseberryquay.serving.whole_answer import WholeAnswer

__all__ = ["CallHandler"]

SERVER_ERROR = 500
# Doubles with each consecutive failure; short compared to the seconds that a restart takes.
AVOID_BASE_S = 0.5
# Leaves more than half of the time for a second attempt.
FIRST_ATTEMPT_SHARE = 0.4
RETRY_AFTER_MAX_S = 5.0
# About the time until a busy upstream frees a slot.
BUSY_RETRY_DELAY_S = 0.02
# Enough for all upstreams of a zone failing at once, without trying the whole fleet.
UNDELIVERED_MAX = 10
# Several times the duration of a unary call.
RETRY_AFTER_S = 0.3


@dataclass(frozen=True, slots=True)
class NotRun:
    """Report an attempt that was certainly not executed."""

    reason: str
    has_arrived: bool
    is_busy: bool = False


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """Report an attempt that may have been executed, but whose response was lost."""

    reason: str


Attempt = WholeAnswer | NotRun | MayHaveRun | CallerLeft


class CallHandler:
    """Serve requests of non-streaming routes."""

    def __init__(
        self,
        *,
        upstream_client: UpstreamClient,
        placement: Placement,
        placer: CallPlacer,
        loads: LoadTable,
        retries: RetryBudget,
        signals: UpstreamSignals,
        guard: CrashGuard,
        memory: ResponseBufferBudget,
        log: DecisionLog,
        on_early_refusal: Callable[[], None] = lambda: None,
        on_late: Callable[[ServiceId, LateCause], None] = lambda _service, _cause: None,
    ) -> None:
        self._on_early_refusal = on_early_refusal
        self._on_late = on_late
        self._guard = guard
        self._signals = signals
        self._buffer_budget = memory
        self._upstream_client = upstream_client
        self._placement = placement
        self._placer = placer
        self._loads = loads
        self._retries = retries
        self._log = log

    def serve(self, request: AcceptedRequest) -> Refusal | WholeAnswer | CallerLeft:
        """Try upstreams until one responds or no further attempt is allowed.

        The memory of a whole answer is held until the answer is released.
        """
        reservation = ResponseBufferReservation(self._buffer_budget)
        end: Refusal | WholeAnswer | CallerLeft | None = None
        try:
            end = self._serve(request, reservation)
        finally:
            if not isinstance(end, WholeAnswer):
                reservation.release()
        return replace(end, reservation=reservation) if isinstance(end, WholeAnswer) else end

    def _serve(
        self, request: AcceptedRequest, reservation: ResponseBufferReservation
    ) -> Refusal | WholeAnswer | CallerLeft:
        self._retries.record_request(request.service)
        excluded: set[UpstreamId] = set()
        sent_to: set[UpstreamId] = set()
        failed: WholeAnswer | None = None
        last_reason = "no upstream takes new work"
        undelivered = 0
        is_budget_exempt = True
        while undelivered < UNDELIVERED_MAX and _may_be_sent(request):
            suspected = self._guard.refusal(request)
            if suspected is not None:
                return guaranteed_refusal(request, suspected)
            if not is_budget_exempt and not self._retries.may_retry(request.service):
                last_reason += "; the retry budget is spent"
                break
            placed = self._placer.place(request, excluded)
            if placed is None:
                break
            if not isinstance(placed, PlacedCall):
                return self._unplaced(request, placed, failed)
            known = placed.known
            is_budget_exempt = False
            attempt = self._attempt(request, placed, known.record.id in sent_to, reservation)
            sent_to.add(known.record.id)
            self._log_attempt(request, known, attempt)
            match attempt:
                case CallerLeft():
                    return attempt
                case NotRun(reason, has_arrived, is_busy):
                    last_reason = reason
                    # Only attempts that reached an upstream count as retries.
                    undelivered += not has_arrived
                    is_budget_exempt = not has_arrived
                    if is_busy:
                        time.sleep(BUSY_RETRY_DELAY_S)
                case MayHaveRun(reason):
                    last_reason = reason
                case WholeAnswer(status) if status < SERVER_ERROR:
                    return attempt
                case WholeAnswer():
                    failed = attempt
            if not request.may_run_again:
                break
            excluded.add(known.record.id)
            excluded = self._drop_if_exhaustive(request, excluded, known)
        return failed or self._give_up(request, last_reason)

    def _unplaced(
        self,
        request: AcceptedRequest,
        unplaced: CallerLeft | Unservable,
        failed: WholeAnswer | None,
    ) -> Refusal | WholeAnswer | CallerLeft:
        match unplaced:
            case CallerLeft():
                return unplaced
            case Unservable():
                return failed or self._refuse_early(request, unplaced)

    def _refuse_early(self, request: AcceptedRequest, unservable: Unservable) -> Refusal:
        self._on_early_refusal()
        self._log.request(
            "call refused early",
            request.call.id,
            service=request.service,
            route=request.route.name,
            earliest_s=round(unservable.earliest_s, 3),
            left_s=round(unservable.left_s, 3),
            load=round(unservable.load, 2),
            retry_after_s=round(unservable.retry_in_s, 3),
        )
        if request.execution.may_have_run:
            self._guard.send_updates()
        message = "no upstream can answer before the deadline"
        return final_refusal(request, message, unservable.retry_in_s)

    def _drop_if_exhaustive(
        self,
        request: AcceptedRequest,
        excluded: set[UpstreamId],
        last: KnownUpstream,
    ) -> set[UpstreamId]:
        """Return the upstreams to exclude, at most the last one if no other is left."""
        if self._placement.has_candidate(request.service, excluded):
            return excluded
        return {last.record.id} if request.execution.may_have_run else set()

    def _give_up(self, request: AcceptedRequest, reason: str) -> Refusal:
        if request.execution.may_have_run:
            # The caller may retry immediately through another entry.
            self._guard.send_updates()
        interval_s = min(RETRY_AFTER_MAX_S, self._placement.rate_interval_s(request.service))
        pause_s = self._placement.pause_left_s(request.service)
        room_s = min(RETRY_AFTER_MAX_S, self._placement.room_wait_s(request.service))
        retry_in_s = max(RETRY_AFTER_S, interval_s, pause_s, room_s)
        return final_refusal(request, reason, retry_in_s)

    def _attempt(
        self,
        request: AcceptedRequest,
        placed: PlacedCall,
        was_sent_before: bool,
        reservation: ResponseBufferReservation,
    ) -> Attempt:
        known = placed.known
        workspace = request.workspace.id if request.workspace is not None else None
        options = SendOptions(
            workspace,
            self._attempt_until_s(request),
            # A second copy of an earlier answer to this request would carry the right id.
            needs_new_connection=was_sent_before,
            route=request.route.name,
        )
        try:
            opened = request.execution.send(
                self._upstream_client, known.record, request.call, options, request.caller
            )
            if isinstance(opened, Ok):
                response = opened.ok_value
                self._signals.process_response(known, response)
                kept_bytes = reservation.reserved_bytes
                attempt = self._read(request, known, response, options.until_s, reservation)
                if isinstance(attempt, WholeAnswer):
                    self._record_duration(request, placed, response)
                else:
                    reservation.release(kept_bytes)
                return attempt
            return self._failed_open(request, known, opened.err_value)
        finally:
            self._placer.release(placed)

    def _record_duration(
        self, request: AcceptedRequest, placed: PlacedCall, response: OpenResponse
    ) -> None:
        duration_s, load, route = placed.age_s(), response.load, request.route
        self._placement.record_duration(placed.known, duration_s, route.name, load)
        if load is None or load.slowdown is None or duration_s <= route.goal_s:
            return
        cause = late_cause(load)
        self._on_late(request.service, cause)
        self._log.request(
            "call late",
            request.call.id,
            upstream=placed.known.record.id,
            route=route.name,
            duration_s=round(duration_s, 3),
            cause=cause.value,
            slowdown=load.slowdown,
            upstream_running=load.running,
            upstream_waiting=load.waiting,
            learnt_work_s=round(self._placement.call_work_s(request.service, route.name), 4),
        )

    def _failed_open(
        self,
        request: AcceptedRequest,
        known: KnownUpstream,
        failure: NotExecuted | IndeterminateOutcome | CallerLeft,
    ) -> Attempt:
        match failure:
            case NotExecuted(reason, is_upstream_gone=is_gone):
                self._loads.record_failure(known.record.id, AVOID_BASE_S)
                if is_gone:
                    self._guard.upstream_ended(known, "refuses connections")
                return NotRun(reason, has_arrived=False)
            case IndeterminateOutcome() | CallerLeft():
                return self._report_loss(request, known, failure)

    def _report_loss(
        self,
        request: AcceptedRequest,
        known: KnownUpstream,
        failure: IndeterminateOutcome | CallerLeft,
    ) -> Attempt:
        match failure:
            case CallerLeft():
                self._guard.run_lost(request, known, RunLoss.CALLER_LEFT)
                return failure
            case IndeterminateOutcome(reason, is_timeout):
                self._loads.record_failure(known.record.id, AVOID_BASE_S)
                loss = RunLoss.SILENT if is_timeout else RunLoss.BROKEN
                self._guard.run_lost(request, known, loss)
                return MayHaveRun(reason)

    def _read(
        self,
        request: AcceptedRequest,
        known: KnownUpstream,
        response: OpenResponse,
        until_s: float,
        reservation: ResponseBufferReservation,
    ) -> Attempt:
        # Hands out its buffer without a copy.
        body = io.BytesIO()
        while True:
            match response.read(request.caller, until_s):
                case Ok(BodyPart(content)):
                    if not reservation.try_acquire(len(content)):
                        response.close()
                        return MayHaveRun("no buffer memory left for the response")
                    body.write(content)
                case Ok(BodyEnd()):
                    response.finish()
                    break
                case Err(failure):
                    response.close()
                    if response.is_not_run and isinstance(failure, IndeterminateOutcome):
                        return NotRun("the upstream refused the request", True, is_busy=True)
                    return self._report_loss(request, known, failure)
        if response.is_not_run:
            is_busy = not response.is_other_instance
            return NotRun("the upstream refused the request", True, is_busy)
        if guarantees_not_run(response.status):
            return MayHaveRun(
                f"status {response.status} without proof that the request was not executed"
            )
        if response.status < SERVER_ERROR:
            self._loads.record_success(known.record.id)
            self._guard.finished(request)
        return WholeAnswer(response.status, response.headers, body.getvalue(), known.record.id)

    def _attempt_until_s(self, request: AcceptedRequest) -> float:
        """Return the deadline of an attempt, which leaves time for another one if allowed."""
        is_last = request.execution.run_count + 1 >= request.route.attempts_max
        if not request.route.is_retryable or is_last:
            return request.until_s
        remaining_s = request.until_s - time.monotonic()
        span_s = max(request.route.goal_s, FIRST_ATTEMPT_SHARE * remaining_s)
        return min(request.until_s, time.monotonic() + span_s)

    def _log_attempt(
        self, request: AcceptedRequest, known: KnownUpstream, attempt: Attempt
    ) -> None:
        if isinstance(attempt, WholeAnswer) and attempt.status < SERVER_ERROR:
            return
        self._log.request(
            "attempt failed",
            request.call.id,
            fingerprint=request.fingerprint,
            upstream=known.record.id,
            upstream_state=known.record.state.value,
            announced_age_s=round(time.monotonic() - known.announced_at_s, 2),
            outcome=type(attempt).__name__,
            detail=str(getattr(attempt, "reason", getattr(attempt, "status", ""))),
        )


def _may_be_sent(request: AcceptedRequest) -> bool:
    return time.monotonic() < request.until_s and not request.execution.is_withdrawn
