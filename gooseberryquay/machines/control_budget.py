"""One byte budget for all control traffic of an entry, with an order of who gives way."""

import threading
import time
from collections.abc import Callable
from enum import Enum

__all__ = ["CONTROL_BYTES_PER_S", "ControlBudget", "TrafficClass"]

CONTROL_BYTES_PER_S = 5000.0
BURST_S = 10.0
DEBT_S = 4.0
# Header bytes are estimated, and a burst comes on top of the rate.
PLANNED_SHARE = 0.95


class TrafficClass(Enum):
    """Name traffic that gives way, with the share of the burst that it leaves to other traffic."""

    POLL = 0.9
    OUTAGE_REPEAT = 0.75
    # Above lists, as upstreams may stay silent for long.
    POLL_NEEDED = 0.6
    MEMBER_LIST = 0.5
    MEMBER_CHANGES = 0.25


class ControlBudget:
    """Count every control byte against a mean rate; only the uses named give way.

    Heartbeats and new configurations are counted and never held back. Debt is bounded, so that
    one large read at the start does not stop the rest for minutes.
    """

    def __init__(
        self,
        bytes_per_s: float = CONTROL_BYTES_PER_S,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._bytes_per_s = PLANNED_SHARE * bytes_per_s
        self._burst_bytes = self._bytes_per_s * BURST_S
        self._least_bytes = -self._bytes_per_s * DEBT_S
        self._clock = clock
        self._left_bytes = self._burst_bytes
        self._filled_at_s = clock()
        self._lock = threading.Lock()

    def spend(self, spent_bytes: int) -> None:
        """Count bytes that were sent or received."""
        with self._lock:
            self._fill()
            self._left_bytes = max(self._least_bytes, self._left_bytes - spent_bytes)

    def allows(self, use: TrafficClass) -> bool:
        """Tell whether a use may send now."""
        return self.wait_s(use) <= 0

    def wait_s(self, use: TrafficClass) -> float:
        """Give the least time until a use may send."""
        with self._lock:
            self._fill()
            missing_bytes = use.value * self._burst_bytes - self._left_bytes
            return max(0.0, missing_bytes / self._bytes_per_s)

    def _fill(self) -> None:
        now_s = self._clock()
        gained_bytes = (now_s - self._filled_at_s) * self._bytes_per_s
        self._left_bytes = min(self._burst_bytes, self._left_bytes + gained_bytes)
        self._filled_at_s = now_s
