"""One generation of the engine stand-in: its tokens as ready bytes, and its readers."""

import time
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from queue import SimpleQueue

import xxhash

from gooseberryquay.ids import GenerationId
from gooseberryquay.standins.connection_break import ConnectionBreak
from gooseberryquay.standins.prefix_cache import CHARACTERS_PER_TOKEN
from gooseberryquay.standins.token_events import DONE_EVENT, EventShape

__all__ = [
    "Generation",
    "GenerationEnd",
    "GenerationReader",
    "GenerationRequest",
    "token_text",
]


class GenerationEnd(Enum):
    """Say how a generation ended."""

    FINISHED = "finished"
    CANCELLED = "cancelled"
    BROKEN = "broken"


def token_text(generation: GenerationId, index: int) -> str:
    """Give the text of a token, which names its index and its generation."""
    return f"t{index}.{xxhash.xxh32_hexdigest(generation.encode())[:6]} "


@dataclass(frozen=True)
class GenerationRequest:
    """Describe what a generation was asked for."""

    id: GenerationId
    prompt: str
    priority: int
    output_tokens: int
    shape: EventShape
    is_poison: bool = False


class Generation:
    """Collect the events of one generation and wake whoever reads them."""

    def __init__(self, request: GenerationRequest, now_s: float) -> None:
        self.request = request
        self.events: list[bytes] = []
        self.end: GenerationEnd | None = None
        self.idle_since_s: float | None = now_s
        self._readers: list[SimpleQueue[None]] = []
        self._text_mark = token_text(request.id, 0).removeprefix("t0")

    @property
    def id(self) -> GenerationId:
        """Give the generation's id."""
        return self.request.id

    @property
    def tokens(self) -> int:
        """Give the number of tokens decoded so far."""
        return len(self.events)

    def is_complete(self) -> bool:
        """Tell whether every token was decoded."""
        return len(self.events) >= self.request.output_tokens

    def text(self) -> str:
        """Give the text decoded so far."""
        return "".join(f"t{index}{self._text_mark}" for index in range(len(self.events)))

    def encode_whole(self) -> bytes:
        """Encode the whole answer for a request that did not ask for a stream."""
        prompt_tokens = len(self.request.prompt) // CHARACTERS_PER_TOKEN + 1
        return self.request.shape.encode_whole(self.text(), prompt_tokens, self.tokens)

    def add_token(self, shown_id: str) -> None:
        """Append the next token under an id, which a fault may have changed."""
        index = len(self.events)
        is_last = index + 1 >= self.request.output_tokens
        text = f"t{index}{self._text_mark}"
        self.events.append(self.request.shape.encode(shown_id, index, text, is_last))
        self._wake()

    def finish(self, end: GenerationEnd, now_s: float) -> None:
        """Mark the end and wake the readers."""
        if self.end is None:
            self.end = end
            self.idle_since_s = now_s
            self._wake()

    def reader(self, index: int) -> "GenerationReader":
        """Read events from an index on."""
        return GenerationReader(self, index)

    def attach(self, wakeups: "SimpleQueue[None]") -> None:
        """Add a reader."""
        self._readers.append(wakeups)
        if self.end is None:
            self.idle_since_s = None

    def detach(self, wakeups: "SimpleQueue[None]") -> None:
        """Remove a reader."""
        self._readers.remove(wakeups)
        if not self._readers:
            self.idle_since_s = time.monotonic()

    def _wake(self) -> None:
        for wakeups in self._readers:
            wakeups.put(None)


class GenerationReader(Iterator[bytes]):
    """Give the events of a generation as they come, joined where several are ready."""

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
        """Stop reading; the server calls this when the connection is lost, too."""
        if self._wakeups is not None:
            self._generation.detach(self._wakeups)
            self._wakeups = None

    def _wait(self) -> None:
        assert self._wakeups is not None
        self._wakeups.get()
