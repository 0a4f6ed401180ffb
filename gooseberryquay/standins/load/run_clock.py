"""Clock of one load run."""

import threading
import time

__all__ = ["RunClock"]


class RunClock:
    """Count seconds from the start of a run, and signal its end."""

    def __init__(self) -> None:
        self._started_at_s = 0.0
        self._is_stopped = threading.Event()

    def start(self, started_at_s: float) -> None:
        """Set the start on the monotonic clock, which may be in the future."""
        self._started_at_s = started_at_s

    def stop(self) -> None:
        """Signal the end of the run; open calls stop at their next token."""
        self._is_stopped.set()

    def is_stopped(self) -> bool:
        """Return whether the run is over."""
        return self._is_stopped.is_set()

    def elapsed_s(self) -> float:
        """Return the time since the start, in seconds."""
        return time.monotonic() - self._started_at_s
