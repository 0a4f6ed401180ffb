"""Check that a stream brings each token of one generation once and in order."""

import re
from dataclasses import dataclass

import xxhash

__all__ = ["StreamCheck", "StreamCounts"]

EVENT_END = b"\n\n"
DONE = b"data: [DONE]"
TOKEN = re.compile(rb"id: ([^\n]+)/(\d+)\ndata: [^\n]*?t(\d+)\.([0-9a-f]{6}) ")
ERROR_TYPE = re.compile(rb'"error":\s*\{"type":\s*"([a-z_]+)"')


@dataclass
class StreamCounts:
    """Count the tokens that were wrong."""

    out_of_order: int = 0
    duplicate: int = 0
    foreign: int = 0


class StreamCheck:
    """Follow one answer's events, across resumed connections."""

    def __init__(self) -> None:
        self._pending = b""
        self._generation = b""
        self._mark = b""
        self.next_index = 0
        self.last_event_id = ""
        self.is_done = False
        self.error_type: str | None = None
        self.counts = StreamCounts()

    def start_connection(self) -> None:
        """Forget a partial event of a connection that was replaced."""
        self._pending = b""

    def take(self, buffer: bytes) -> int:
        """Take in bytes and give the number of new tokens among them."""
        data = self._pending + buffer
        whole, separator, self._pending = data.rpartition(EVENT_END)
        if not separator:
            return 0
        tokens = sum(self._take_event(event) for event in whole.split(EVENT_END))
        if self._generation:
            self.last_event_id = f"{self._generation.decode()}/{self.next_index - 1}"
        return tokens

    def _take_event(self, event: bytes) -> bool:
        token = TOKEN.match(event)
        if token is None:
            self._take_end(event)
            return False
        generation, index_text, text_index, mark = token.groups()
        if not self._generation:
            self._generation = generation
            self._mark = xxhash.xxh32_hexdigest(generation)[:6].encode()
        if generation != self._generation or mark != self._mark or index_text != text_index:
            self.counts.foreign += 1
            return False
        return self._take_index(int(index_text))

    def _take_index(self, index: int) -> bool:
        if index < self.next_index:
            self.counts.duplicate += 1
            return False
        if index > self.next_index:
            self.counts.out_of_order += 1
        self.next_index = index + 1
        return True

    def _take_end(self, event: bytes) -> None:
        if event.startswith(DONE):
            self.is_done = True
        elif error := ERROR_TYPE.search(event):
            self.error_type = error.group(1).decode()
