"""Pass the events of one engine's stream on to the caller, whole and in order."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from result import Err, Ok, Result

from gooseberryquay.links.streaming_gateway import CallerDisconnected
from gooseberryquay.links.upstream_connection import BodyEnd, BodyPart, CallerLeft
from gooseberryquay.serving.active_generation import ActiveGeneration
from gooseberryquay.serving.event_stream import EventCutter, StreamEvent
from gooseberryquay.serving.ports import IndeterminateOutcome, OpenAnswer

__all__ = ["StreamEnd", "StreamProgress", "StreamRelay"]


class StreamEnd(Enum):
    """Say how one engine's part of a stream ended."""

    COMPLETE = "complete"
    BROKEN = "broken"
    CALLER_LEFT = "caller left"
    OUT_OF_ORDER = "out of order"
    TIMED_OUT = "timed out"


@dataclass
class StreamProgress:
    """Hold what has reached the caller of one generation."""

    is_started: bool = False
    last_id: str | None = None
    last_number: int | None = None
    first_at_s: float = 0.0
    last_at_s: float = 0.0
    longest_pause_s: float = 0.0

    def is_passed(self, event: StreamEvent) -> bool:
        """Tell whether the caller has an event already."""
        number = event.number
        return number is not None and self.last_number is not None and number <= self.last_number

    def is_next(self, event: StreamEvent) -> bool:
        """Tell whether no event is missing before this one."""
        number = event.number
        return number is None or self.last_number is None or number == self.last_number + 1

    def saw(self, event: StreamEvent) -> None:
        """Count an event that was passed on."""
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
    """Relay one answer of an engine; `reason` tells why it broke off."""

    active: ActiveGeneration
    progress: StreamProgress
    answer: OpenAnswer
    reason: str = ""
    # Called with the pause that the caller saw when another engine went on.
    on_resumed: Callable[[float], None] | None = None
    _cutter: EventCutter = field(default_factory=EventCutter)

    def run(self) -> StreamEnd:
        """Relay to the end of the answer and let go of its connection."""
        try:
            end = self._relay()
        except CallerDisconnected:
            end = StreamEnd.CALLER_LEFT
        except ValueError as error:
            self.reason = str(error)
            end = StreamEnd.BROKEN
        if end is StreamEnd.COMPLETE:
            self.answer.finish()
        else:
            self.answer.close()
        return end

    def _relay(self) -> StreamEnd:
        request = self.active.request
        end: StreamEnd | None = None
        while end is None:
            end = self._take(self.answer.read(request.caller, request.until_s))
        return end

    def _take(
        self, part: Result[BodyPart | BodyEnd, IndeterminateOutcome | CallerLeft]
    ) -> StreamEnd | None:
        match part:
            case Ok(BodyPart(content)):
                return self._pass_on(content)
            case Ok(BodyEnd()):
                return self._finish()
            case Err(IndeterminateOutcome(reason)):
                self.reason = reason
                is_late = time.monotonic() >= self.active.request.until_s
                return StreamEnd.TIMED_OUT if is_late else StreamEnd.BROKEN
            case _:
                return StreamEnd.CALLER_LEFT

    def _pass_on(self, content: bytes) -> StreamEnd | None:
        for event in self._cutter.feed(content):
            if self.progress.is_passed(event):
                continue
            if not self.progress.is_next(event):
                self.reason = f"event {event.id} after {self.progress.last_id}"
                return StreamEnd.OUT_OF_ORDER
            self._start()
            self._note_resumed()
            self.active.request.answer.write(event.raw)
            self.progress.saw(event)
            self.active.run.generated_tokens += self.active.tokens_per_event
        return None

    def _note_resumed(self) -> None:
        if self.on_resumed is not None:
            self.on_resumed(time.monotonic() - self.progress.last_at_s)
            self.on_resumed = None

    def _finish(self) -> StreamEnd:
        if self._cutter.rest():
            self.reason = "the stream ended within an event"
            return StreamEnd.BROKEN
        self._start()
        self.active.request.answer.end_stream()
        return StreamEnd.COMPLETE

    def _start(self) -> None:
        if not self.progress.is_started:
            self.active.request.answer.start_stream(self.answer.status, self.answer.headers)
            self.progress.is_started = True
