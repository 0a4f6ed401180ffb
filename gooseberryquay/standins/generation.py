"""One generation of the engine stand-in: its encoded token events and its readers."""

import time
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from queue import SimpleQueue

import xxhash

from gooseberryquay.ids import GenerationId
from gooseberryquay.standins.connection_break import ConnectionBreak
from gooseberryquay.standins.prefix_cache import CHARACTERS_PER_TOKEN
from gooseberryquay.standins.token_events import DONE_EVENT, EventEncoder

__all__ = [
    "Generation",
    "GenerationEnd",
    "GenerationReader",
    "GenerationRequest",
    "token_text",
]


class GenerationEnd(Enum):
    """Reason for the end of a generation."""

    FINISHED = "finished"
    CANCELLED = "cancelled"
    BROKEN = "broken"


def token_text(generation: GenerationId, index: int) -> str:
    """Return the text of a token, which identifies its index and its generation."""
    return f"t{index}.{xxhash.xxh32_hexdigest(generation.encode())[:6]} "


@dataclass(frozen=True)
class GenerationRequest:
    """Parameters of a generation."""

    id: GenerationId
    prompt: str
    priority: int
    output_tokens: int
    encoder: EventEncoder
    is_poison: bool = False


class Generation:
    """Collect the events of one generation and wake its readers."""

    def __init__(self, request: GenerationRequest, now_s: float) -> None:
        self.request = request
        self.events: list[bytes] = []
        self.end: GenerationEnd | None = None
        self.idle_since_s: float | None = now_s
        self._readers: list[SimpleQueue[None]] = []
        self._text_suffix = token_text(request.id, 0).removeprefix("t0")

    @property
    def id(self) -> GenerationId:
        """Return the id of the generation."""
        return self.request.id

    @property
    def tokens(self) -> int:
        """Return the number of tokens decoded so far."""
        return len(self.events)

    def is_complete(self) -> bool:
        """Return whether every token was decoded."""
        return len(self.events) >= self.request.output_tokens

    def text(self) -> str:
        """Return the text decoded so far."""
        return "".join(f"t{index}{self._text_suffix}" for index in range(len(self.events)))

    def encode_response(self) -> bytes:
        """Encode the complete response to a request without a stream."""
        prompt_tokens = len(self.request.prompt) // CHARACTERS_PER_TOKEN + 1
        return self.request.encoder.encode_response(self.text(), prompt_tokens, self.tokens)

    def add_token(self, event_id: str) -> None:
        """Append the next token with an event id, which a fault may have changed."""
        index = len(self.events)
        is_last = index + 1 >= self.request.output_tokens
        text = f"t{index}{self._text_suffix}"
        self.events.append(self.request.encoder.encode(event_id, index, text, is_last))
        self._wake()

    def finish(self, end: GenerationEnd, now_s: float) -> None:
        """Record the end, unless already ended, and wake the readers."""
        if self.end is None:
            self.end = end
            self.idle_since_s = now_s
            self._wake()

    def reader(self, index: int) -> "GenerationReader":
        """Return a reader of the events from an index on."""
        return GenerationReader(self, index)

    def attach(self, wakeups: "SimpleQueue[None]") -> None:
        """Register a reader's wake-up queue."""
        self._readers.append(wakeups)
        if self.end is None:
            self.idle_since_s = None

    def detach(self, wakeups: "SimpleQueue[None]") -> None:
        """Unregister a reader's wake-up queue."""
        self._readers.remove(wakeups)
        if not self._readers:
            self.idle_since_s = time.monotonic()

    def _wake(self) -> None:
        for wakeups in self._readers:
            wakeups.put(None)


class GenerationReader(Iterator[bytes]):
    """Iterate over the events of a generation, joining those that are ready together."""

    def __init__(self, generation: Generation, index: int) -> None:
        self._generation = generation
        self._index = index
        self._is_done = False
        self._wakeups: SimpleQueue[None] | None = SimpleQueue()
        generation.attach(self._wakeups)

    def __next__(self) -> bytes:
        while not self._is_done:
            end = self._generation.end
            ready = self._generation.events[self._index :]
            self._index += len(ready)
            if end is GenerationEnd.FINISHED:
                self._is_done = True
                return b"".join(ready) + DONE_EVENT
            if ready:
                return b"".join(ready)
            if end is not None:
                raise ConnectionBreak
            self._wait()
        raise StopIteration

    def close(self) -> None:
        """Stop reading; the server also calls this when the connection is lost."""
        if self._wakeups is not None:
            self._generation.detach(self._wakeups)
            self._wakeups = None

    def _wait(self) -> None:
        assert self._wakeups is not None
        self._wakeups.get()
