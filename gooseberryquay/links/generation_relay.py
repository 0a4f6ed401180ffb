"""Carry one generation from an engine to its caller, across broken links."""

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
    report_of,
)
from gooseberryquay.links.event_forwarder import EventPump
from gooseberryquay.links.event_sink import EventSink
from gooseberryquay.links.event_validator import EventCheck
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

RESUME_PAUSES_S = (0.0, 0.05, 0.2, 0.5)
QUIET_TIMEOUTS = 3
MAX_ATTEMPTS = 4
RETRY_AFTER_S = 1.0


class _End(Enum):
    """Say how following a generation at one engine ended."""

    DONE = "done"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    LOST = "lost"
    DIED = "died"


MAYBE_RUN_ENDS = frozenset({_End.LOST, _End.DIED})


@dataclass(frozen=True)
class _Route:
    """Hold what following one generation at one engine needs."""

    link: EngineClient
    generation: GenerationName
    check: EventCheck
    sink: EventSink
    placement: Placement | None


class GenerationRelay:
    """Place generations, follow them at their engine and resume them on new connections."""

    def __init__(
        self,
        guard: SuspectDispatcher,
        client_for: Callable[[UpstreamId], EngineClient | None],
        limits: LimitSettings,
        retries: RetryBudget,
    ) -> None:
        self._guard = guard
        self._link_to = client_for
        self._idle_timeout_s = limits.stream_idle_timeout_s
        self._retries = retries

    def generate(
        self, work: Work, path: str, body: bytes, sink: EventSink
    ) -> Result[None, Failure]:
        """Run a new generation into a sink.

        A generation that was lost is run again only while the sink can forget what it has.
        """
        self._retries.record_request(work.service)
        may_have_run = False
        for attempt in range(1, MAX_ATTEMPTS + 1):
            match self._guard.place(work):
                case Err(failure):
                    return Err(replace(failure, ran=Ran.MAYBE) if may_have_run else failure)
                case Ok(placement):
                    end = self._run_placed(work, path, body, placement, sink)
            if end is _End.DONE:
                return Ok(None)
            may_have_run = may_have_run or end in MAYBE_RUN_ENDS
            if not sink.restart():
                return Err(_lost())
            if attempt == MAX_ATTEMPTS or not self._retries.may_retry(work.service):
                return Err(_failed(may_have_run))
            time.sleep(self._retries.backoff_s(attempt))
            work = replace(work, excluded=work.excluded | {placement.upstream.id})
        raise AssertionError("the last attempt returns")

    def resume(self, position: EventPosition, sink: EventSink) -> Result[None, Failure]:
        """Pass on the events behind a position of a running or finished generation."""
        link = self._link_to(position.generation.upstream)
        if link is None:
            return Err(_lost())
        check = EventCheck(position.generation.id, position.index + 1)
        route = _Route(link, position.generation, check, sink, None)
        end = self._follow(route, self._reopen(route))
        return Ok(None) if end is _End.DONE else Err(_lost())

    def _run_placed(
        self, work: Work, path: str, body: bytes, placement: Placement, sink: EventSink
    ) -> _End:
        end: _End | None = None
        try:
            end = self._run_at(work, path, body, placement, sink)
            return end
        finally:
            outcome = _outcome_of(end)
            placement.finish(outcome)
            self._guard.ended(work, outcome)

    def _run_at(
        self, work: Work, path: str, body: bytes, placement: Placement, sink: EventSink
    ) -> _End:
        upstream = placement.upstream.id
        link = self._link_to(upstream)
        if link is None:
            return _End.REFUSED
        generation = GenerationName.create(upstream, work.workspace)
        route = _Route(link, generation, EventCheck(generation.id), sink, placement)
        priority = placement.priority
        opened = link.start(path, generation.id, priority, body, self._idle_timeout_s)
        refused = _refusal_of(opened)
        if refused is not None:
            _note_report(route, opened)
            return refused
        end = self._follow(route, opened)
        match end:
            case _End.DIED:
                self._guard.upstream_died(placement.upstream, work)
            case _End.LOST:
                link.cancel(generation.id)
        return end

    def _follow(self, route: _Route, opened: Result[ReplyStream, OpenFailure]) -> _End:
        """Pass on events from connection after connection until the generation ends.

        The engine has the generation by now, so that a refusal no longer says that it did not run.
        """
        failed_opens = 0
        quiet_since_s = time.monotonic()
        while True:
            match opened:
                case Err(EngineRefusal() | GenerationUnknown()):
                    _note_report(route, opened)
                    return _End.LOST
                case Err((ConnectionBroken() | TransportTimeout()) as failure):
                    failed_opens += 1
                    if failed_opens >= len(RESUME_PAUSES_S):
                        return _end_of_link(failure)
                case Ok(stream):
                    failed_opens = 0
                    before = route.check.next_index
                    if self._pass_on(route, stream):
                        return _End.DONE
                    if route.check.next_index > before:
                        quiet_since_s = time.monotonic()
            if time.monotonic() - quiet_since_s > QUIET_TIMEOUTS * self._idle_timeout_s:
                return _End.LOST
            time.sleep(RESUME_PAUSES_S[failed_opens])
            opened = self._reopen(route)

    def _reopen(self, route: _Route) -> Result[ReplyStream, OpenFailure]:
        route.check.start_connection()
        next_index = route.check.next_index
        return route.link.resume(route.generation.id, next_index, self._idle_timeout_s)

    def _pass_on(self, route: _Route, stream: ReplyStream) -> bool:
        """Pass on what one connection brings; True when the generation is complete."""
        report = report_of(stream)
        if report is not None and route.placement is not None:
            route.placement.record_report(report)
        pump = EventPump(stream.body, route.check, route.sink, route.placement)
        is_done = is_reusable = False
        try:
            is_done = pump.run()
            is_reusable = is_done and pump.read_to_end()
        finally:
            if is_reusable:
                stream.release()
            else:
                stream.close()
        return is_done


def _note_report(route: _Route, opened: Result[ReplyStream, OpenFailure]) -> None:
    match opened:
        case Err(EngineRefusal(report=report)) if report is not None:
            if route.placement is not None:
                route.placement.record_report(report)
        case _:
            pass


def _refusal_of(opened: Result[ReplyStream, OpenFailure]) -> _End | None:
    """Give the end of a generation that its engine certainly never had, or None."""
    match opened:
        case Err(EngineRefusal(is_not_run=True)):
            return _End.REFUSED
        case Err(ConnectionBroken(was_sent=False) | TransportTimeout(was_sent=False)):
            return _End.UNREACHABLE
        case _:
            return None


def _end_of_link(failure: TransportFailure) -> _End:
    return _End.DIED if isinstance(failure, ConnectionBroken) else _End.LOST


def _outcome_of(end: _End | None) -> Outcome:
    match end:
        case None:
            return Outcome.CANCELLED
        case _End.DONE:
            return Outcome.FINISHED
        case _End.REFUSED:
            return Outcome.REFUSED
        case _End.UNREACHABLE:
            return Outcome.UNREACHABLE
        case _End.LOST | _End.DIED:
            return Outcome.BROKEN


def _lost() -> Failure:
    message = "the generation ended before its last token and cannot be resumed"
    return GenerationLost(message, ran=Ran.MAYBE, retry_after_s=RETRY_AFTER_S)


def _failed(may_have_run: bool) -> Failure:
    ran = Ran.MAYBE if may_have_run else Ran.NO
    return UpstreamFailed("no upstream completed the request", ran, RETRY_AFTER_S)
