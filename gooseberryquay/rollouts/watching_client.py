"""Send requests within the bounds of a roll-out, and count what upstreams answer."""

import time
from collections.abc import Callable, Sequence

from result import Err, Ok, Result

from gooseberryquay.contracts.fields import Address
from gooseberryquay.ids import RequestId
from gooseberryquay.links.caller_watch import CallerWatch
from gooseberryquay.links.upstream_connection import BodyEnd, BodyPart, CallerLeft
from gooseberryquay.rollouts.book import RolloutBook
from gooseberryquay.rollouts.service_state import SentRequest
from gooseberryquay.serving.call import Call, HeaderPair
from gooseberryquay.serving.ports import (
    CopyHandle,
    IndeterminateOutcome,
    ListeningState,
    LoadHint,
    MovedCopy,
    MoveFailure,
    NotExecuted,
    OpenResponse,
    SendOptions,
    UpstreamClient,
)
from gooseberryquay.serving.upstream_record import UpstreamRecord
from gooseberryquay.serving.upstream_registry import UpstreamRegistry

__all__ = ["WatchingClient"]

SERVER_ERROR = 500
# The pace of fewer parts is mostly that of the link.
PACED_PARTS_MIN = 8
NOT_SENT = "the version gets no more requests now"


class _AnswerWatch:
    """Record one answer, once in each respect."""

    def __init__(self, book: RolloutBook, sent: SentRequest, is_expected_to_end: bool) -> None:
        self._book = book
        self._sent = sent
        self._is_timed = is_expected_to_end
        self._first_at_s: float | None = None
        self._last_at_s = 0.0
        self._part_count = 0
        self._is_over = False

    def part(self) -> None:
        """Record that a part of the answer was read."""
        now_s = time.monotonic()
        self._last_at_s = now_s
        self._part_count += 1
        if self._first_at_s is None:
            self._first_at_s = now_s
            if self._is_timed:
                self._book.record_first(self._sent)

    def end(self) -> None:
        """Record that the answer is complete."""
        if self._is_over:
            return
        if self._first_at_s is None:
            self.part()
        self._record_pace()
        self._is_over = True
        self._book.record_end(self._sent)

    def fail(self, is_loss: bool) -> None:
        """Record that the answer failed."""
        if not self._is_over:
            self._is_over = True
            was_answered = self._is_timed and self._first_at_s is not None
            self._book.record_failure(self._sent, is_loss, was_answered)

    def ignore(self) -> None:
        """Record nothing more, e.g. because the caller or the upstream has left."""
        if not self._is_over:
            self._record_pace()
            self._is_over = True

    def _record_pace(self) -> None:
        if self._part_count >= PACED_PARTS_MIN and self._first_at_s is not None and self._is_timed:
            interval_s = (self._last_at_s - self._first_at_s) / (self._part_count - 1)
            self._book.record_pace(self._sent, interval_s)


class _WatchedResponse:
    """Pass a response on and record how it goes on."""

    def __init__(
        self, response: OpenResponse, watch: _AnswerWatch, is_leaving: Callable[[], bool]
    ) -> None:
        self._response = response
        self._watch = watch
        self._is_upstream_leaving = is_leaving
        self._is_ignored = False
        self.status: int = response.status
        self.headers: Sequence[HeaderPair] = response.headers
        self.is_not_run: bool = response.is_not_run
        self.is_other_instance: bool = response.is_other_instance
        self.load: LoadHint | None = response.load
        self.is_leaving: bool = response.is_leaving
        self.pause_s: float | None = response.pause_s
        self.rate_limit_per_s: float | None = response.rate_limit_per_s
        self.turn_aways_per_s: float | None = response.turn_aways_per_s

    def observe_reads(self, on_read: Callable[[], None]) -> None:
        """Call `on_read` with each part that is read from now on."""
        self._response.observe_reads(on_read)

    def read(
        self, caller: CallerWatch, until_s: float
    ) -> Result[BodyPart | BodyEnd, IndeterminateOutcome | CallerLeft]:
        """Wait for the next part of the body."""
        part = self._response.read(caller, until_s)
        match part:
            case Ok(BodyPart()):
                self._watch.part()
            case Err(CallerLeft()):
                self._watch.ignore()
            case _:
                pass
        return part

    def spend(self, pieces: int, caller: CallerWatch, until_s: float) -> None:
        """Account for pieces of the body."""
        self._response.spend(pieces, caller, until_s)

    def close(self) -> None:
        """Close the connection; an answer that has not ended by then has failed."""
        if self._is_upstream_leaving():
            self._watch.ignore()
        else:
            self._watch.fail(is_loss=True)
        self._response.close()

    def break_off(self) -> None:
        """End the read that another thread waits in, which says nothing about the version."""
        self._watch.ignore()
        self._response.break_off()

    def finish(self) -> None:
        """Return the connection to the pool after the complete body was read."""
        self._watch.end()
        self._response.finish()


