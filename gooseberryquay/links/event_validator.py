"""Validation that the events of a generation arrive complete, once and in order."""

from typing import NamedTuple

from gooseberryquay.ids import GenerationId

__all__ = ["EventValidator", "ValidatedEvents"]

EVENT_END = b"\n\n"
LINE_END = b"\r\n"
EVENT_END_BYTES = len(EVENT_END)
CHUNK_END_BYTES = len(LINE_END)
DONE_EVENT = b"data: [DONE]\n\n"
ID_FIELD = b"id: "
MAX_EVENT_BYTES = 1024 * 1024


class ValidatedEvents(NamedTuple):
    """Represent complete events that may be forwarded, and the state after the last one."""

    events: bytes
    token_count: int
    is_done: bool = False
    is_broken: bool = False


class EventValidator:
    """Validate one generation's events from a given index on, across resumed connections."""

    def __init__(self, generation: GenerationId, next_index: int = 0) -> None:
        self._prefix = ID_FIELD + generation.encode() + b"/"
        self._pending = b""
        self.next_index = next_index
        self._next_id = b"%s%d\n" % (self._prefix, next_index)

    def discard_partial_event(self) -> None:
        """Discard a partial event of a connection that was replaced."""
        self._pending = b""

    @property
    def is_at_boundary(self) -> bool:
        """Return whether the next byte starts an event."""
        return not self._pending

    def accept_single_event(self, raw: bytes) -> bool:
        """Accept a raw chunk that consists of exactly the next event; return whether it does.

        Valid only at a boundary of both events and chunks.
        """
        start = raw.find(b"\n") + 1
        end = len(raw) - CHUNK_END_BYTES
        if (
            raw.startswith(self._next_id, start)
            and raw.find(EVENT_END, start) == end - EVENT_END_BYTES
            and raw.endswith(LINE_END)
            and _read_hex(raw[:start]) == end - start
        ):
            self.next_index = index = self.next_index + 1
            self._next_id = b"%s%d\n" % (self._prefix, index)
            return True
        return False

    def consume(self, buffer: bytes) -> ValidatedEvents:
        """Consume received bytes and return the complete events among them.

        Events that the caller already has are dropped. An event of another generation, or one
        that skips an index, marks the connection as broken; nothing after it is passed on.
        """
        data = self._pending + buffer if self._pending else buffer
        accepted: list[bytes] = []
        first_index = self.next_index
        start = run_start = 0
        while (end := data.find(EVENT_END, start)) >= 0:
            end += len(EVENT_END)
            if data.startswith(self._next_id, start):
                self.next_index += 1
                self._next_id = b"%s%d\n" % (self._prefix, self.next_index)
                start = end
                continue
            accepted.append(data[run_start:start])
            event = data[start:end]
            start = run_start = end
            if event == DONE_EVENT:
                self._pending = b""
                accepted.append(event)
                return self._validated(accepted, first_index, is_done=True)
            if not self._is_ignorable(event):
                self._pending = b""
                return self._validated(accepted, first_index, is_broken=True)
        accepted.append(data[run_start:start])
        self._pending = data[start:]
        is_too_long = len(self._pending) > MAX_EVENT_BYTES
        return self._validated(accepted, first_index, is_broken=is_too_long)

    def _validated(
        self,
        accepted: list[bytes],
        first_index: int,
        is_done: bool = False,
        is_broken: bool = False,
    ) -> ValidatedEvents:
        return ValidatedEvents(
            b"".join(accepted), self.next_index - first_index, is_done, is_broken
        )

    def _is_ignorable(self, event: bytes) -> bool:
        if event.startswith(b":"):
            return True
        if not event.startswith(self._prefix):
            return False
        index = event[len(self._prefix) : event.find(b"\n")]
        return index.isdigit() and int(index) < self.next_index


def _read_hex(line: bytes) -> int:
    try:
        return int(line, 16)
    except ValueError:
        return -1
