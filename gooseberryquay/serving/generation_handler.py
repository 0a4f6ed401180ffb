"""Relay generations from engines to callers, across engines that are leaving or fail."""

import functools
import math
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err, Ok

from gooseberryquay.ids import SoftwareVersion, UpstreamId
from gooseberryquay.links.upstream_connection import BodyEnd, BodyPart, CallerLeft
from gooseberryquay.machines.retry_budget import RetryBudget
from gooseberryquay.serving.accepted import AcceptedRequest
from gooseberryquay.serving.active_generation import (
    ActiveGeneration,
    ActiveGenerations,
    KvCopy,
    RunStop,
)
from gooseberryquay.serving.crash_guard import GOOD_RUN_EVENTS, CrashGuard, RunLoss
from gooseberryquay.serving.decision_log import DecisionLog
from gooseberryquay.serving.execution import guarantees_not_run
from gooseberryquay.serving.final_refusal import final_refusal
from gooseberryquay.serving.generation_placer import GenerationPlacer, rank_of
from gooseberryquay.serving.generation_queue import GenerationQueue, PlacedGeneration
from gooseberryquay.serving.migration import Migration
from gooseberryquay.serving.pace_choice import Forecast
from gooseberryquay.serving.placement import EngineNeed, Placement
from gooseberryquay.serving.ports import (
    Continuation,
    IndeterminateOutcome,
    ListeningState,
    NotExecuted,
    OpenResponse,
    SendOptions,
    UpstreamClient,
)
from gooseberryquay.serving.refusal import Refusal, RefusalReason
from gooseberryquay.serving.stream_relay import (
    PinnedVersion,
    StreamEnd,
    StreamProgress,
    StreamRelay,
)
from gooseberryquay.serving.stream_versions import StreamVersions, VersionUnknown
from gooseberryquay.serving.upstream_load import LoadTable
from gooseberryquay.serving.upstream_signals import UpstreamSignals
from gooseberryquay.serving.whole_answer import WholeAnswer

__all__ = ["GenerationHandler"]

HTTP_OK = 200
SERVER_ERROR = 500
# Same as for unary calls.
AVOID_BASE_S = 0.5
MS_PER_S = 1000.0
# The usual notice of engines.
MOVE_WAIT_S = 2.0
# Upstreams are near.
LISTEN_TIMEOUT_S = 0.3
# A few steps of an engine's batch.
RETRY_AFTER_S = 0.5
# More migrations than can occur during the longest generation.
MOVES_MAX = 12
# Same as for unary calls.
UNDELIVERED_MAX = 10
# Error messages of engines are short.
ENGINE_ERROR_BYTES_MAX = 1024 * 1024

Outcome = StreamEnd | WholeAnswer | NotExecuted | CallerLeft


@dataclass
class _Attempts:
    """Track the attempts made for one request."""

    undelivered: int = 0
    excluded: set[UpstreamId] = field(default_factory=set)
    reason: str = "no engine takes new work"
    # The next attempt was counted as a retry before the stream was broken off for it.
    is_paid: bool = False


