"""Count caller requests in flight, so that a drain knows when the last one ended."""

import threading

__all__ = ["InFlightCounter"]


class InFlightCounter:
    """Count open requests and wait until there is none."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._count = 0

    @property
    def count(self) -> int:
        """Give the number of open requests."""
        return self._count

    def enter(self) -> None:
        """Count one more open request."""
        with self._changed:
            self._count += 1

    def leave(self) -> None:
        """Count one open request less."""
        with self._changed:
            self._count -= 1
            self._changed.notify_all()

    def wait_until_idle(self, timeout_s: float) -> bool:
        """Wait for the last request to end; False when the time is over."""
        with self._changed:
            return self._changed.wait_for(lambda: self._count == 0, timeout_s)
