"""Caller requests in flight, which a drain waits for and ends."""

import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager

__all__ = ["InFlightCounter"]


class InFlightCounter:
    """Count in-flight requests, wait until there are none, and end those that remain."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._ends: dict[object, Callable[[], None]] = {}

    @property
    def count(self) -> int:
        """Return the number of in-flight requests."""
        return len(self._ends)

    @contextmanager
    def track(self, end: Callable[[], None]) -> Iterator[None]:
        """Count a request as in flight; `end` gives it a final response from another thread."""
        key = object()
        with self._changed:
            self._ends[key] = end
        try:
            yield
        finally:
            with self._changed:
                del self._ends[key]
                self._changed.notify_all()

    def wait_until_idle(self, timeout_s: float) -> bool:
        """Wait until no request is in flight; return False on timeout."""
        with self._changed:
            return self._changed.wait_for(lambda: not self._ends, timeout_s)

    def end_all(self) -> None:
        """End every request that is in flight."""
        with self._changed:
            ends = list(self._ends.values())
        for end in ends:
            end()
