"""Relay the events of an engine's stream to the caller, complete and in order."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from result import Err, Ok, Result

from gooseberryquay.ids import SoftwareVersion
from gooseberryquay.links.streaming_gateway import CallerDisconnected
from gooseberryquay.links.upstream_connection import BodyEnd, BodyPart, CallerLeft
from gooseberryquay.serving.active_generation import ActiveGeneration
from gooseberryquay.serving.event_stream import EventSplitter, StreamEvent
from gooseberryquay.serving.ports import IndeterminateOutcome, OpenResponse

__all__ = ["StreamEnd", "StreamProgress", "StreamRelay", "PinnedVersion"]

# The events of so many bytes are forwarded at once.
SLICE_BYTES = 4096
# Leaves time to ask again and to resume before callers abandon the stream.
STOP_ANSWER_TIMEOUT_S = 1.0


class StreamEnd(Enum):
    """Classify how one engine's part of a stream ended."""

    COMPLETE = "complete"
    BROKEN = "broken"
    CALLER_LEFT = "caller left"
    OUT_OF_ORDER = "out of order"
    TIMED_OUT = "timed out"
    # Not begun, as its software version could be recorded nowhere.
    UNRECORDED = "unrecorded"


@dataclass(frozen=True, slots=True)
class PinnedVersion:
    """Software version at which alone a stream may go on; None if its engines state none."""

    version: SoftwareVersion | None


@dataclass
class StreamProgress:
    """Track the events sent to the caller of one generation."""

    is_started: bool = False
    last_id: str | None = None
    last_number: int | None = None
    first_at_s: float = 0.0
    last_at_s: float = 0.0
    longest_pause_s: float = 0.0
    # Set with the stream's first event, or before it if the caller takes the stream up again.
    pinned: PinnedVersion | None = None

    def is_duplicate(self, event: StreamEvent) -> bool:
        """Return whether an event was already sent to the caller."""
        number = event.number
        return number is not None and self.last_number is not None and number <= self.last_number

    def is_next(self, event: StreamEvent) -> bool:
        """Return whether no event is missing before this one."""
        number = event.number
        return number is None or self.last_number is None or number == self.last_number + 1

    def record_event(self, event: StreamEvent) -> None:
        """Record an event that was sent to the caller."""
        now_s = time.monotonic()
        if self.first_at_s:
            self.longest_pause_s = max(self.longest_pause_s, now_s - self.last_at_s)
        else:
            self.first_at_s = now_s
        self.last_at_s = now_s
        if event.id is not None:
            self.last_id = event.id
        if event.number is not None:
            self.last_number = event.number


