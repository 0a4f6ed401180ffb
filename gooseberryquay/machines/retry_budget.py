"""Retries allowed as a share of the requests of each service."""

import random
import threading
from dataclasses import dataclass

from gooseberryquay.ids import ServiceId

__all__ = ["RetryBudget"]

BURST_RETRIES = 10.0
BACKOFF_BASE_S = 0.05
BACKOFF_MAX_S = 1.0


@dataclass
class _Bucket:
    left: float = BURST_RETRIES


class RetryBudget:
    """Count requests and retries of each service; safe for use by many threads."""

    def __init__(self, ratio: float, random_source: random.Random | None = None) -> None:
        self._ratio = ratio
        self._random = random_source or random.Random()
        self._buckets: dict[ServiceId, _Bucket] = {}
        self._lock = threading.Lock()

    def saw_request(self, service: ServiceId) -> None:
        """Count one first attempt, which earns a share of a retry."""
        with self._lock:
            bucket = self._buckets.setdefault(service, _Bucket())
            bucket.left = min(BURST_RETRIES, bucket.left + self._ratio)

    def may_retry(self, service: ServiceId) -> bool:
        """Spend one retry if one is left."""
        with self._lock:
            bucket = self._buckets.setdefault(service, _Bucket())
            if bucket.left < 1.0:
                return False
            bucket.left -= 1.0
            return True

    def backoff_s(self, attempt: int) -> float:
        """Give a random wait before a retry; attempt 1 is the first retry."""
        ceiling_s: float = min(BACKOFF_MAX_S, BACKOFF_BASE_S * 2.0 ** max(0, attempt - 1))
        return self._random.uniform(0.0, ceiling_s)
