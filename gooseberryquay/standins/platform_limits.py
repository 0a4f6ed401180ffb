"""Rate limits and call counts of the platform stand-in."""

import math
import threading
import time
from collections import Counter
from dataclasses import dataclass
from enum import Enum

from gooseberryquay.contracts.fields import FrozenModel

__all__ = [
    "CallCount",
    "CallCounter",
    "CallKind",
    "PlatformCounts",
    "PlatformLimits",
    "RateLimit",
    "retry_after_header",
]

BURST_S = 1.0


class CallKind(Enum):
    """Kinds of calls that the platform counts separately."""

    READ = "read"
    LIST = "list"
    WATCH = "watch"
    WRITE = "write"
    DELETE = "delete"
    INSTANCE_READ = "instance_read"
    INSTANCE_WRITE = "instance_write"
    WEIGHT_READ = "weight_read"

    def is_write(self) -> bool:
        """Return whether the call counts towards the write rate."""
        return self in (CallKind.WRITE, CallKind.DELETE, CallKind.INSTANCE_WRITE)


@dataclass(frozen=True)
class PlatformLimits:
    """Rate limits of the platform, the lag of its instance list and the size of its weights.

    A rate of 0 means no limit.
    """

    writes_per_s: float = 400.0
    reads_per_s: float = 2000.0
    list_lag_s: float = 0.0
    weight_bytes_per_s: float = 0.0
    weight_bytes: int = 64 * 1024 * 1024


class RateLimit:
    """Token bucket with a capacity of `BURST_S` seconds at the average rate."""

    def __init__(self, rate_per_s: float) -> None:
        self._rate_per_s = rate_per_s
        self._lock = threading.Lock()
        self._available = rate_per_s * BURST_S
        self._updated_at_s = time.monotonic()

    def take(self, amount: float = 1.0) -> float:
        """Consume an amount and return 0, or return the seconds until it may be available."""
        if self._rate_per_s <= 0:
            return 0.0
        with self._lock:
            now_s = time.monotonic()
            gained = (now_s - self._updated_at_s) * self._rate_per_s
            self._available = min(self._available + gained, self._rate_per_s * BURST_S)
            self._updated_at_s = now_s
            if self._available >= min(amount, self._rate_per_s * BURST_S):
                self._available -= amount
                return 0.0
            return max(amount - self._available, 0.0) / self._rate_per_s


class CallCount(FrozenModel):
    """Counts of calls of one kind whose keys share the first segment, `prefix`."""

    kind: CallKind
    prefix: str
    calls: int
    refused: int
    request_bytes: int
    response_bytes: int


class PlatformCounts(FrozenModel):
    """All counts since the start; bytes are those of bodies."""

    counts: tuple[CallCount, ...] = ()

    def calls(self, kind: CallKind | None = None, prefix: str | None = None) -> int:
        """Sum the calls of a kind, of a key prefix, or of both."""
        return sum(each.calls for each in self._matching(kind, prefix))

    def body_bytes(self, kind: CallKind | None = None, prefix: str | None = None) -> int:
        """Sum the bytes of request and response bodies."""
        found = self._matching(kind, prefix)
        return sum(each.request_bytes + each.response_bytes for each in found)

    def _matching(self, kind: CallKind | None, prefix: str | None) -> tuple[CallCount, ...]:
        return tuple(
            each
            for each in self.counts
            if kind in (None, each.kind) and prefix in (None, each.prefix)
        )


class CallCounter:
    """Count calls by kind and key prefix; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._calls: Counter[tuple[CallKind, str]] = Counter()
        self._refused: Counter[tuple[CallKind, str]] = Counter()
        self._request_bytes: Counter[tuple[CallKind, str]] = Counter()
        self._response_bytes: Counter[tuple[CallKind, str]] = Counter()

    def begin(self, kind: CallKind, key: str, request_bytes: int) -> None:
        """Count a call as it arrives."""
        slot = (kind, key.partition("/")[0])
        with self._lock:
            self._calls[slot] += 1
            self._request_bytes[slot] += request_bytes

    def end(self, kind: CallKind, key: str, response_bytes: int, is_refused: bool) -> None:
        """Count the response to a call."""
        slot = (kind, key.partition("/")[0])
        with self._lock:
            self._response_bytes[slot] += response_bytes
            self._refused[slot] += is_refused

    def counts(self) -> PlatformCounts:
        """Return all counts so far."""
        with self._lock:
            return PlatformCounts(counts=tuple(self._count_of(slot) for slot in self._calls))

    def _count_of(self, slot: tuple[CallKind, str]) -> CallCount:
        return CallCount(
            kind=slot[0],
            prefix=slot[1],
            calls=self._calls[slot],
            refused=self._refused[slot],
            request_bytes=self._request_bytes[slot],
            response_bytes=self._response_bytes[slot],
        )


def retry_after_header(wait_s: float) -> dict[str, str]:
    """Return a Retry-After header with the wait rounded up to whole seconds."""
    return {"Retry-After": str(max(1, math.ceil(wait_s)))}
