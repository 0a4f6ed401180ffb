"""Byte budget for control traffic, as a token bucket."""

import threading

__all__ = ["ByteBudget"]

BURST_S = 10.0


class ByteBudget:
    """Allow a mean rate with a bounded burst; safe for use by many threads."""

    def __init__(self, bytes_per_s: float, burst_s: float = BURST_S) -> None:
        self._bytes_per_s = bytes_per_s
        self._burst_bytes = bytes_per_s * burst_s
        self._left_bytes = self._burst_bytes
        self._filled_at_s = 0.0
        self._lock = threading.Lock()

    def wait_s(self, now_s: float) -> float:
        """Give the time until something may be sent again."""
        with self._lock:
            self._fill(now_s)
            return max(0.0, -self._left_bytes / self._bytes_per_s)

    def spend(self, spent_bytes: int, now_s: float) -> None:
        """Count bytes that were sent and received."""
        with self._lock:
            self._fill(now_s)
            self._left_bytes -= spent_bytes

    def _fill(self, now_s: float) -> None:
        gained_bytes = max(0.0, now_s - self._filled_at_s) * self._bytes_per_s
        self._left_bytes = min(self._burst_bytes, self._left_bytes + gained_bytes)
        self._filled_at_s = now_s
