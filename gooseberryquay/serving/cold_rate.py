"""Limit the rate of requests that this entry sends to a cold upstream.

The limit holds when many entries select the same cold upstream concurrently, including just after
they have started and during a partition between them.
"""

import math
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from gooseberryquay.ids import UpstreamId
from gooseberryquay.serving.entry_counter import GROWTH_MAX, EntryCounter

__all__ = ["ColdRate", "ColdRateLimits"]

# Even if the number of entries has grown by the undetected margin, the shares add up to no more
# than the overage.
BURST_S = 0.2
# Tolerates rounding errors in the sum of refills.
ONE_REQUEST = 1.0 - 1e-9


@dataclass(frozen=True, slots=True)
class ColdRateLimits:
    """Limit the requests to a cold upstream in one second to rate * `overage` + `allowance`."""

    overage: float = 1.5
    allowance: float = 5.0


@dataclass
class _Bucket:
    tokens: float
    refilled_at_s: float


class ColdRate:
    """Divide the rate limit of a cold upstream among the entries that may send to it.

    The number of senders is bounded, so that one simultaneous request from each stays within the
    limit.
    """

    def __init__(
        self,
        entry_counter: EntryCounter,
        limits: ColdRateLimits,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._entry_counter = entry_counter
        self._limits = limits
        self._clock = clock
        self._buckets: dict[UpstreamId, _Bucket] = {}
        self._lock = threading.Lock()

    def may_send(self, upstream: UpstreamId, requests_per_s: float) -> bool:
        """Return whether one more request is within the limit, without counting it."""
        if math.isinf(requests_per_s):
            return True
        with self._lock:
            return self._refill(upstream, requests_per_s).tokens >= ONE_REQUEST

    def try_acquire(self, upstream: UpstreamId, requests_per_s: float) -> bool:
        """Count one request and return True if it is within the limit."""
        if math.isinf(requests_per_s):
            return True
        with self._lock:
            bucket = self._refill(upstream, requests_per_s)
            if bucket.tokens < ONE_REQUEST:
                return False
            bucket.tokens = max(0.0, bucket.tokens - 1.0)
            return True

    def _refill(self, upstream: UpstreamId, requests_per_s: float) -> _Bucket:
        now_s = self._clock()
        bucket = self._buckets.setdefault(upstream, _Bucket(1.0, now_s))
        share_per_s = self._share_per_s(upstream, requests_per_s)
        burst = max(1.0, BURST_S * share_per_s) if share_per_s > 0.0 else 0.0
        bucket.tokens = min(burst, bucket.tokens + share_per_s * (now_s - bucket.refilled_at_s))
        bucket.refilled_at_s = now_s
        return bucket

    def _share_per_s(self, upstream: UpstreamId, requests_per_s: float) -> float:
        """Return this entry's share, or 0 if it is no sender or the entry count is not stable."""
        if not self._entry_counter.is_stable():
            return 0.0
        senders = min(self._entry_counter.count(), self._senders_max(requests_per_s))
        if not self._entry_counter.is_among_first(f"cold/{upstream}", senders):
            return 0.0
        return requests_per_s / senders

    def _senders_max(self, requests_per_s: float) -> int:
        """Return how many entries may each exceed their share by one request at the same time."""
        spare_per_s = max(0.0, self._limits.overage - GROWTH_MAX) * requests_per_s
        return max(1, int(spare_per_s + self._limits.allowance))
