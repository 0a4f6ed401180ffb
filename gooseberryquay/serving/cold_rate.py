"""Bound the rate of requests that this entry sends to a cold upstream.

Answers load: many entries that want a cold upstream at once, also just after they have started
and while they do not see each other.
"""

import math
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from gooseberryquay.ids import UpstreamId
from gooseberryquay.serving.entry_counter import GROWTH_MAX, EntryCounter

__all__ = ["ColdRate", "ColdRateLimits"]

# With the growth that the census may hide, the shares still add up to the overage.
BURST_S = 0.2
# Sums of refills are rounded.
ONE_REQUEST = 1.0 - 1e-9


@dataclass(frozen=True, slots=True)
class ColdRateLimits:
    """Say what a cold upstream bears in one second: its rate times `overage`, and `allowance`."""

    overage: float = 1.5
    allowance: float = 5.0


@dataclass
class _Bucket:
    left: float
    filled_at_s: float


class ColdRate:
    """Share what a cold upstream bears among as many entries as may send one at once."""

    def __init__(
        self,
        census: EntryCounter,
        terms: ColdRateLimits,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._census = census
        self._terms = terms
        self._clock = clock
        self._buckets: dict[UpstreamId, _Bucket] = {}
        self._lock = threading.Lock()

    def may_send(self, upstream: UpstreamId, requests_per_s: float) -> bool:
        """Tell whether one more request fits, without counting it."""
        if math.isinf(requests_per_s):
            return True
        with self._lock:
            return self._refill(upstream, requests_per_s).left >= ONE_REQUEST

    def take(self, upstream: UpstreamId, requests_per_s: float) -> bool:
        """Count one request in if it fits."""
        if math.isinf(requests_per_s):
            return True
        with self._lock:
            bucket = self._refill(upstream, requests_per_s)
            if bucket.left < ONE_REQUEST:
                return False
            bucket.left = max(0.0, bucket.left - 1.0)
            return True

    def _refill(self, upstream: UpstreamId, requests_per_s: float) -> _Bucket:
        now_s = self._clock()
        bucket = self._buckets.setdefault(upstream, _Bucket(1.0, now_s))
        share_per_s = self._share_per_s(upstream, requests_per_s)
        burst = max(1.0, BURST_S * share_per_s) if share_per_s > 0.0 else 0.0
        bucket.left = min(burst, bucket.left + share_per_s * (now_s - bucket.filled_at_s))
        bucket.filled_at_s = now_s
        return bucket

    def _share_per_s(self, upstream: UpstreamId, requests_per_s: float) -> float:
        """Give this entry's part, none where too many may send already or are not known yet."""
        if not self._census.is_settled():
            return 0.0
        senders = min(self._census.count(), self._senders_max(requests_per_s))
        if not self._census.is_among_first(f"cold/{upstream}", senders):
            return 0.0
        return requests_per_s / senders

    def _senders_max(self, requests_per_s: float) -> int:
        """Give how many may each send one request more than their share at the same moment."""
        spare_per_s = max(0.0, self._terms.overage - GROWTH_MAX) * requests_per_s
        return max(1, int(spare_per_s + self._terms.allowance))
