"""Relay of a generation from an engine to its caller, resumed after lost connections."""

import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum

from result import Err, Ok, Result

from gooseberryquay.contracts.settings import LimitSettings
from gooseberryquay.errors import Failure, GenerationLost, Ran, UpstreamFailed
from gooseberryquay.ids import UpstreamId
from gooseberryquay.links.engine_client import (
    EngineClient,
    EngineRefusal,
    GenerationUnknown,
    OpenFailure,
    load_report_of,
)
from gooseberryquay.links.event_forwarder import EventForwarder
from gooseberryquay.links.event_sink import EventSink
from gooseberryquay.links.event_validator import EventValidator
from gooseberryquay.links.execution_proof import mark_possible_run, was_never_sent
from gooseberryquay.links.generation_name import EventPosition, GenerationName
from gooseberryquay.links.http_client import (
    ConnectionBroken,
    ReplyStream,
    TransportFailure,
    TransportTimeout,
)
from gooseberryquay.links.suspect_dispatcher import SuspectDispatcher
from gooseberryquay.machines.retry_budget import RetryBudget
from gooseberryquay.machines.work import Outcome, Placement, Work

__all__ = ["GenerationRelay"]

RESUME_DELAYS_S = (0.0, 0.05, 0.2, 0.5)
MAX_IDLE_TIMEOUTS = 3
MAX_ATTEMPTS = 4
RETRY_AFTER_S = 1.0


class _StreamEnd(Enum):
    """Describe how relaying a generation from one engine ended."""

    DONE = "done"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    LOST = "lost"
    DIED = "died"


MAY_HAVE_RUN_ENDS = frozenset({_StreamEnd.LOST, _StreamEnd.DIED})


@dataclass(frozen=True)
class _RelayContext:
    """Store the state for relaying one generation from one engine."""

    client: EngineClient
    generation: GenerationName
    validator: EventValidator
    sink: EventSink
    placement: Placement | None


