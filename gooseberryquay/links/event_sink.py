"""Sinks for generation events: streamed to the caller or joined into one response."""

from typing import Protocol

from gooseberryquay.links.event_validator import ValidatedEvents
from gooseberryquay.links.http_server import EVENT_STREAM_TYPE, StreamOpener
from gooseberryquay.links.request_log import RequestRecord
from gooseberryquay.links.streaming_gateway import BodyWriter
from gooseberryquay.links.whole_answer import WholeAnswer

__all__ = ["BufferingSink", "EventSink", "StreamSink"]


class EventSink(Protocol):
    """Accept the validated events of one generation; raises `CallerDisconnected`."""

    record: RequestRecord

    @property
    def raw_writer(self) -> BodyWriter | None:
        """Return a writer for raw chunks, or None if the sink takes none yet."""

    def accept(self, validated: ValidatedEvents) -> None:
        """Accept complete events."""

    def restart(self) -> bool:
        """Discard all events so that a new generation can start; return False if it is too late."""


class StreamSink:
    """Stream events to the caller; the response starts with the first of them."""

    def __init__(
        self, open_stream: StreamOpener, headers: dict[str, str], record: RequestRecord
    ) -> None:
        self._open_stream = open_stream
        self._headers = headers
        self._writer: BodyWriter | None = None
        self.record = record

    @property
    def raw_writer(self) -> BodyWriter | None:
        """Return the caller's writer once the response has started and is chunked."""
        writer = self._writer
        return writer if writer is not None and writer.is_chunked else None

    @property
    def has_started(self) -> bool:
        """Return whether part of the response was sent to the caller."""
        return self._writer is not None

    def accept(self, validated: ValidatedEvents) -> None:
        """Write events without buffering."""
        if validated.events:
            self.record.record_tokens(validated.token_count)
            self.write(validated.events)

    def write(self, content: bytes) -> None:
        """Write bytes, starting the response if necessary."""
        if self._writer is None:
            self._writer = self._open_stream(EVENT_STREAM_TYPE, self._headers)
        self._writer.write(content)

    def restart(self) -> bool:
        """Return whether no part of the response was sent yet."""
        return self._writer is None


class BufferingSink:
    """Join events into one complete response."""

    def __init__(self, is_chat: bool, record: RequestRecord) -> None:
        self.response = WholeAnswer(is_chat)
        self.record = record

    @property
    def raw_writer(self) -> BodyWriter | None:
        """Return None: every event has to be parsed."""
        return None

    def accept(self, validated: ValidatedEvents) -> None:
        """Add events to the response."""
        self.record.record_tokens(validated.token_count)
        self.response.add(validated.events)

    def restart(self) -> bool:
        """Discard all events received so far."""
        self.response.clear()
        return True
