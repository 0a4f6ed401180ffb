"""Bound on the work that the small pieces of one answer cause."""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from gooseberryquay.links.caller_watch import CallerWatch

__all__ = ["SMALL_BYTES", "SpareWork", "WorkPace"]

# Below this size, work grows with the number of pieces and not with their bytes.
SMALL_BYTES = 1024
# Several times the events that an engine sends in a second.
PIECES_PER_S = 400.0
PIECES_AT_ONCE = 2000.0
# For all answers of a process together, beyond what each may take by itself.
SPARE_PIECES_PER_S = 4000.0
# An answer that owes fewer pieces does not wait for them yet.
PIECES_PER_WAIT = 50.0
# How soon a caller that disconnects is noticed.
POLL_INTERVAL_S = 0.05


@dataclass
class _Allowance:
    """Refill at a constant rate, up to a ceiling."""

    per_s: float
    ceiling: float
    left: float
    refilled_at_s: float

    def take(self, count: float, now_s: float) -> float:
        """Take up to `count` and return how many were taken."""
        self.left = min(self.ceiling, self.left + (now_s - self.refilled_at_s) * self.per_s)
        self.refilled_at_s = now_s
        taken = min(count, self.left)
        self.left -= taken
        return taken


class SpareWork:
    """Share pieces among the answers that need more than their own; thread-safe."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self._allowance = _Allowance(
            SPARE_PIECES_PER_S, SPARE_PIECES_PER_S, SPARE_PIECES_PER_S, clock()
        )
        self._lock = threading.Lock()

    def take(self, count: float) -> float:
        """Take up to `count` pieces and return how many were taken."""
        with self._lock:
            return self._allowance.take(count, self.clock())


@dataclass
class WorkPace:
    """Slow one answer down to the pieces that it may cause; the peer then sends more slowly."""

    spare: SpareWork = field(default_factory=SpareWork)
    _own: _Allowance | None = None
    _owed: float = 0.0

    def spend(self, pieces: int, caller: CallerWatch, until_s: float) -> None:
        """Account for handled pieces; wait while there were too many.

        Ends early if the caller disconnects, or at `until_s` on the monotonic clock.
        """
        self._owed += pieces
        self._settle()
        while self._owed > PIECES_PER_WAIT:
            wait_s = min(self._owed / PIECES_PER_S, POLL_INTERVAL_S, until_s - time.monotonic())
            if wait_s <= 0.0 or caller.is_disconnected():
                return
            time.sleep(wait_s)
            self._settle()

    def _settle(self) -> None:
        """Cover what is owed by the allowance of this answer, then by the shared one."""
        now_s = self.spare.clock()
        if self._own is None:
            self._own = _Allowance(PIECES_PER_S, PIECES_AT_ONCE, PIECES_AT_ONCE, now_s)
        self._owed -= self._own.take(self._owed, now_s)
        if self._owed > PIECES_PER_WAIT:
            self._owed -= self.spare.take(self._owed)
