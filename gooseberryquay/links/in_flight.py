"""Counter of in-flight caller requests, which a drain waits on."""

import threading

__all__ = ["InFlightCounter"]


class InFlightCounter:
    """Count in-flight requests and wait until there are none; thread-safe."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._count = 0

    @property
    def count(self) -> int:
        """Return the number of in-flight requests."""
        return self._count

    def enter(self) -> None:
        """Increment the count at the start of a request."""
        with self._changed:
            self._count += 1

    def leave(self) -> None:
        """Decrement the count at the end of a request."""
        with self._changed:
            self._count -= 1
            self._changed.notify_all()

    def wait_until_idle(self, timeout_s: float) -> bool:
        """Wait until no request is in flight; return False on timeout."""
        with self._changed:
            return self._changed.wait_for(lambda: self._count == 0, timeout_s)
