"""Retry budget: retries are limited to a share of the requests of each service."""

import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from gooseberryquay.ids import ServiceId
from gooseberryquay.machines.decaying_rate import DecayingRate

__all__ = ["RetryBudget", "SharedAllowance"]

BURST_RETRIES_MIN = 3.0
BURST_RETRIES_MAX = 10.0
BURST_S = 5.0
BACKOFF_BASE_S = 0.05
BACKOFF_MAX_S = 1.0


@dataclass(frozen=True, slots=True)
class SharedAllowance:
    """Retries allowed to all entries together per window, in addition to earned ones.

    `entry_count` returns None while other entries may be unknown.
    """

    retries: float
    window_s: float
    entry_count: Callable[[], int | None]


@dataclass
class _Bucket:
    left: float
    filled_at_s: float
    requests: DecayingRate = field(default_factory=DecayingRate)


class RetryBudget:
    """Count requests and retries of each service; thread-safe.

    A burst is bounded by the retries that the request rate earns in `BURST_S`, or by half of this
    entry's part of the allowance; the other half is refilled over the allowance's window.
    """

    def __init__(
        self,
        ratio: float,
        rng: random.Random | None = None,
        clock: Callable[[], float] = time.monotonic,
        allowance: SharedAllowance | None = None,
    ) -> None:
        self._ratio = ratio
        self._allowance = allowance
        self._clock = clock
        self._rng = rng or random.Random()
        self._buckets: dict[ServiceId, _Bucket] = {}
        self._lock = threading.Lock()

    def record_request(self, service: ServiceId) -> None:
        """Count one first attempt, which earns a fraction of a retry."""
        with self._lock:
            bucket = self._bucket(service)
            bucket.requests.count(self._clock())
            bucket.left += self._ratio
            self._refill_and_clamp(bucket)

    def may_retry(self, service: ServiceId) -> bool:
        """Spend one retry; return False if none is left."""
        with self._lock:
            bucket = self._bucket(service)
            self._refill_and_clamp(bucket)
            if bucket.left < 1.0:
                return False
            bucket.left -= 1.0
            return True

    def spend(self, service: ServiceId) -> None:
        """Count a mandatory retry; debt is deducted from later retries."""
        with self._lock:
            bucket = self._bucket(service)
            self._refill_and_clamp(bucket)
            bucket.left = max(-BURST_RETRIES_MAX, bucket.left - 1.0)

    def backoff_s(self, attempt: int) -> float:
        """Return a jittered exponential backoff in seconds; attempt 1 is the first retry."""
        ceiling_s: float = min(BACKOFF_MAX_S, BACKOFF_BASE_S * 2.0 ** max(0, attempt - 1))
        return self._rng.uniform(0.0, ceiling_s)

    def _bucket(self, service: ServiceId) -> _Bucket:
        bucket = self._buckets.get(service)
        if bucket is None:
            initial_retries = BURST_RETRIES_MIN if self._allowance is None else 0.0
            bucket = self._buckets[service] = _Bucket(initial_retries, self._clock())
        return bucket

    def _refill_and_clamp(self, bucket: _Bucket) -> None:
        now_s = self._clock()
        if self._allowance is None:
            earned = self._ratio * BURST_S * bucket.requests.per_second(now_s)
            burst = min(BURST_RETRIES_MAX, max(BURST_RETRIES_MIN, earned))
        else:
            burst = self._refill(bucket, self._allowance, now_s)
        bucket.left = min(burst, bucket.left)

    def _refill(self, bucket: _Bucket, allowance: SharedAllowance, now_s: float) -> float:
        """Add the retries refilled since the last call; return the burst limit."""
        elapsed_s, bucket.filled_at_s = now_s - bucket.filled_at_s, now_s
        count = allowance.entry_count()
        if count is None:
            return 1.0
        half_part = allowance.retries / count / 2.0
        bucket.left += half_part * elapsed_s / allowance.window_s
        return max(1.0, half_part)
