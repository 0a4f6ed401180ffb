"""Limit the rate of requests that all entries together send to an upstream.

Each limit is divided among entries without messages between them. It holds when many entries
select the same upstream concurrently, including just after they have started and during a
partition between them.
"""

import math
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from gooseberryquay.ids import UpstreamId
from gooseberryquay.serving.entry_counter import GROWTH_MAX, EntryCounter

__all__ = ["RateBudget", "RateTolerance", "SharedRate"]

# Even if the number of entries has grown by the undetected margin, the shares add up to no more
# than the overage.
BURST_S = 0.2
# Tolerates rounding errors in the sum of refills.
ROUNDING = 1e-9
ONE_REQUEST = 1.0 - ROUNDING


@dataclass(frozen=True, slots=True)
class RateTolerance:
    """Tolerate rate * `window_s` * `overage` + `allowance` requests in any window."""

    window_s: float = 1.0
    overage: float = 1.5
    allowance: float = 5.0


@dataclass(frozen=True, slots=True)
class RateBudget:
    """Hold this entry's tokens for one upstream, negative if reserved, and their refill rate."""

    tokens: float
    tokens_per_s: float

    def wait_s(self, requests: int = 1) -> float:
        """Return the seconds until that many requests are within the limit, or infinity."""
        missing = requests - self.tokens
        if missing <= ROUNDING:
            return 0.0
        return missing / self.tokens_per_s if self.tokens_per_s > 0.0 else math.inf


@dataclass
class _Bucket:
    tokens: float
    refilled_at_s: float


class SharedRate:
    """Divide a rate limit of each upstream among the entries that may send to it; thread-safe.

    The number of senders is bounded, so that one simultaneous request from each stays within the
    limit. `name` selects other senders than those of limits with other names.
    """

    def __init__(
        self,
        name: str,
        entry_counter: EntryCounter,
        tolerance: RateTolerance,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._name = name
        self._entry_counter = entry_counter
        self._tolerance = tolerance
        self._clock = clock
        self._buckets: dict[UpstreamId, _Bucket] = {}
        self._lock = threading.Lock()

    def budget(self, upstream: UpstreamId, requests_per_s: float) -> RateBudget:
        """Return what this entry may send to an upstream."""
        if math.isinf(requests_per_s):
            return RateBudget(math.inf, math.inf)
        with self._lock:
            return self._refill(upstream, requests_per_s)

    def may_send(self, upstream: UpstreamId, requests_per_s: float) -> bool:
        """Return whether one more request is within the limit, without counting it."""
        return self.budget(upstream, requests_per_s).tokens >= ONE_REQUEST

    def try_acquire(self, upstream: UpstreamId, requests_per_s: float) -> bool:
        """Count one request and return True if it is within the limit."""
        if math.isinf(requests_per_s):
            return True
        with self._lock:
            if self._refill(upstream, requests_per_s).tokens < ONE_REQUEST:
                return False
            self._spend(upstream)
            return True

    def spend(self, upstream: UpstreamId, requests_per_s: float) -> None:
        """Count a request that is reserved or mandatory; later ones wait for the debt."""
        if math.isinf(requests_per_s):
            return
        with self._lock:
            self._refill(upstream, requests_per_s)
            self._spend(upstream)

    def _spend(self, upstream: UpstreamId) -> None:
        bucket = self._buckets[upstream]
        is_whole = bucket.tokens >= ONE_REQUEST
        bucket.tokens = max(0.0, bucket.tokens - 1.0) if is_whole else bucket.tokens - 1.0

    def _refill(self, upstream: UpstreamId, requests_per_s: float) -> RateBudget:
        now_s = self._clock()
        bucket = self._buckets.setdefault(upstream, _Bucket(1.0, now_s))
        share_per_s = self._share_per_s(upstream, requests_per_s)
        burst = max(1.0, BURST_S * share_per_s) if share_per_s > 0.0 else 0.0
        bucket.tokens = min(burst, bucket.tokens + share_per_s * (now_s - bucket.refilled_at_s))
        bucket.refilled_at_s = now_s
        return RateBudget(bucket.tokens, share_per_s)

    def _share_per_s(self, upstream: UpstreamId, requests_per_s: float) -> float:
        """Return this entry's share, or 0 if it is no sender or the entry count is not stable."""
        if not self._entry_counter.is_stable():
            return 0.0
        senders = min(self._entry_counter.count(), self._senders_max(requests_per_s))
        if not self._entry_counter.is_among_first(f"{self._name}/{upstream}", senders):
            return 0.0
        return requests_per_s / senders

    def _senders_max(self, requests_per_s: float) -> int:
        """Return how many entries may each exceed their share by one request at the same time."""
        spare_overage = max(0.0, self._tolerance.overage - GROWTH_MAX)
        spare = spare_overage * requests_per_s * self._tolerance.window_s
        return max(1, int(spare + self._tolerance.allowance))
