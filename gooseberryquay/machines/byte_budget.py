"""Byte budget for load polls, as a token bucket."""

import threading

__all__ = ["ByteBudget"]

BURST_S = 10.0


class ByteBudget:
    """Token bucket in bytes: a mean rate with a bounded burst; thread-safe."""

    def __init__(self, bytes_per_s: float, burst_s: float = BURST_S) -> None:
        self._bytes_per_s = bytes_per_s
        self._burst_bytes = bytes_per_s * burst_s
        self._available_bytes = self._burst_bytes
        self._filled_at_s = 0.0
        self._lock = threading.Lock()

    def wait_s(self, now_s: float) -> float:
        """Return the time in seconds until sending is allowed again."""
        with self._lock:
            self._fill(now_s)
            return max(0.0, -self._available_bytes / self._bytes_per_s)

    def spend(self, spent_bytes: int, now_s: float) -> None:
        """Spend bytes that were sent and received; the balance may become negative."""
        with self._lock:
            self._fill(now_s)
            self._available_bytes -= spent_bytes

    def _fill(self, now_s: float) -> None:
        refilled_bytes = max(0.0, now_s - self._filled_at_s) * self._bytes_per_s
        self._available_bytes = min(self._burst_bytes, self._available_bytes + refilled_bytes)
        self._filled_at_s = now_s
