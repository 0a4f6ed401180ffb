"""Clock of one load run."""

import threading
import time

__all__ = ["RunClock"]


class RunClock:
    """Count seconds from the start of a run, and tell when it is over."""

    def __init__(self) -> None:
        self._started_at_s = 0.0
        self._is_stopped = threading.Event()

    def start(self, started_at_s: float) -> None:
        """Set the start on the monotonic clock; it may lie ahead."""
        self._started_at_s = started_at_s

    def stop(self) -> None:
        """End the run; open calls break off at their next token."""
        self._is_stopped.set()

    def is_stopped(self) -> bool:
        """Tell whether the run is over."""
        return self._is_stopped.is_set()

    def elapsed_s(self) -> float:
        """Give the time since the start."""
        return time.monotonic() - self._started_at_s
