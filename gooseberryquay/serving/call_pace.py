"""Pace calls to brittle upstreams when more entries than slots share them."""

import functools
import threading
import time
from collections.abc import Callable, Collection
from dataclasses import dataclass

from gooseberryquay.ids import ServiceId, UpstreamId
from gooseberryquay.serving.upstream_registry import KnownUpstream

__all__ = ["CallPace", "calls_per_s"]

# Share of a new duration in the mean duration of a service's calls.
DURATION_WEIGHT = 0.1
# Calls of one entry come at random times, so a few may follow each other closely.
BURST_CALLS = 1.0
UTILIZATION_STEP = 0.02


@functools.lru_cache(maxsize=1024)
def calls_per_s(slots: int, duration_s: float, turned_away_per_s: float) -> float:
    """Return the highest rate of random calls of which no more are turned away on average.

    By Erlang's loss formula, for an upstream that lets no call wait.
    """
    rate_per_s = 0.0
    utilization = UTILIZATION_STEP
    while utilization <= 1.0:
        load = utilization * slots
        if load / duration_s * _loss_probability(load, slots) > turned_away_per_s:
            break
        rate_per_s = load / duration_s
        utilization += UTILIZATION_STEP
    return rate_per_s


def _loss_probability(load: float, slots: int) -> float:
    probability = 1.0
    for slot in range(1, slots + 1):
        probability = load * probability / (slot + load * probability)
    return probability


@dataclass
class _Bucket:
    calls: float
    refilled_at_s: float


class CallPace:
    """Divide among entries the calls that an upstream's slots bear; thread-safe."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._duration_s: dict[ServiceId, float] = {}
        self._buckets: dict[UpstreamId, _Bucket] = {}
        self._lock = threading.Lock()

    def record_duration(self, service: ServiceId, duration_s: float) -> None:
        """Add the duration of a call that an upstream has answered."""
        with self._lock:
            mean_s = self._duration_s.get(service, duration_s)
            self._duration_s[service] = mean_s + DURATION_WEIGHT * (duration_s - mean_s)

    def may_send(self, known: KnownUpstream, entries: float, turned_away_per_s: float) -> bool:
        """Return whether a call is within this entry's share; True while no duration is known."""
        with self._lock:
            return self._refill(known, entries, turned_away_per_s).calls >= 1.0

    def spend(self, known: KnownUpstream) -> None:
        """Count a call that is sent."""
        with self._lock:
            bucket = self._buckets.get(known.record.id)
            if bucket is not None:
                bucket.calls -= 1.0

    def forget(self, keep: Collection[UpstreamId]) -> None:
        """Drop the upstreams that are not in `keep`."""
        with self._lock:
            for upstream in [each for each in self._buckets if each not in keep]:
                del self._buckets[upstream]

    def _refill(self, known: KnownUpstream, entries: float, turned_away_per_s: float) -> _Bucket:
        now_s = self._clock()
        duration_s = self._duration_s.get(known.record.service)
        if duration_s is None:
            return _Bucket(1.0, now_s)
        # Rounded so that the rate is seldom calculated anew.
        rate_per_s = calls_per_s(
            max(1, known.record.slots), round(duration_s, 2) or 0.01, turned_away_per_s
        )
        bucket = self._buckets.setdefault(known.record.id, _Bucket(1.0, now_s))
        refill = (now_s - bucket.refilled_at_s) * rate_per_s / entries
        bucket.calls = min(BURST_CALLS, bucket.calls + refill)
        bucket.refilled_at_s = now_s
        return bucket
