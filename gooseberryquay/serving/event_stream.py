"""Split a byte stream of server-sent events into complete events."""

import re
from dataclasses import dataclass, field

__all__ = ["EventSplitter", "StreamEvent"]

BOUNDARY = re.compile(rb"\r?\n\r?\n")
# An incomplete event may end with all but the last byte of a boundary.
BOUNDARY_BYTES_MAX = 4
ID_LINE = re.compile(rb"(?m)^id: ?(.*?)\r?$")
# Far larger than an event that carries a few tokens.
EVENT_BYTES_MAX = 1024 * 1024


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """Represent one complete event as received, with its id if it has one."""

    raw: bytes
    id: str | None

    @property
    def number(self) -> int | None:
        """Return the id as a number, or None if it is not a decimal number."""
        if self.id is None or not self.id.isascii() or not self.id.isdigit():
            return None
        return int(self.id)


@dataclass
class EventSplitter:
    """Buffer bytes until they form complete events."""

    _pending: bytearray = field(default_factory=bytearray)

    def feed(self, content: bytes) -> list[StreamEvent]:
        """Append bytes and return the completed events.

        Raises ValueError if the incomplete event is longer than EVENT_BYTES_MAX.
        """
        search_from = max(0, len(self._pending) - BOUNDARY_BYTES_MAX)
        self._pending += content
        events = []
        start = 0
        # What was pending has no boundary before these bytes.
        for boundary in BOUNDARY.finditer(self._pending, search_from):
            raw = bytes(self._pending[start : boundary.end()])
            events.append(StreamEvent(raw, _id_of(raw)))
            start = boundary.end()
        del self._pending[:start]
        if len(self._pending) > EVENT_BYTES_MAX:
            raise ValueError("event exceeds the maximum size")
        return events

    def remainder(self) -> bytes:
        """Return the bytes after the last complete event."""
        return bytes(self._pending)


def _id_of(raw: bytes) -> str | None:
    found = ID_LINE.search(raw)
    return found.group(1).decode("latin-1") if found is not None else None
