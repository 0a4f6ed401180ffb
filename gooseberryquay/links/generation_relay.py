"""Carry one generation from an engine to its caller, across broken links."""

import time
from collections.abc import Callable, Generator, Iterator
from dataclasses import dataclass, replace
from enum import Enum

from result import Err, Ok, Result

from gooseberryquay.contracts.settings import LimitSettings
from gooseberryquay.errors import Failure, GenerationLost, Ran, UpstreamFailed
from gooseberryquay.ids import ServiceId, UpstreamId
from gooseberryquay.links.engine_link import (
    EngineLink,
    EngineRefusal,
    GenerationUnknown,
    OpenFailure,
    report_of,
)
from gooseberryquay.links.event_check import CheckedEvents, EventCheck
from gooseberryquay.links.generation_name import EventPosition, GenerationName
from gooseberryquay.links.http_client import LinkBroken, LinkFailure, LinkTimeout, ReplyStream
from gooseberryquay.machines.work import Dispatcher, Outcome, Placement, Work

__all__ = ["GenerationRelay", "RelayHooks", "StreamPart"]

RESUME_PAUSES_S = (0.0, 0.05, 0.2, 0.5, 1.0)
MAX_ATTEMPTS = 4
RETRY_AFTER_S = 1.0

StreamPart = Result[CheckedEvents, Failure]
Parts = Iterator[StreamPart]


class _End(Enum):
    """Say how following a generation at one engine ended."""

    DONE = "done"
    REFUSED = "refused"
    LOST = "lost"
    DIED = "died"


@dataclass(frozen=True)
class RelayHooks:
    """Tell other parts of the entry what a relay saw."""

    may_retry: Callable[[ServiceId], bool]
    upstream_died: Callable[[UpstreamId, Work], None]


