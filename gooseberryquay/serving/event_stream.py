"""Cut a stream of server-sent events into whole events."""

import re
from dataclasses import dataclass, field

__all__ = ["EventCutter", "StreamEvent"]

BOUNDARY = re.compile(rb"\r?\n\r?\n")
ID_LINE = re.compile(rb"(?m)^id: ?(.*?)\r?$")
# Far above any event of a few tokens.
EVENT_BYTES_MAX = 1024 * 1024


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """Hold one whole event as it came, with its id where it has one."""

    raw: bytes
    id: str | None

    @property
    def number(self) -> int | None:
        """Give the id as a number."""
        if self.id is None or not self.id.isascii() or not self.id.isdigit():
            return None
        return int(self.id)


@dataclass
class EventCutter:
    """Collect bytes until they hold whole events."""

    _pending: bytearray = field(default_factory=bytearray)

    def feed(self, content: bytes) -> list[StreamEvent]:
        """Take in bytes and give the events that are whole."""
        self._pending += content
        events = []
        start = 0
        for boundary in BOUNDARY.finditer(self._pending):
            raw = bytes(self._pending[start : boundary.end()])
            events.append(StreamEvent(raw, _id_of(raw)))
            start = boundary.end()
        del self._pending[:start]
        if len(self._pending) > EVENT_BYTES_MAX:
            raise ValueError("an event is too long")
        return events

    def rest(self) -> bytes:
        """Give the bytes after the last whole event."""
        return bytes(self._pending)


def _id_of(raw: bytes) -> str | None:
    found = ID_LINE.search(raw)
    return found.group(1).decode("latin-1") if found is not None else None
