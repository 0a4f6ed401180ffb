"""Where the events of a generation go: to the caller as they come, or into a whole answer."""

from typing import Protocol

from gooseberryquay.links.event_validator import CheckedEvents
from gooseberryquay.links.http_server import EVENT_STREAM_TYPE, StreamOpener
from gooseberryquay.links.request_log import RequestRecord
from gooseberryquay.links.streaming_gateway import BodyWriter
from gooseberryquay.links.whole_answer import WholeAnswer

__all__ = ["EventSink", "StreamSink", "WholeSink"]


class EventSink(Protocol):
    """Take the checked events of one generation; errors are `CallerGone`."""

    record: RequestRecord

    @property
    def raw_writer(self) -> BodyWriter | None:
        """Give what raw chunks may be written to, where that is possible by now."""

    def take(self, checked: CheckedEvents) -> None:
        """Take in whole events."""

    def restart(self) -> bool:
        """Forget all events so that another generation can begin; False where it is too late."""


class StreamSink:
    """Write events to the caller; the answer starts with the first of them."""

    def __init__(
        self, open_stream: StreamOpener, headers: dict[str, str], record: RequestRecord
    ) -> None:
        self._open_stream = open_stream
        self._headers = headers
        self._writer: BodyWriter | None = None
        self.record = record

    @property
    def raw_writer(self) -> BodyWriter | None:
        """Give the caller's writer once the answer has started and is chunked."""
        writer = self._writer
        return writer if writer is not None and writer.is_chunked else None

    @property
    def has_started(self) -> bool:
        """Tell whether the caller has got a part of the answer."""
        return self._writer is not None

    def take(self, checked: CheckedEvents) -> None:
        """Write events at once."""
        if checked.events:
            self.record.record_tokens(checked.token_count)
            self.write(checked.events)

    def write(self, content: bytes) -> None:
        """Write bytes, starting the answer if it has not started."""
        if self._writer is None:
            self._writer = self._open_stream(EVENT_STREAM_TYPE, self._headers)
        self._writer.write(content)

    def restart(self) -> bool:
        """Refuse once the caller has got a part of the answer."""
        return self._writer is None


class WholeSink:
    """Join events into a whole answer."""

    def __init__(self, is_chat: bool, record: RequestRecord) -> None:
        self.answer = WholeAnswer(is_chat)
        self.record = record

    @property
    def raw_writer(self) -> BodyWriter | None:
        """Give nothing: events are read one by one."""
        return None

    def take(self, checked: CheckedEvents) -> None:
        """Add events to the answer."""
        self.record.record_tokens(checked.token_count)
        self.answer.add(checked.events)

    def restart(self) -> bool:
        """Drop what was joined so far."""
        self.answer.clear()
        return True
