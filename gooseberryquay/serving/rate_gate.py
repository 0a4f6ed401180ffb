"""Rate limits that bind requests to an upstream: while it is cold, and when it states a rate."""

import math
import threading
import time
from collections.abc import Callable

from gooseberryquay.ids import ServiceId
from gooseberryquay.serving.entry_counter import EntryCounter
from gooseberryquay.serving.shared_rate import RateBudget, RateTolerance, SharedRate
from gooseberryquay.serving.upstream_registry import KnownUpstream, StatedLimit

__all__ = ["RateGate"]

# Upstreams tolerate 5 more; one is kept for a request that was late on its way.
STATED_TOLERANCE = RateTolerance(window_s=4.0, overage=1.5, allowance=4.0)
# Finds out that an upstream accepts requests again after it has stated that it accepts none.
STATED_RATE_MIN_PER_S = 0.2


class RateGate:
    """Apply all rate limits of an upstream; thread-safe."""

    def __init__(
        self,
        entry_counter: EntryCounter,
        cold_tolerance: RateTolerance,
        cold_rate_of: Callable[[ServiceId], float],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._cold = SharedRate("cold", entry_counter, cold_tolerance, clock)
        self._stated = SharedRate("stated", entry_counter, STATED_TOLERANCE, clock)
        self._entry_counter = entry_counter
        self._cold_rate_of = cold_rate_of
        self._clock = clock
        self._lock = threading.Lock()

    def is_limited(self, known: KnownUpstream) -> bool:
        """Return whether any limit binds requests to an upstream."""
        return bool(self._limits_of(known))

    def is_divided(self) -> bool:
        """Return whether the entries that share the limits are known."""
        return self._entry_counter.is_stable()

    def rate_per_s(self, known: KnownUpstream) -> float:
        """Return how many requests per second all entries may send, or infinity."""
        return min((rate_per_s for _, rate_per_s in self._limits_of(known)), default=math.inf)

    def budget(self, known: KnownUpstream) -> RateBudget:
        """Return what this entry may send to an upstream."""
        budgets = [
            rate.budget(known.record.id, rate_per_s) for rate, rate_per_s in self._limits_of(known)
        ]
        return RateBudget(
            min((each.tokens for each in budgets), default=math.inf),
            min((each.tokens_per_s for each in budgets), default=math.inf),
        )

    def wait_s(self, known: KnownUpstream) -> float:
        """Return the seconds until one request is within the limits, or infinity."""
        return min(self.budget(known).wait_s(), self.ends_in_s(known))

    def ends_in_s(self, known: KnownUpstream) -> float:
        """Return the seconds until no limit binds an upstream, infinity if that is unknown."""
        now_s = self._clock()
        if known.notice.limit_per_s(StatedLimit.REQUESTS, now_s) is not None:
            return math.inf
        return max(0.0, known.cold_until_s - now_s)

    def may_send(self, known: KnownUpstream) -> bool:
        """Return whether one more request is within the limits, without counting it."""
        return all(
            rate.may_send(known.record.id, rate_per_s)
            for rate, rate_per_s in self._limits_of(known)
        )

    def try_acquire(self, known: KnownUpstream) -> bool:
        """Count one request and return True if it is within the limits."""
        with self._lock:
            if not self.may_send(known):
                return False
            self.spend(known)
            return True

    def reserve(self, known: KnownUpstream, wait_max_s: float) -> float | None:
        """Count a request to be sent later; return the wait in seconds, or None if too long."""
        with self._lock:
            wait_s = self.wait_s(known)
            if wait_s > wait_max_s:
                return None
            self.spend(known)
            return wait_s

    def spend(self, known: KnownUpstream) -> None:
        """Count a mandatory request."""
        for rate, rate_per_s in self._limits_of(known):
            rate.spend(known.record.id, rate_per_s)

    def _limits_of(self, known: KnownUpstream) -> list[tuple[SharedRate, float]]:
        now_s = self._clock()
        limits = []
        if known.cold_until_s > now_s:
            cold_per_s = self._cold_rate_of(known.record.service)
            if cold_per_s < math.inf:
                limits.append((self._cold, cold_per_s))
        stated_per_s = known.notice.limit_per_s(StatedLimit.REQUESTS, now_s)
        if stated_per_s is not None:
            limits.append((self._stated, max(STATED_RATE_MIN_PER_S, stated_per_s)))
        return limits