@dataclass
class StreamRelay:
    """Relay one response of an engine; `reason` explains an abnormal end."""

    active: ActiveGeneration
    progress: StreamProgress
    response: OpenResponse
    reason: str = ""
    event_count: int = 0
    # Called with the pause in seconds between events when another engine resumes the stream.
    on_resumed: Callable[[float], None] | None = None
    # Called once the engine has written `good_run_events` events.
    on_good_run: Callable[[], None] = lambda: None
    good_run_events: int = 0
    # Software of the engine as it was when the request was sent.
    version: SoftwareVersion | None = None
    # Called before the first event; the stream begins only if it returns True.
    on_begun: Callable[[], bool] = lambda: True
    # Called with the seconds from one event to the next, and with those to the first event.
    on_event: Callable[[float], None] = lambda _event_s: None
    on_first_event: Callable[[], None] = lambda: None
    # Whether the engine still serves after it has closed the stream, as far as is known.
    is_engine_up: Callable[[], bool] = lambda: True
    # How the end of the response was delimited, once it was read.
    body_end: BodyEnd | None = None
    _splitter: EventSplitter = field(default_factory=EventSplitter)
    _events_at_s: float | None = None

    def run(self) -> StreamEnd:
        """Relay to the end of the response and release its connection."""
        self.active.set_break_off(self._break_off)
        try:
            end = self._relay()
        except CallerDisconnected:
            end = StreamEnd.CALLER_LEFT
        except ValueError as error:
            self.reason = str(error)
            end = StreamEnd.BROKEN
        self.active.set_break_off(None)
        if end is StreamEnd.COMPLETE:
            self.response.finish()
        else:
            self.response.close()
        return end

    def _break_off(self) -> None:
        self.response.break_off()

    def _relay(self) -> StreamEnd:
        request = self.active.request
        end: StreamEnd | None = None
        while end is None:
            end = self._handle_part(self.response.read(request.caller, request.until_s))
        return end

    def _handle_part(
        self, part: Result[BodyPart | BodyEnd, IndeterminateOutcome | CallerLeft]
    ) -> StreamEnd | None:
        match part:
            case Ok(BodyPart(content)):
                return self._forward_events(content)
            case Ok(BodyEnd() as body_end):
                self.body_end = body_end
                return self._finish(body_end)
            case Err(IndeterminateOutcome(reason, is_timeout)):
                self.reason = reason
                is_late = is_timeout or time.monotonic() >= self.active.request.until_s
                return StreamEnd.TIMED_OUT if is_late else StreamEnd.BROKEN
            case _:
                return StreamEnd.CALLER_LEFT

    def _forward_events(self, content: bytes) -> StreamEnd | None:
        """Forward the events that a part of the body completes, those of a slice in one write."""
        request = self.active.request
        for start in range(0, len(content), SLICE_BYTES):
            events = self._splitter.feed(content[start : start + SLICE_BYTES])
            forwarded: list[bytes] = []
            end: StreamEnd | None = None
            for event in events:
                end = self._accept(event, forwarded)
                if end is not None:
                    break
            if forwarded:
                request.response_writer.write(b"".join(forwarded))
                self._report_pace(len(forwarded))
            if end is not None:
                return end
            self.response.spend(len(events), request.caller, request.until_s)
        return None

    def _accept(self, event: StreamEvent, forwarded: list[bytes]) -> StreamEnd | None:
        """Append an event to those to forward, unless the caller has it."""
        if event.id is None:
            # Bytes that are no answer; another engine may send a whole one.
            self.reason = "an event without an id"
            return StreamEnd.BROKEN
        self.event_count += 1
        if self.event_count == self.good_run_events:
            self.on_good_run()
        if self.progress.is_duplicate(event):
            return None
        if not self.progress.is_next(event):
            self.reason = f"event {event.id} after {self.progress.last_id}"
            return StreamEnd.OUT_OF_ORDER
        if not self._start():
            return StreamEnd.UNRECORDED
        self._report_resumed()
        forwarded.append(event.raw)
        self.progress.record_event(event)
        self.active.run.generated_tokens += self.active.tokens_per_event
        self.active.record_event(self.progress.last_at_s)
        return None

    def _report_pace(self, count: int) -> None:
        """Report the mean time of events that arrived together."""
        now_s = time.monotonic()
        if self._events_at_s is None:
            self.on_first_event()
        else:
            self.on_event((now_s - self._events_at_s) / count)
        self._events_at_s = now_s

    def _report_resumed(self) -> None:
        if self.on_resumed is not None:
            self.on_resumed(time.monotonic() - self.progress.last_at_s)
            self.on_resumed = None

    def _finish(self, body_end: BodyEnd) -> StreamEnd:
        if self._splitter.remainder():
            self.reason = "stream ended within an event"
            return StreamEnd.BROKEN
        if body_end is BodyEnd.CLOSED:
            if self.active.is_resent:
                self.reason = "stream broken off to begin anew"
                return StreamEnd.BROKEN
            if not self._has_ended_by_itself():
                self.reason = "stream closed after an order to stop its run"
                return StreamEnd.BROKEN
            if not self.is_engine_up():
                self.reason = "stream closed as its engine exited"
                return StreamEnd.BROKEN
        if not self._start():
            return StreamEnd.UNRECORDED
        self.active.request.response_writer.end_stream()
        return StreamEnd.COMPLETE

    def _has_ended_by_itself(self) -> bool:
        left_s = self.active.request.until_s - time.monotonic()
        return self.active.has_ended_by_itself(min(STOP_ANSWER_TIMEOUT_S, max(0.0, left_s)))

    def _start(self) -> bool:
        """Begin the response unless that has been done; return False if it may not begin."""
        if self.progress.is_started:
            return True
        if self.progress.pinned is None:
            if not self.on_begun():
                return False
            self.progress.pinned = PinnedVersion(self.version)
        self.active.request.response_writer.start_stream(
            self.response.status, self.response.headers
        )
        self.progress.is_started = True
        return True
