"""Limit the memory of all responses that are buffered until they are complete."""

import threading
from typing import Protocol

__all__ = ["ResponseBufferBudget", "ResponseBufferReservation", "SharedMemory"]

BYTES_PER_MB = 1024 * 1024
# The rest is for the process, its streams and socket receive buffers.
BUFFER_SHARE = 0.25


class SharedMemory(Protocol):
    """Give out memory that responses share with requests."""

    def try_acquire(self, count: int) -> bool:
        """Reserve `count` bytes and return True if that many are free."""

    def release(self, count: int) -> None:
        """Release `count` reserved bytes."""


class ResponseBufferBudget:
    """Divide a part of the instance's memory among responses; thread-safe.

    With `shared`, the same bytes are also taken from what callers have in flight in all.
    """

    def __init__(self, memory_mb: float, shared: SharedMemory | None = None) -> None:
        self._free_bytes = int(BUFFER_SHARE * memory_mb * BYTES_PER_MB)
        self._shared = shared
        self._lock = threading.Lock()

    def try_acquire(self, count: int) -> bool:
        """Reserve `count` bytes and return True if that many are free."""
        with self._lock:
            if count > self._free_bytes:
                return False
            if self._shared is not None and not self._shared.try_acquire(count):
                return False
            self._free_bytes -= count
            return True

    def release(self, count: int) -> None:
        """Release `count` reserved bytes."""
        with self._lock:
            self._free_bytes += count
        if self._shared is not None and count:
            self._shared.release(count)


class ResponseBufferReservation:
    """Track the bytes reserved for the responses to one request until they are released."""

    def __init__(self, budget: ResponseBufferBudget) -> None:
        self._budget = budget
        self._reserved_bytes = 0

    @property
    def reserved_bytes(self) -> int:
        """Return how much is reserved."""
        return self._reserved_bytes

    def release(self, keep_bytes: int = 0) -> None:
        """Release all that is reserved beyond `keep_bytes`."""
        count, self._reserved_bytes = self._reserved_bytes - keep_bytes, keep_bytes
        self._budget.release(count)

    def try_acquire(self, count: int) -> bool:
        """Reserve `count` more bytes and return True if that many are free."""
        is_reserved = self._budget.try_acquire(count)
        self._reserved_bytes += count if is_reserved else 0
        return is_reserved
