"""Forecast when the engines of a service will have room for generations of a given size.

Addresses the load that is at the engines now: own runs and those that other entries report.
"""

import heapq
import math
from collections import deque
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field

from gooseberryquay.ids import UpstreamId

__all__ = [
    "PROMPT_TOKENS_PER_S",
    "EngineReturns",
    "EngineRoom",
    "RoomForecast",
    "RunEnd",
    "spread_ends",
]

# Sizes that differ by less share one calculation.
SIZE_STEP_TOKENS = 128
# Bounds the calculation for runs whose length is not known.
RUN_MIN_S = 0.05
# Engines read prompts at about this speed, one after the other.
PROMPT_TOKENS_PER_S = 14_000.0
# So much reading is left to an engine that it doesn't idle until entries know that it has read it.
# What goes beyond waits at the entries, in the order of admission.
READ_AHEAD_S = 0.5
# More generations than wait at one entry.
PLACES_MAX = 4096
# Recent times from the loss of an engine to the arrival of another one.
RETURNS_KEPT = 16
# An engine that is missing for longer than this many usual times is not waited for.
RETURN_SPANS_MAX = 2.0


@dataclass(frozen=True, slots=True)
class RunEnd:
    """Expected end of a run, and the planned tokens that it frees."""

    in_s: float
    tokens: float


@dataclass(frozen=True, slots=True)
class EngineRoom:
    """Slots and tokens of one engine that runs have taken, and when these runs end.

    An engine that is not there yet, or has many prompts to read, has no room until `opens_in_s`.
    """

    upstream: UpstreamId
    slots: int
    memory_tokens: float
    taken_slots: int
    planned_tokens: float
    ends: Sequence[RunEnd] = ()
    opens_in_s: float = 0.0
    is_present: bool = True
    unread_tokens: float = 0.0

    def place_times_s(self, tokens: float) -> Iterator[float]:
        """Yield the seconds until each further place of a size is free."""
        slots, planned_tokens, places = self.taken_slots, self.planned_tokens, 0
        read_s = self.unread_tokens / PROMPT_TOKENS_PER_S - READ_AHEAD_S
        opens_in_s = max(self.opens_in_s, read_s)
        now = RunEnd(max(0.0, opens_in_s), 0.0)
        for end in [now, *sorted(self.ends, key=lambda each: each.in_s)]:
            if end is not now:
                slots -= 1
                planned_tokens -= end.tokens
            free_tokens = self.memory_tokens - max(0.0, planned_tokens)
            free = min(self.slots - max(0, slots), int(free_tokens / max(1.0, tokens)))
            for _ in range(max(0, free - places)):
                yield max(end.in_s, opens_in_s)
            places = max(places, free)


def spread_ends(count: int, tokens: float, mean_left_s: float) -> list[RunEnd]:
    """Return the ends of runs of which only sums are known, spread evenly around their mean."""
    return [
        RunEnd(2.0 * mean_left_s * (number + 0.5) / count, tokens / count)
        for number in range(count)
    ]


@dataclass
class _PlaceTimes:
    """Times of the next places of one size; each place is free again after a run."""

    heap: list[float]
    known: list[float] = field(default_factory=list)

    def of(self, count: int, run_s: float, read_s: float) -> float:
        while len(self.known) < min(count, PLACES_MAX) and self.heap:
            # Prompts are read one after the other, however much memory is free.
            at_s = max(self.heap[0], len(self.known) * read_s - READ_AHEAD_S)
            heapq.heapreplace(self.heap, at_s + max(RUN_MIN_S, run_s))
            self.known.append(at_s)
        return self.known[min(count, PLACES_MAX) - 1] if self.known else math.inf


