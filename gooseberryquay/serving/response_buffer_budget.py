"""Limit the memory of all responses that are buffered until they are complete."""

import threading

__all__ = ["ResponseBufferBudget", "ResponseBufferReservation"]

BYTES_PER_MB = 1024 * 1024
# The rest is for the process, its streams and socket receive buffers.
BUFFER_SHARE = 0.25


class ResponseBufferBudget:
    """Divide a part of the instance's memory among responses; thread-safe."""

    def __init__(self, memory_mb: float) -> None:
        self._free_bytes = int(BUFFER_SHARE * memory_mb * BYTES_PER_MB)
        self._lock = threading.Lock()

    def try_acquire(self, count: int) -> bool:
        """Reserve `count` bytes and return True if that many are free."""
        with self._lock:
            if count > self._free_bytes:
                return False
            self._free_bytes -= count
            return True

    def release(self, count: int) -> None:
        """Release `count` reserved bytes."""
        with self._lock:
            self._free_bytes += count


class ResponseBufferReservation:
    """Track the bytes reserved for one response and release them at the end of the context."""

    def __init__(self, budget: ResponseBufferBudget) -> None:
        self._budget = budget
        self._reserved_bytes = 0

    def __enter__(self) -> "ResponseBufferReservation":
        return self

    def __exit__(self, *_error: object) -> None:
        self._budget.release(self._reserved_bytes)

    def try_acquire(self, count: int) -> bool:
        """Reserve `count` more bytes and return True if that many are free."""
        is_reserved = self._budget.try_acquire(count)
        self._reserved_bytes += count if is_reserved else 0
        return is_reserved
