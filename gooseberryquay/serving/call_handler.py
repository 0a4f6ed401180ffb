"""Carry a plain call to an upstream and its whole answer back."""

import time
from collections.abc import Sequence
from dataclasses import dataclass, field

from result import Err, Ok

from gooseberryquay.ids import UpstreamId
from gooseberryquay.links.upstream_connection import BodyEnd, BodyPart, CallerLeft
from gooseberryquay.machines.retry_budget import RetryBudget
from gooseberryquay.serving.accepted import AcceptedRequest
from gooseberryquay.serving.call import HeaderPair
from gooseberryquay.serving.crash_guard import CrashGuard, RunLoss
from gooseberryquay.serving.decision_log import DecisionLog
from gooseberryquay.serving.placement import Placement
from gooseberryquay.serving.ports import (
    IndeterminateOutcome,
    NotExecuted,
    OpenAnswer,
    SendOptions,
    UpstreamClient,
)
from gooseberryquay.serving.refusal import Refusal, RefusalReason
from gooseberryquay.serving.response_buffer_budget import (
    ResponseBufferBudget,
    ResponseBufferReservation,
)
from gooseberryquay.serving.upstream_load import LoadTable, Run
from gooseberryquay.serving.upstream_registry import KnownUpstream
from gooseberryquay.serving.upstream_signals import UpstreamSignals

__all__ = ["CallHandler"]

PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})
SERVER_ERROR = 500
# Doubles with each failure in a row; short beside the seconds in which an upstream restarts.
AVOID_S = 0.5
# Leaves more than half of the time to a second attempt.
FIRST_ATTEMPT_SHARE = 0.4
# About the time in which a busy upstream frees a slot.
BUSY_PAUSE_S = 0.02
# Covers a zone's upstreams going away at once, without trying a whole fleet.
UNARRIVED_MAX = 6
# Several times a plain call's duration.
RETRY_AFTER_S = 0.3


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """Hold an answer that was read to its end."""

    status: int
    headers: Sequence[HeaderPair]
    body: bytes
    upstream: UpstreamId | None = field(default=None, compare=False)


@dataclass(frozen=True, slots=True)
class NotRun:
    """Report an attempt that certainly has not run."""

    reason: str
    has_arrived: bool
    is_busy: bool = False


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """Report an attempt whose answer was lost."""

    reason: str


Attempt = WholeAnswer | NotRun | MayHaveRun | CallerLeft


