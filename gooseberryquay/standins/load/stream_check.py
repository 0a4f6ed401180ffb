"""Check that a stream contains each token of one generation once and in order."""

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
    """Counts of invalid tokens; foreign ones belong to another generation."""

    out_of_order: int = 0
    duplicate: int = 0
    foreign: int = 0


class StreamCheck:
    """Validate the events of one generation, across resumed connections."""

    def __init__(self) -> None:
        self._pending = b""
        self._generation = b""
        self._checksum = b""
        self.next_index = 0
        self.last_event_id = ""
        self.is_done = False
        self.error_type: str | None = None
        self.counts = StreamCounts()

    def start_connection(self) -> None:
        """Discard a partial event of the previous connection."""
        self._pending = b""

    def feed(self, buffer: bytes) -> int:
        """Process received bytes and return the number of new tokens in them."""
        data = self._pending + buffer
        complete, separator, self._pending = data.rpartition(EVENT_END)
        if not separator:
            return 0
        tokens = sum(self._process_event(event) for event in complete.split(EVENT_END))
        if self._generation:
            self.last_event_id = f"{self._generation.decode()}/{self.next_index - 1}"
        return tokens

    def _process_event(self, event: bytes) -> bool:
        token = TOKEN.match(event)
        if token is None:
            self._process_end(event)
            return False
        generation, index_text, text_index, checksum = token.groups()
        if not self._generation:
            self._generation = generation
            self._checksum = xxhash.xxh32_hexdigest(generation)[:6].encode()
        if generation != self._generation or checksum != self._checksum or index_text != text_index:
            self.counts.foreign += 1
            return False
        return self._process_index(int(index_text))

    def _process_index(self, index: int) -> bool:
        if index < self.next_index:
            self.counts.duplicate += 1
            return False
        if index > self.next_index:
            self.counts.out_of_order += 1
        self.next_index = index + 1
        return True

    def _process_end(self, event: bytes) -> None:
        if event.startswith(DONE):
            self.is_done = True
        elif error := ERROR_TYPE.search(event):
            self.error_type = error.group(1).decode()
