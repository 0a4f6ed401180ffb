"""Bound the memory of all answers that are held until they are whole."""

import threading

__all__ = ["ResponseBufferBudget", "ResponseBufferReservation"]

BYTES_PER_MB = 1024 * 1024
# The rest holds the process, its streams and what its sockets have received.
ANSWER_SHARE = 0.25


class ResponseBufferBudget:
    """Share a part of the instance's memory among answers; safe for use by many threads."""

    def __init__(self, memory_mb: float) -> None:
        self._left_bytes = int(ANSWER_SHARE * memory_mb * BYTES_PER_MB)
        self._lock = threading.Lock()

    def take(self, count: int) -> bool:
        """Take so many bytes if there are as many left."""
        with self._lock:
            if count > self._left_bytes:
                return False
            self._left_bytes -= count
            return True

    def give_back(self, count: int) -> None:
        """Return bytes that were taken."""
        with self._lock:
            self._left_bytes += count


class ResponseBufferReservation:
    """Hold what one answer takes of the memory, and return it at the end of the block."""

    def __init__(self, memory: ResponseBufferBudget) -> None:
        self._memory = memory
        self._taken_bytes = 0

    def __enter__(self) -> "ResponseBufferReservation":
        return self

    def __exit__(self, *_error: object) -> None:
        self._memory.give_back(self._taken_bytes)

    def take(self, count: int) -> bool:
        """Take memory for so many more bytes if there is as much left."""
        is_taken = self._memory.take(count)
        self._taken_bytes += count if is_taken else 0
        return is_taken