class RoomForecast:
    """Answer when the next places on the engines of a service will be free."""

    def __init__(self, engines: Sequence[EngineRoom]) -> None:
        self._engines = engines
        self._times: dict[tuple[int, int], _PlaceTimes] = {}
        self._free: dict[int, int] = {}
        self._present = max(1, sum(each.is_present for each in engines))
        self._unread_tokens = {each.upstream: each.unread_tokens for each in engines}

    @property
    def is_half_free(self) -> bool:
        """Return whether under half of the slots are taken."""
        present = [each for each in self._engines if each.is_present]
        return 2 * sum(each.taken_slots for each in present) < sum(each.slots for each in present)

    def present_engines(self) -> list[UpstreamId]:
        """Return the engines that take new work."""
        return [each.upstream for each in self._engines if each.is_present]

    def closed_engines(self) -> list[UpstreamId]:
        """Return the present engines that have too many prompts to read for another one."""
        most_tokens = READ_AHEAD_S * PROMPT_TOKENS_PER_S
        return [each for each, tokens in self._unread_tokens.items() if tokens > most_tokens]

    def add_prompt(self, upstream: UpstreamId, tokens: int) -> None:
        """Count a prompt that was sent to an engine after the forecast was made."""
        self._unread_tokens[upstream] = self._unread_tokens.get(upstream, 0.0) + tokens

    def free_places(self, tokens: float) -> int:
        """Return how many generations of a size fit now."""
        size = _size_step(tokens)
        if size not in self._free:
            self._free[size] = sum(
                wait_s <= 0.0
                for engine in self._engines
                for wait_s in engine.place_times_s(size * SIZE_STEP_TOKENS)
            )
        return self._free[size]

    def wait_s(self, tokens: float, count: int, run_s: float) -> float:
        """Return the seconds until a place is free for the last of `count` generations of a size.

        Places that become free are taken in turn for `run_s` each; infinity without any engine.
        """
        key = (_size_step(tokens), round(max(RUN_MIN_S, run_s) / RUN_MIN_S))
        if key not in self._times:
            size = key[0] * SIZE_STEP_TOKENS
            heap = [at_s for each in self._engines for at_s in each.place_times_s(size)]
            heapq.heapify(heap)
            self._times[key] = _PlaceTimes(heap)
        read_s = tokens / PROMPT_TOKENS_PER_S / self._present
        return self._times[key].of(max(1, count), key[1] * RUN_MIN_S, read_s)

    def places_within(self, tokens: float, run_s: float, span_s: float) -> int:
        """Return how many generations of a size find a place within a time."""
        count = 0
        while count < PLACES_MAX and self.wait_s(tokens, count + 1, run_s) <= span_s:
            count += 1
        return count

    def never_fits(self, tokens: float) -> bool:
        """Return whether a generation of a size fits on no engine even without other runs."""
        return bool(self._engines) and not any(
            tokens <= each.memory_tokens and each.slots > 0 for each in self._engines
        )

    def first_engine(
        self, tokens: float, excluded: Iterable[UpstreamId]
    ) -> tuple[UpstreamId, float] | None:
        """Return the present engine that has room for a size first, and the seconds until then."""
        left_out = set(excluded)
        times = [
            (next(each.place_times_s(tokens), math.inf), each.upstream)
            for each in self._engines
            if each.is_present and each.upstream not in left_out
        ]
        wait_s, upstream = min(times, default=(math.inf, UpstreamId("")))
        return None if math.isinf(wait_s) else (upstream, wait_s)


def _size_step(tokens: float) -> int:
    return max(1, math.ceil(tokens / SIZE_STEP_TOKENS))


class EngineReturns:
    """Learn how long after the loss of an engine another one comes in its place."""

    def __init__(self) -> None:
        self._usable: frozenset[UpstreamId] | None = None
        self._lost_at_s: deque[float] = deque()
        self._spans_s: deque[float] = deque(maxlen=RETURNS_KEPT)

    def observe(self, usable: frozenset[UpstreamId], now_s: float) -> None:
        """Compare the engines that take new work with those of the last call."""
        known, self._usable = self._usable, usable
        if known is None:
            return
        self._lost_at_s.extend([now_s] * len(known - usable))
        for _ in range(min(len(usable - known), len(self._lost_at_s))):
            self._spans_s.append(now_s - self._lost_at_s.popleft())
        usual_s = self._usual_s()
        while self._lost_at_s and now_s - self._lost_at_s[0] > RETURN_SPANS_MAX * usual_s:
            self._lost_at_s.popleft()

    def expected_in_s(self, now_s: float) -> list[float]:
        """Return the seconds until each engine that is expected to come; none before one has."""
        if not self._spans_s:
            return []
        usual_s = self._usual_s()
        return [max(RUN_MIN_S, at_s + usual_s - now_s) for at_s in self._lost_at_s]

    def _usual_s(self) -> float:
        return sum(self._spans_s) / len(self._spans_s) if self._spans_s else math.inf