class CallHandler:
    """Serve requests of routes without streams."""

    def __init__(
        self,
        *,
        calls: UpstreamClient,
        placement: Placement,
        loads: LoadTable,
        retries: RetryBudget,
        signals: UpstreamSignals,
        guard: CrashGuard,
        memory: ResponseBufferBudget,
        log: DecisionLog,
    ) -> None:
        self._guard = guard
        self._notices = signals
        self._memory = memory
        self._calls = calls
        self._placement = placement
        self._loads = loads
        self._retries = retries
        self._log = log

    def serve(self, request: AcceptedRequest) -> Refusal | WholeAnswer | CallerLeft:
        """Try upstreams until one has answered or no other may be tried."""
        self._retries.record_request(request.service)
        excluded: set[UpstreamId] = set()
        runs = 0
        failed: WholeAnswer | None = None
        last_reason = "no upstream takes new work"
        unarrived = 0
        is_free = True
        while time.monotonic() < request.until_s:
            suspected = self._guard.refusal(request)
            if suspected is not None:
                return suspected if runs == 0 else self._give_up(request, runs, suspected.message)
            if not is_free and not self._retries.may_retry(request.service):
                last_reason += "; the retry budget is spent"
                break
            known = self._placement.choose_for_call(request.service, excluded)
            if known is None or not self._placement.take_cold(known):
                break
            is_free = False
            attempt = self._attempt(request, known, runs)
            self._log_attempt(request, known, attempt)
            match attempt:
                case CallerLeft():
                    return attempt
                case NotRun(reason, has_arrived, is_busy):
                    last_reason = reason
                    # Only what arrives at an upstream counts as a retry.
                    unarrived += not has_arrived
                    is_free = not has_arrived and unarrived < UNARRIVED_MAX
                    if is_busy:
                        time.sleep(BUSY_PAUSE_S)
                case MayHaveRun(reason):
                    last_reason = reason
                    runs += 1
                case WholeAnswer(status) if status < SERVER_ERROR:
                    return attempt
                case WholeAnswer():
                    failed = attempt
                    runs += 1
            if runs and (not request.route.may_repeat or runs >= request.route.attempts_max):
                break
            excluded.add(known.record.id)
            if not self._placement.has_any(request.service, excluded):
                excluded = {known.record.id} if runs else set()
        return failed or self._give_up(request, runs, last_reason)

    def _give_up(self, request: AcceptedRequest, runs: int, reason: str) -> Refusal:
        if runs:
            # A caller may send the request again at once, to another entry.
            self._guard.send_updates()
        back_in_s = max(RETRY_AFTER_S, self._placement.pause_left_s(request.service))
        return _refusal(request, runs, reason, back_in_s)

    def _attempt(self, request: AcceptedRequest, known: KnownUpstream, runs: int) -> Attempt:
        upstream = known.record
        run = Run(request.call.id, upstream.id, time.monotonic())
        workspace = request.workspace.id if request.workspace is not None else None
        terms = SendOptions(workspace, self._attempt_until_s(request, runs))
        self._loads.start(run)
        try:
            opened = self._calls.open(upstream, request.call, terms, request.caller)
            if isinstance(opened, Ok):
                return self._read(request, known, opened.ok_value, terms.until_s)
            return self._failed_open(request, known, opened.err_value)
        finally:
            self._loads.end(run)

    def _failed_open(
        self,
        request: AcceptedRequest,
        known: KnownUpstream,
        failure: NotExecuted | IndeterminateOutcome | CallerLeft,
    ) -> Attempt:
        match failure:
            case NotExecuted(reason, is_upstream_gone=is_gone):
                self._loads.saw_failure(known.record.id, AVOID_S)
                if is_gone:
                    self._guard.upstream_ended(known, "refuses connections")
                return NotRun(reason, has_arrived=False)
            case IndeterminateOutcome() | CallerLeft():
                return self._lost(request, known, failure)

    def _lost(
        self,
        request: AcceptedRequest,
        known: KnownUpstream,
        failure: IndeterminateOutcome | CallerLeft,
    ) -> Attempt:
        match failure:
            case CallerLeft():
                self._guard.lost(request, known, RunLoss.CALLER_LEFT)
                return failure
            case IndeterminateOutcome(reason, is_silence):
                self._loads.saw_failure(known.record.id, AVOID_S)
                loss = RunLoss.SILENT if is_silence else RunLoss.BROKEN
                self._guard.lost(request, known, loss)
                return MayHaveRun(reason)

    def _read(
        self, request: AcceptedRequest, known: KnownUpstream, answer: OpenAnswer, until_s: float
    ) -> Attempt:
        self._notices.saw(known, answer)
        with ResponseBufferReservation(self._memory) as space:
            return self._read_whole(request, known, answer, until_s, space)

    def _read_whole(
        self,
        request: AcceptedRequest,
        known: KnownUpstream,
        answer: OpenAnswer,
        until_s: float,
        space: ResponseBufferReservation,
    ) -> Attempt:
        body = bytearray()
        while True:
            match answer.read(request.caller, until_s):
                case Ok(BodyPart(content)):
                    if not space.take(len(content)):
                        answer.close()
                        return MayHaveRun("no memory is left for the answer")
                    body += content
                case Ok(BodyEnd()):
                    answer.finish()
                    break
                case Err(failure):
                    answer.close()
                    if answer.is_not_run and isinstance(failure, IndeterminateOutcome):
                        return NotRun("the upstream refused the request", True, is_busy=True)
                    return self._lost(request, known, failure)
        if answer.is_not_run:
            is_busy = not answer.is_other_instance
            return NotRun("the upstream refused the request", True, is_busy)
        if answer.status in PROMISES_NOT_RUN and not request.route.may_repeat:
            return MayHaveRun(f"status {answer.status} without proof that it has not run")
        if answer.status < SERVER_ERROR:
            self._loads.saw_success(known.record.id)
            self._guard.finished(request)
        return WholeAnswer(answer.status, answer.headers, bytes(body), known.record.id)

    def _attempt_until_s(self, request: AcceptedRequest, runs: int) -> float:
        """Leave time for one more attempt where there may be one."""
        if not request.route.may_repeat or runs + 1 >= request.route.attempts_max:
            return request.until_s
        left_s = request.until_s - time.monotonic()
        span_s = max(request.route.goal_s, FIRST_ATTEMPT_SHARE * left_s)
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


def _refusal(request: AcceptedRequest, runs: int, reason: str, back_in_s: float) -> Refusal:
    is_late = time.monotonic() >= request.until_s
    if runs:
        code = RefusalReason.TIMED_OUT if is_late else RefusalReason.OUTCOME_UNKNOWN
        return Refusal(code, reason)
    code = RefusalReason.DEADLINE_PAST if is_late else RefusalReason.NOT_RUN
    return Refusal(code, reason, back_in_s)