class WatchingClient:
    """Gate each send, whether of a new request, a retry or a stream that goes on."""

    def __init__(
        self, client: UpstreamClient, book: RolloutBook, registry: UpstreamRegistry
    ) -> None:
        self._client = client
        self._book = book
        self._registry = registry

    def open(
        self, upstream: UpstreamRecord, call: Call, options: SendOptions, caller: CallerWatch
    ) -> Result[OpenResponse, NotExecuted | IndeterminateOutcome | CallerLeft]:
        """Send a request and wait for the response headers."""
        is_continuation = options.continuation is not None
        sent = self._book.begin(upstream, str(call.id), options.route, is_continuation)
        if sent is None:
            return Err(NotExecuted(NOT_SENT))
        # The times of a cold engine, and of a stream that goes on, say nothing of the version.
        is_timed = not is_continuation and not self._is_cold(upstream)
        watch = _AnswerWatch(self._book, sent, is_timed)
        opened = self._client.open(upstream, call, options, caller)
        match opened:
            case Ok(response):
                return Ok(self._watched(upstream, response, watch))
            case Err(NotExecuted(has_arrived=has_arrived)):
                if not has_arrived:
                    self._book.not_sent(sent)
                watch.ignore()
            case Err(IndeterminateOutcome()) if not self._is_leaving(upstream):
                watch.fail(is_loss=True)
            case _:
                watch.ignore()
        return opened

    def _watched(
        self, upstream: UpstreamRecord, response: OpenResponse, watch: _AnswerWatch
    ) -> OpenResponse:
        if response.is_not_run or response.is_other_instance:
            watch.ignore()
        elif response.status >= SERVER_ERROR:
            watch.fail(is_loss=False)
        return _WatchedResponse(
            response, watch, lambda: response.is_leaving or self._is_leaving(upstream)
        )

    def _is_leaving(self, upstream: UpstreamRecord) -> bool:
        known = self._registry.find(upstream.id)
        if known is None or known.record.born_ms != upstream.born_ms:
            return True
        return known.is_leaving or known.is_missing

    def _is_cold(self, upstream: UpstreamRecord) -> bool:
        known = self._registry.find(upstream.id)
        return known is not None and known.cold_until_s > time.monotonic()

    def move(
        self, source: UpstreamRecord, id: RequestId, target: Address, is_final: bool, until_s: float
    ) -> Result[MovedCopy, MoveFailure]:
        """Copy a generation's KV cache to another engine, and stop the run if `is_final`."""
        return self._client.move(source, id, target, is_final, until_s)

    def is_leaving(self, upstream: UpstreamRecord, until_s: float) -> bool | None:
        """Query whether an engine is leaving; None if that incarnation does not respond."""
        return self._client.is_leaving(upstream, until_s)

    def listening_state(self, upstream: UpstreamRecord, until_s: float) -> ListeningState:
        """Open a connection to classify the address, and close it."""
        return self._client.listening_state(upstream, until_s)

    def free_copy(self, holder: Address, handle: CopyHandle) -> None:
        """Free a copy that is not needed."""
        self._client.free_copy(holder, handle)
