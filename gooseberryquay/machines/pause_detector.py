"""Detection of pauses of this process by a gap between ticks."""

import time
from collections.abc import Callable

__all__ = ["PauseDetector"]


class PauseDetector:
    """Detect that a loop that ticks regularly has paused for longer than a bound."""

    def __init__(self, longest_gap_s: float, clock: Callable[[], float] = time.monotonic) -> None:
        self._longest_gap_s = longest_gap_s
        self._clock = clock
        self._ticked_at_s = clock()

    def tick(self) -> bool:
        """Record a tick; return whether there was a pause before it."""
        was_paused = self.is_overdue()
        self._ticked_at_s = self._clock()
        return was_paused

    def is_overdue(self) -> bool:
        """Return whether the last tick is longer ago than the bound."""
        return self._clock() - self._ticked_at_s > self._longest_gap_s