class GenerationHandler:
    """Serve requests of streaming routes."""

    def __init__(
        self,
        *,
        upstream_client: UpstreamClient,
        placement: Placement,
        placer: GenerationPlacer,
        queue: GenerationQueue,
        loads: LoadTable,
        retries: RetryBudget,
        active: ActiveGenerations,
        migration: Migration,
        signals: UpstreamSignals,
        guard: CrashGuard,
        versions: StreamVersions,
        log: DecisionLog,
        on_forecast: Callable[[Forecast], None] = lambda _forecast: None,
    ) -> None:
        self._on_forecast = on_forecast
        self._guard = guard
        self._versions = versions
        self._upstream_client = upstream_client
        self._placement = placement
        self._placer = placer
        self._queue = queue
        self._loads = loads
        self._retries = retries
        self._active = active
        self._migration = migration
        self._signals = signals
        self._log = log

    def serve(self, request: AcceptedRequest) -> Refusal | WholeAnswer | CallerLeft | None:
        """Relay a generation; return a response only if nothing was sent to the caller yet."""
        self._retries.record_request(request.service)
        progress = StreamProgress(last_id=request.call.resume_after)
        attempts = _Attempts()
        if progress.last_id is not None and request.route.is_resumable:
            version = self._versions.version_of(
                request.call.resumes, request.service, request.caller, request.until_s
            )
            if isinstance(version, VersionUnknown):
                return _version_unknown()
            progress.pinned = PinnedVersion(version)
        is_budget_exempt = True
        while not request.execution.is_withdrawn and attempts.undelivered < UNDELIVERED_MAX:
            if not is_budget_exempt and not self._may_retry(request, attempts):
                break
            is_budget_exempt = False
            pinned = progress.pinned or self._version_to_begin(request)
            placed = self._placer.place(request, pinned, attempts.excluded)
            if isinstance(placed, Err):
                failure = placed.err_value
                if isinstance(failure, CallerLeft) or not request.execution.may_have_run:
                    return failure
                attempts.reason = failure.message
                break
            self._log_placed(request, placed.ok_value)
            outcome = self._run(request, progress, attempts, placed.ok_value)
            match outcome:
                case WholeAnswer():
                    self._guard.finished(request)
                    return outcome
                case StreamEnd.COMPLETE:
                    self._guard.finished(request)
                    self._record_length(request, progress)
                    self._log_complete(request, progress, placed.ok_value)
                    return None
                case StreamEnd.CALLER_LEFT | CallerLeft():
                    return CallerLeft()
                case StreamEnd.TIMED_OUT | StreamEnd.OUT_OF_ORDER | StreamEnd.UNRECORDED:
                    # A record that was refused or lost may name this version for the stream, so it
                    # can't begin at another one.
                    break
                case StreamEnd.BROKEN:
                    is_budget_exempt, attempts.is_paid = attempts.is_paid, False
                case NotExecuted(reason, has_arrived):
                    attempts.reason = reason
                    # Only attempts that reached an upstream count as retries.
                    attempts.undelivered += not has_arrived
                    is_budget_exempt = not has_arrived
            attempts.excluded.add(placed.ok_value.known.record.id)
        return self._give_up(request, progress, attempts)

    def _resend(
        self, active: ActiveGeneration, progress: StreamProgress, attempts: _Attempts
    ) -> bool:
        """Break off a stream that has not begun, so that its request is sent anew in time."""
        if progress.is_started or not self._may_retry(active.request, _Attempts()):
            return False
        attempts.is_paid = active.break_stream()
        return attempts.is_paid

    def _may_retry(self, request: AcceptedRequest, attempts: _Attempts) -> bool:
        if time.monotonic() >= request.until_s:
            return False
        if not request.may_run_again:
            return False
        if not self._retries.may_retry(request.service):
            attempts.reason += "; the retry budget is spent"
            return False
        return True

    def _run(
        self,
        request: AcceptedRequest,
        progress: StreamProgress,
        attempts: _Attempts,
        placed: PlacedGeneration,
    ) -> Outcome:
        """Run a generation at one engine and at those that it is migrated to."""
        active = ActiveGeneration(
            request, placed.known, placed.run, self._tokens_per_event(request)
        )
        continuation = Continuation(progress.last_id, None) if progress.is_started else None
        if request.route.is_retryable:
            # Not every engine notices that its stream broke; the next one must not run beside it.
            self._migration.attach(active)
            active.resend = functools.partial(self._resend, active, progress, attempts)
            active.may_resend = lambda: not progress.is_started and request.may_run_again
        self._active.add(active)
        copy: KvCopy | None = None
        try:
            for _ in range(MOVES_MAX):
                outcome = self._run_once(active, progress, attempts, continuation)
                if outcome is StreamEnd.UNRECORDED:
                    attempts.reason = "the software version of the stream could not be recorded"
                    self._stop_run(active)
                    return outcome
                copy = self._resume_point(active, copy, outcome)
                if copy is None and outcome is StreamEnd.BROKEN:
                    # An order without an answer may still arrive there, and stop a new run.
                    attempts.excluded.add(active.known.record.id)
                if copy is None:
                    was_running = continuation is not None and isinstance(outcome, NotExecuted)
                    return StreamEnd.BROKEN if was_running else outcome
                if request.caller.is_disconnected():
                    self._discard(active, copy)
                    return CallerLeft()
                if copy.run is active.run:
                    # Only targets of a migration have been counted against their rate limits.
                    self._placement.spend(copy.holder)
                self._switch_to(active, copy)
                self._retries.spend(request.service)
                continuation = Continuation(progress.last_id, copy.handle)
            return StreamEnd.BROKEN
        finally:
            self._active.remove(active)
            self._loads.end(active.run)
            self._free_unused_copy(active)
            self._free_backups(active)
            self._queue.changed()

    def _resume_point(
        self, active: ActiveGeneration, used: KvCopy | None, outcome: Outcome
    ) -> KvCopy | None:
        """Return the copy that an interrupted generation may resume from, or None."""
        match outcome:
            case StreamEnd.BROKEN:
                return active.take_copy(MOVE_WAIT_S) or self._take_backup(active)
            case NotExecuted() if used is not None:
                kept = used.at_source(active.run)
                return kept if kept and self._migration.may_return_to(kept.holder) else None
            case _:
                return None

    def _stop_run(self, active: ActiveGeneration) -> None:
        """Stop a run whose events nobody gets."""
        copy = active.take_copy(MOVE_WAIT_S)
        if copy is not None:
            self._discard(active, copy)

    def _take_backup(self, active: ActiveGeneration) -> KvCopy | None:
        """Return the backup of a run that its engine's end has cut off, or None."""
        if self._migration.backups is None or active.backup is None:
            return None
        if self._guard.refusal_on_arrival(active.request) is not None:
            return None
        return self._migration.backups.take(active)

    def _free_backups(self, active: ActiveGeneration) -> None:
        if self._migration.backups is not None:
            self._migration.backups.free(active)

    def _tokens_per_event(self, request: AcceptedRequest) -> int:
        engine = self._placement.engine_terms(request.service)
        return engine.tokens_per_event if engine is not None else 1

    def _switch_to(self, active: ActiveGeneration, copy: KvCopy) -> None:
        self._active.remove(active)
        if copy.run is not active.run:
            self._loads.end(active.run)
        active.switch_to(copy.holder, copy.run)
        self._active.add(active)

    def _free_unused_copy(self, active: ActiveGeneration) -> None:
        copy = active.end()
        if copy is not None:
            self._discard(active, copy)

    def _discard(self, active: ActiveGeneration, copy: KvCopy) -> None:
        if copy.run is not active.run:
            self._loads.end(copy.run)
        self._upstream_client.free_copy(copy.handle.source, copy.handle)

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
        backups = self._migration.backups
        backup = backups.choose(active) if backups is not None else None
        if backup is not None:
            # Rather than from the backup, the run goes on from its last state if that is reached.
            self._migration.attach(active)
        options = SendOptions(
            workspace=request.workspace.id if request.workspace is not None else None,
            until_s=request.until_s,
            priority=rank_of(request),
            # A second copy of an earlier answer to this request would carry the right id.
            needs_new_connection=not request.route.is_retryable or continuation is not None,
            continuation=continuation,
            backup=backup,
            route=request.route.name,
        )
        # The entry of the list may change during the run.
        version = active.known.record.version
        opened = request.execution.send(
            self._upstream_client, active.known.record, request.call, options, request.caller
        )
        if isinstance(opened, Ok):
            return self._relay_response(active, progress, attempts, opened.ok_value, version)
        return self._failed_open(active, opened.err_value)

    def _failed_open(
        self, active: ActiveGeneration, failure: NotExecuted | IndeterminateOutcome | CallerLeft
    ) -> Outcome:
        match failure:
            case CallerLeft():
                self._guard.run_lost(active.request, active.known, RunLoss.CALLER_LEFT)
                return failure
            case NotExecuted(reason, is_upstream_gone=is_gone):
                if is_gone:
                    self._guard.upstream_ended(active.known, "refuses connections")
                self._record_engine_failure(active, "not sent", reason)
                return failure
            case IndeterminateOutcome(reason, is_timeout):
                if not _was_stopped(active):
                    loss = RunLoss.SILENT if is_timeout else RunLoss.BROKEN
                    self._guard.run_lost(active.request, active.known, loss)
                if time.monotonic() >= active.request.until_s:
                    return StreamEnd.TIMED_OUT
                self._record_engine_failure(active, "no answer", reason)
                return StreamEnd.BROKEN

    def _relay_response(
        self,
        active: ActiveGeneration,
        progress: StreamProgress,
        attempts: _Attempts,
        response: OpenResponse,
        version: SoftwareVersion | None,
    ) -> Outcome:
        upstream = active.known.record.id
        self._signals.process_response(active.known, response)
        if response.is_not_run:
            response.close()
            self._record_engine_failure(active, "refused by engine", str(response.status))
            return NotExecuted(
                f"the engine refused with status {response.status}", has_arrived=True
            )
        active.run.is_admitted = True
        if response.status != HTTP_OK:
            self._record_engine_failure(active, "engine failed", str(response.status))
            return self._read_engine_error(active.request, progress, attempts, response)
        was_resumed = progress.last_id is not None
        relay = StreamRelay(active, progress, response)
        relay.on_good_run = functools.partial(self._guard.ran_well, active.request)
        relay.good_run_events = GOOD_RUN_EVENTS
        relay.version = version
        relay.on_begun = functools.partial(self._may_begin, active.request, version)
        relay.is_engine_up = functools.partial(self._is_engine_up, active)
        relay.on_event = functools.partial(self._placement.record_pace, active.known)
        if not active.run.is_moved and not was_resumed:
            relay.on_first_event = functools.partial(self._record_first_event, active)
        if progress.last_number is not None and active.run.is_moved:
            relay.on_resumed = functools.partial(self._report_resumed, active)
        end = relay.run()
        if relay.body_end is not None:
            self._log_end(active, end, relay.body_end)
        if end is StreamEnd.COMPLETE:
            self._loads.record_success(upstream)
            if relay.event_count and not was_resumed:
                self._guard.ran_well(active.request)
        else:
            self._report_stream_loss(active, end, relay.event_count)
            if relay.reason:
                self._record_engine_failure(active, f"stream {end.value}", relay.reason)
        return end

    def _record_first_event(self, active: ActiveGeneration) -> None:
        run = active.run
        first_s = time.monotonic() - run.started_at_s
        self._placement.record_first_event(active.known, first_s, run.tokens_ahead)

    def _may_begin(self, request: AcceptedRequest, version: SoftwareVersion | None) -> bool:
        """Record the version that begins a stream; return False if it may not begin there."""
        if not request.route.is_resumable:
            return True
        call = request.call
        if self._versions.record(call.id, request.service, version, request.caller):
            return True
        # If no engine of the earliest version takes work, a stream without a record beats none.
        return self._version_to_begin(request) is None

    def _version_to_begin(self, request: AcceptedRequest) -> PinnedVersion | None:
        """Return the only version at which a stream may begin now, None if it may at any."""
        if not request.route.is_resumable:
            return None
        only = self._versions.only_version_to_begin(request.service)
        if only is None:
            return None
        others = self._placement.of_other_versions(request.service, only.version)
        return only if self._placement.has_candidate(request.service, others) else None

    def _is_engine_up(self, active: ActiveGeneration) -> bool:
        """Return whether an engine that leaves still listens, if its stream could go on elsewhere.

        A link may refuse connections too, so that alone is no reason to break a stream off.
        """
        is_planned = active.known.is_leaving or active.known.is_missing
        if not (is_planned and active.has_copy()):
            return True
        until_s = time.monotonic() + LISTEN_TIMEOUT_S
        state = self._upstream_client.listening_state(active.known.record, until_s)
        return state is not ListeningState.REFUSED

    def _report_stream_loss(
        self, active: ActiveGeneration, end: StreamEnd, event_count: int
    ) -> None:
        if _was_stopped(active):
            return
        loss = {
            StreamEnd.BROKEN: RunLoss.BROKEN,
            StreamEnd.TIMED_OUT: RunLoss.SILENT,
            StreamEnd.CALLER_LEFT: RunLoss.CALLER_LEFT,
        }.get(end)
        if loss is not None:
            self._guard.run_lost(active.request, active.known, loss, event_count)

    def _read_engine_error(
        self,
        request: AcceptedRequest,
        progress: StreamProgress,
        attempts: _Attempts,
        response: OpenResponse,
    ) -> Outcome:
        """Read an engine's error response, unless another engine may run the request.

        Without proof that the request was not executed, a status that guarantees this is withheld.
        """
        status = response.status
        if guarantees_not_run(status):
            attempts.reason = f"status {status} without proof that the request was not executed"
        may_retry = request.may_run_again and status >= SERVER_ERROR
        if progress.is_started or may_retry or guarantees_not_run(status):
            response.close()
            return StreamEnd.BROKEN
        body = bytearray()
        while len(body) <= ENGINE_ERROR_BYTES_MAX:
            match response.read(request.caller, request.until_s):
                case Ok(BodyPart(content)):
                    body += content
                case Ok(BodyEnd()):
                    response.finish()
                    return WholeAnswer(status, response.headers, bytes(body))
                case Err(failure):
                    response.close()
                    return failure if isinstance(failure, CallerLeft) else StreamEnd.BROKEN
        response.close()
        return StreamEnd.BROKEN

    def _give_up(
        self, request: AcceptedRequest, progress: StreamProgress, attempts: _Attempts
    ) -> Refusal | None:
        is_late = time.monotonic() >= request.until_s
        if request.execution.may_have_run:
            self._guard.send_updates()
        if not progress.is_started:
            return final_refusal(request, attempts.reason, RETRY_AFTER_S)
        reason = "out of time" if is_late else attempts.reason
        self._log.failure(
            "stream aborted",
            request.call.id,
            fingerprint=request.fingerprint,
            reason=reason,
            last=progress.last_id,
        )
        request.response_writer.abort()
        return None

    def _record_length(self, request: AcceptedRequest, progress: StreamProgress) -> None:
        if request.call.resume_after is None and progress.last_number is not None:
            output_tokens = progress.last_number * self._tokens_per_event(request)
            event_span_s = progress.last_at_s - progress.first_at_s
            self._placer.record_complete(request, output_tokens, event_span_s)

    def _log_complete(
        self, request: AcceptedRequest, progress: StreamProgress, placed: PlacedGeneration
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

    def _log_end(self, active: ActiveGeneration, end: StreamEnd, body_end: BodyEnd) -> None:
        self._log.request(
            "stream ended",
            active.request.call.id,
            upstream=active.known.record.id,
            end=end.value,
            delimited_by=body_end.value,
            move=active.state.value,
            stop=active.stop.value,
        )

    def _report_resumed(self, active: ActiveGeneration, pause_s: float) -> None:
        self._log.request(
            "generation resumed",
            active.request.call.id,
            upstream=active.known.record.id,
            pause_ms=round(pause_s * MS_PER_S),
        )

    def _log_placed(self, request: AcceptedRequest, placed: PlacedGeneration) -> None:
        now_s = time.monotonic()
        run, route = placed.run, request.route
        expected = self._placement.forecast_at(
            placed.known,
            EngineNeed(
                run.prompt_tokens,
                run.expected_tokens,
                route.gap_target_s,
                request.call.arrived_at_s + route.goal_s,
                route.priority,
            ),
        )
        forecast: dict[str, float] = {}
        if expected is not None:
            run.tokens_ahead = self._placement.unread_at(placed.known)
            self._on_forecast(expected)
            forecast["expected_first_ms"] = round(expected.first_s * MS_PER_S)
            forecast["expected_pause_ms"] = round(expected.pause_s * MS_PER_S)
            forecast["expected_lateness"] = round(expected.lateness, 2)
        self._log.request(
            "generation placed",
            request.call.id,
            upstream=placed.known.record.id,
            version=request.version,
            announced_age_s=round(now_s - placed.known.announced_at_s, 2),
            own_runs=len(self._loads.runs_at(placed.known.record.id)),
            expected_tokens=round(placed.run.expected_tokens),
            forecast_ms=_forecast_ms(placed),
            waited_ms=round((now_s - request.call.arrived_at_s) * MS_PER_S),
            **forecast,
        )

    def _record_engine_failure(self, active: ActiveGeneration, event: str, reason: str) -> None:
        known = active.known
        if not known.is_leaving:
            self._loads.record_failure(known.record.id, AVOID_BASE_S)
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


def _forecast_ms(placed: PlacedGeneration) -> int | None:
    """Return the wait that was forecast for a generation, None if there is no forecast."""
    if placed.forecast_s is None or math.isinf(placed.forecast_s):
        return None
    return round(placed.forecast_s * MS_PER_S)


def _was_stopped(active: ActiveGeneration) -> bool:
    """Return whether this entry may have ended a run itself, so that its loss tells nothing."""
    is_ordered = active.is_resent or active.stop in {RunStop.ORDERED, RunStop.STOPPED}
    return is_ordered or (active.is_stream_closed and active.stop is RunStop.UNKNOWN)


def _version_unknown() -> Refusal:
    reason = "the software version that began this stream is not known"
    return Refusal(RefusalReason.NOT_RUN, reason, RETRY_AFTER_S)
