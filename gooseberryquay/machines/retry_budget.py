"""Retries allowed as a share of the requests of each service."""

import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from gooseberryquay.ids import ServiceId
from gooseberryquay.machines.dispatch_rate import FadingRate

__all__ = ["RetryBudget"]

BURST_RETRIES_MIN = 3.0
BURST_RETRIES_MAX = 10.0
BURST_S = 5.0
BACKOFF_BASE_S = 0.05
BACKOFF_MAX_S = 1.0


@dataclass
class _Bucket:
    left: float = BURST_RETRIES_MIN
    requests: FadingRate = field(default_factory=FadingRate)


class RetryBudget:
    """Count requests and retries of each service; safe for use by many threads.

    What is saved up for a burst is at most what the rate of requests earns in `BURST_S`.
    """

    def __init__(
        self,
        ratio: float,
        random_source: random.Random | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._ratio = ratio
        self._clock = clock
        self._random = random_source or random.Random()
        self._buckets: dict[ServiceId, _Bucket] = {}
        self._lock = threading.Lock()

    def saw_request(self, service: ServiceId) -> None:
        """Count one first attempt, which earns a share of a retry."""
        with self._lock:
            bucket = self._bucket(service)
            bucket.requests.count(self._clock())
            bucket.left += self._ratio
            self._bound(bucket)

    def may_retry(self, service: ServiceId) -> bool:
        """Spend one retry if one is left."""
        with self._lock:
            bucket = self._bucket(service)
            self._bound(bucket)
            if bucket.left < 1.0:
                return False
            bucket.left -= 1.0
            return True

    def backoff_s(self, attempt: int) -> float:
        """Give a random wait before a retry; attempt 1 is the first retry."""
        ceiling_s: float = min(BACKOFF_MAX_S, BACKOFF_BASE_S * 2.0 ** max(0, attempt - 1))
        return self._random.uniform(0.0, ceiling_s)

    def _bucket(self, service: ServiceId) -> _Bucket:
        return self._buckets.setdefault(service, _Bucket())

    def _bound(self, bucket: _Bucket) -> None:
        earned = self._ratio * BURST_S * bucket.requests.per_second(self._clock())
        burst = min(BURST_RETRIES_MAX, max(BURST_RETRIES_MIN, earned))
        bucket.left = min(burst, bucket.left)