class GenerationRelay:
    """Place generations, follow them at their engine and resume them on new connections."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        link_to: Callable[[UpstreamId], EngineLink | None],
        limits: LimitSettings,
        hooks: RelayHooks,
    ) -> None:
        self._dispatcher = dispatcher
        self._link_to = link_to
        self._limits = limits
        self._hooks = hooks

    def generate(self, work: Work, path: str, body: bytes, is_whole: bool) -> Parts:
        """Run a new generation and yield its events; a failure is the last part.

        A generation that was lost is run again only while the caller has none of its tokens: with
        `is_whole` the caller gets nothing before the end, and drops the parts of a lost run.
        """
        for attempt in range(MAX_ATTEMPTS):
            match self._dispatcher.place(work):
                case Err(failure):
                    yield Err(failure)
                    return
                case Ok(placement):
                    generation = GenerationName.create(placement.upstream.id, work.workspace)
            end, passed = yield from self._run_placed(work, path, body, placement, generation)
            if end is _End.DONE:
                return
            if passed and not is_whole:
                yield Err(_lost(generation))
                return
            is_last = attempt + 1 == MAX_ATTEMPTS
            if is_last or not self._hooks.may_retry(work.service):
                yield Err(_failed(end))
                return
            work = replace(work, excluded=work.excluded | {placement.upstream.id})
            if passed:
                yield Ok(CheckedEvents(b"", 0, is_broken=True))

    def resume(self, position: EventPosition) -> Parts:
        """Yield the events behind a position; a failure is the last part."""
        link = self._link_to(position.generation.upstream)
        if link is None:
            yield Err(_lost(position.generation))
            return
        check = EventCheck(position.generation.id, position.index + 1)
        opened = self._reopen(link, position.generation, check)
        end, _ = yield from self._follow(link, position.generation, check, opened, None)
        if end is not _End.DONE:
            yield Err(_lost(position.generation))

    def _run_placed(
        self,
        work: Work,
        path: str,
        body: bytes,
        placement: Placement,
        generation: GenerationName,
    ) -> Generator[StreamPart, None, tuple[_End, bool]]:
        end = None
        try:
            link = self._link_to(placement.upstream.id)
            if link is None:
                end = _End.REFUSED
                return end, False
            idle_s = self._limits.stream_idle_timeout_s
            opened = link.start(path, generation.id, placement.priority, body, idle_s)
            check = EventCheck(generation.id)
            end, passed = yield from self._follow(link, generation, check, opened, placement)
            if end is _End.DIED:
                self._hooks.upstream_died(placement.upstream.id, work)
            elif end is _End.LOST:
                link.cancel(generation.id)
            return end, passed
        finally:
            placement.finish(_outcome_of(end))

    def _follow(
        self,
        link: EngineLink,
        generation: GenerationName,
        check: EventCheck,
        opened: Result[ReplyStream, OpenFailure],
        placement: Placement | None,
    ) -> Generator[StreamPart, None, tuple[_End, bool]]:
        has_passed = False
        failed_opens = 0
        quiet_since_s = time.monotonic()
        while True:
            match opened:
                case Err(EngineRefusal(report=report)):
                    if placement and report:
                        placement.saw_report(report)
                    return _End.REFUSED, has_passed
                case Err(GenerationUnknown()):
                    return _End.LOST, has_passed
                case Err((LinkBroken() | LinkTimeout()) as failure):
                    failed_opens += 1
                    if failed_opens >= len(RESUME_PAUSES_S):
                        return _end_of_link(failure), has_passed
                case Ok(stream):
                    failed_opens = 0
                    before = check.next_index
                    is_done = yield from self._pass_on(stream, check, placement)
                    has_passed = has_passed or check.next_index > before
                    if is_done:
                        return _End.DONE, has_passed
                    if check.next_index > before:
                        quiet_since_s = time.monotonic()
            if time.monotonic() - quiet_since_s > self._quiet_limit_s():
                return _End.LOST, has_passed
            time.sleep(RESUME_PAUSES_S[failed_opens])
            opened = self._reopen(link, generation, check)

    def _quiet_limit_s(self) -> float:
        return 3 * self._limits.stream_idle_timeout_s

    def _reopen(
        self, link: EngineLink, generation: GenerationName, check: EventCheck
    ) -> Result[ReplyStream, OpenFailure]:
        check.start_connection()
        idle_s = self._limits.stream_idle_timeout_s
        return link.resume(generation.id, check.next_index, idle_s)

    def _pass_on(
        self, stream: ReplyStream, check: EventCheck, placement: Placement | None
    ) -> Generator[StreamPart, None, bool]:
        """Pass on what one connection brings; True when the generation is complete."""
        is_done = False
        try:
            report = report_of(stream)
            if placement and report:
                placement.saw_report(report)
            for buffer in stream.buffers():
                match buffer:
                    case Err(_):
                        return False
                    case Ok(data):
                        checked = check.take(data)
                if placement and checked.token_count:
                    placement.saw_tokens(checked.token_count)
                is_done = checked.is_done
                if checked.events:
                    yield Ok(replace(checked, is_broken=False) if checked.is_broken else checked)
                if is_done or checked.is_broken:
                    return is_done
            return False
        finally:
            if is_done:
                stream.release()
            else:
                stream.close()


def _end_of_link(failure: LinkFailure) -> _End:
    return _End.DIED if isinstance(failure, LinkBroken) else _End.LOST


def _outcome_of(end: _End | None) -> Outcome:
    match end:
        case None:
            return Outcome.CANCELLED
        case _End.DONE:
            return Outcome.FINISHED
        case _End.REFUSED:
            return Outcome.REFUSED
        case _End.LOST | _End.DIED:
            return Outcome.BROKEN


def _lost(generation: GenerationName) -> Failure:
    message = f"generation {generation.id} ended before its last token and cannot be resumed"
    return GenerationLost(message, ran=Ran.MAYBE, retry_after_s=RETRY_AFTER_S)


def _failed(end: _End) -> Failure:
    ran = Ran.NO if end is _End.REFUSED else Ran.MAYBE
    return UpstreamFailed("no upstream completed the request", ran, RETRY_AFTER_S)
