"""Byte budget for all control traffic of an entry, with priorities among its classes."""

import threading
import time
from collections.abc import Callable
from enum import Enum

__all__ = ["CONTROL_BYTES_PER_S", "ControlBudget", "TrafficClass"]

CONTROL_BYTES_PER_S = 5000.0
BURST_S = 10.0
DEBT_MAX_S = 4.0
# Margin for header bytes, which are estimated, and for the burst on top of the mean rate.
PLANNED_SHARE = 0.95


class TrafficClass(Enum):
    """Class of deferrable traffic; the value is the share of the burst it leaves to others."""

    POLL = 0.9
    OUTAGE_REPEAT = 0.75
    # Yields before member lists, as upstreams may stay unresponsive for a long time.
    POLL_NEEDED = 0.6
    MEMBER_LIST = 0.5
    MEMBER_CHANGES = 0.25


class ControlBudget:
    """Token bucket for all control bytes; only traffic in a `TrafficClass` is deferred.

    Heartbeats and new configurations are counted but never deferred. Debt is bounded, so that one
    large read at startup does not block other traffic for minutes.
    """

    def __init__(
        self,
        bytes_per_s: float = CONTROL_BYTES_PER_S,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._bytes_per_s = PLANNED_SHARE * bytes_per_s
        self._burst_bytes = self._bytes_per_s * BURST_S
        self._min_bytes = -self._bytes_per_s * DEBT_MAX_S
        self._clock = clock
        self._available_bytes = self._burst_bytes
        self._filled_at_s = clock()
        self._lock = threading.Lock()

    def spend(self, spent_bytes: int) -> None:
        """Spend bytes that were sent or received."""
        with self._lock:
            self._fill()
            self._available_bytes = max(self._min_bytes, self._available_bytes - spent_bytes)

    def allows(self, traffic_class: TrafficClass) -> bool:
        """Return whether traffic of a class may be sent now."""
        return self.wait_s(traffic_class) <= 0

    def wait_s(self, traffic_class: TrafficClass) -> float:
        """Return the minimum time in seconds until traffic of a class may be sent."""
        with self._lock:
            self._fill()
            missing_bytes = traffic_class.value * self._burst_bytes - self._available_bytes
            return max(0.0, missing_bytes / self._bytes_per_s)

    def _fill(self) -> None:
        now_s = self._clock()
        refilled_bytes = (now_s - self._filled_at_s) * self._bytes_per_s
        self._available_bytes = min(self._burst_bytes, self._available_bytes + refilled_bytes)
        self._filled_at_s = now_s
