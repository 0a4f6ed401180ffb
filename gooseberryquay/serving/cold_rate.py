"""Bound the rate of requests that this entry sends to a cold upstream."""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from gooseberryquay.ids import UpstreamId

__all__ = ["ColdRate"]


@dataclass
class _Bucket:
    left: float
    filled_at_s: float


class ColdRate:
    """Give each entry an equal share of what a cold upstream bears in a second."""

    def __init__(
        self, entry_count: Callable[[], int], clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._entry_count = entry_count
        self._clock = clock
        self._buckets: dict[UpstreamId, _Bucket] = {}
        self._lock = threading.Lock()

    def may_send(self, upstream: UpstreamId, requests_per_s: float) -> bool:
        """Tell whether one more request fits, without counting it."""
        with self._lock:
            return self._refill(upstream, requests_per_s).left >= 1.0

    def take(self, upstream: UpstreamId, requests_per_s: float) -> bool:
        """Count one request in if it fits."""
        with self._lock:
            bucket = self._refill(upstream, requests_per_s)
            if bucket.left < 1.0:
                return False
            bucket.left -= 1.0
            return True

    def _refill(self, upstream: UpstreamId, requests_per_s: float) -> _Bucket:
        share_per_s = requests_per_s / max(1, self._entry_count())
        burst = max(1.0, share_per_s / 2.0)
        now_s = self._clock()
        bucket = self._buckets.setdefault(upstream, _Bucket(1.0, now_s))
        bucket.left = min(burst, bucket.left + share_per_s * (now_s - bucket.filled_at_s))
        bucket.filled_at_s = now_s
        return bucket