class GenerationRelay:
    """Place generations, relay their events and resume them on new connections."""

    def __init__(
        self,
        dispatcher: SuspectDispatcher,
        client_for: Callable[[UpstreamId], EngineClient | None],
        limits: LimitSettings,
        retries: RetryBudget,
    ) -> None:
        self._dispatcher = dispatcher
        self._client_for = client_for
        self._idle_timeout_s = limits.stream_idle_timeout_s
        self._retries = retries

    def generate(
        self, work: Work, path: str, body: bytes, sink: EventSink
    ) -> Result[None, Failure]:
        """Run a new generation and pass its events to a sink.

        A lost generation is run again only while the sink can discard what it has received.
        """
        self._retries.record_request(work.service)
        may_have_run = False
        for attempt in range(1, MAX_ATTEMPTS + 1):
            match self._dispatcher.place(work):
                case Err(failure):
                    return Err(mark_possible_run(failure) if may_have_run else failure)
                case Ok(placement):
                    end = self._run_placed(work, path, body, placement, sink)
            if end is _StreamEnd.DONE:
                return Ok(None)
            may_have_run = may_have_run or end in MAY_HAVE_RUN_ENDS
            if not sink.restart():
                return Err(_generation_lost())
            if attempt == MAX_ATTEMPTS or not self._retries.may_retry(work.service):
                return Err(_upstream_failed(may_have_run))
            time.sleep(self._retries.backoff_s(attempt))
            work = replace(work, excluded=work.excluded | {placement.upstream.id})
        raise AssertionError("unreachable: the last attempt returns")

    def resume(self, position: EventPosition, sink: EventSink) -> Result[None, Failure]:
        """Pass on the events after a position of a running or finished generation."""
        client = self._client_for(position.generation.upstream)
        if client is None:
            return Err(_generation_lost())
        validator = EventValidator(position.generation.id, position.index + 1)
        context = _RelayContext(client, position.generation, validator, sink, None)
        end = self._follow(context, self._reopen(context))
        return Ok(None) if end is _StreamEnd.DONE else Err(_generation_lost())

    def _run_placed(
        self, work: Work, path: str, body: bytes, placement: Placement, sink: EventSink
    ) -> _StreamEnd:
        end: _StreamEnd | None = None
        try:
            end = self._run_at(work, path, body, placement, sink)
            return end
        finally:
            outcome = _outcome_of(end)
            placement.finish(outcome)
            self._dispatcher.ended(work, outcome)

    def _run_at(
        self, work: Work, path: str, body: bytes, placement: Placement, sink: EventSink
    ) -> _StreamEnd:
        upstream = placement.upstream.id
        client = self._client_for(upstream)
        if client is None:
            return _StreamEnd.REFUSED
        generation = GenerationName.create(upstream, work.workspace)
        context = _RelayContext(client, generation, EventValidator(generation.id), sink, placement)
        priority = placement.priority
        opened = client.start(path, generation.id, priority, body, self._idle_timeout_s)
        refused = _refusal_of(opened)
        if refused is not None:
            _record_report(context, opened)
            return refused
        end = self._follow(context, opened)
        match end:
            case _StreamEnd.DIED:
                self._dispatcher.upstream_died(placement.upstream, work)
            case _StreamEnd.LOST:
                client.cancel(generation.id)
        return end

    def _follow(
        self, context: _RelayContext, opened: Result[ReplyStream, OpenFailure]
    ) -> _StreamEnd:
        """Pass on events, reconnecting as needed, until the generation ends.

        The engine already holds the generation, so a refusal here does not mean that it never ran.
        """
        failed_opens = 0
        idle_since_s = time.monotonic()
        while True:
            match opened:
                case Err(EngineRefusal() | GenerationUnknown()):
                    _record_report(context, opened)
                    return _StreamEnd.LOST
                case Err((ConnectionBroken() | TransportTimeout()) as failure):
                    failed_opens += 1
                    if failed_opens >= len(RESUME_DELAYS_S):
                        return _end_of_failure(failure)
                case Ok(stream):
                    failed_opens = 0
                    before = context.validator.next_index
                    if self._forward(context, stream):
                        return _StreamEnd.DONE
                    if context.validator.next_index > before:
                        idle_since_s = time.monotonic()
            if time.monotonic() - idle_since_s > MAX_IDLE_TIMEOUTS * self._idle_timeout_s:
                return _StreamEnd.LOST
            time.sleep(RESUME_DELAYS_S[failed_opens])
            opened = self._reopen(context)

    def _reopen(self, context: _RelayContext) -> Result[ReplyStream, OpenFailure]:
        context.validator.discard_partial_event()
        next_index = context.validator.next_index
        return context.client.resume(context.generation.id, next_index, self._idle_timeout_s)

    def _forward(self, context: _RelayContext, stream: ReplyStream) -> bool:
        """Pass on the events of one connection; return True if the generation is complete."""
        report = load_report_of(stream)
        if report is not None and context.placement is not None:
            context.placement.record_report(report)
        forwarder = EventForwarder(stream.body, context.validator, context.sink, context.placement)
        is_done = is_reusable = False
        try:
            is_done = forwarder.run()
            is_reusable = is_done and forwarder.read_to_end()
        finally:
            if is_reusable:
                stream.release()
            else:
                stream.close()
        return is_done


def _record_report(context: _RelayContext, opened: Result[ReplyStream, OpenFailure]) -> None:
    match opened:
        case Err(EngineRefusal(report=report)) if report is not None:
            if context.placement is not None:
                context.placement.record_report(report)
        case _:
            pass


def _refusal_of(opened: Result[ReplyStream, OpenFailure]) -> _StreamEnd | None:
    """Return how a generation ended that its engine provably never accepted, else None."""
    match opened:
        case Err(EngineRefusal(is_not_executed=True)):
            return _StreamEnd.REFUSED
        case Err((ConnectionBroken() | TransportTimeout()) as failure) if was_never_sent(failure):
            return _StreamEnd.UNREACHABLE
        case _:
            return None


def _end_of_failure(failure: TransportFailure) -> _StreamEnd:
    return _StreamEnd.DIED if isinstance(failure, ConnectionBroken) else _StreamEnd.LOST


def _outcome_of(end: _StreamEnd | None) -> Outcome:
    match end:
        case None:
            return Outcome.CANCELLED
        case _StreamEnd.DONE:
            return Outcome.FINISHED
        case _StreamEnd.REFUSED:
            return Outcome.REFUSED
        case _StreamEnd.UNREACHABLE:
            return Outcome.UNREACHABLE
        case _StreamEnd.LOST | _StreamEnd.DIED:
            return Outcome.BROKEN


def _generation_lost() -> Failure:
    message = "the generation ended before its last token and cannot be resumed"
    return GenerationLost(message, ran=Ran.MAYBE, retry_after_s=RETRY_AFTER_S)


def _upstream_failed(may_have_run: bool) -> Failure:
    ran = Ran.MAYBE if may_have_run else Ran.NO
    return UpstreamFailed("no upstream completed the request", ran, RETRY_AFTER_S)
