"""Slots and waiting room of an upstream that turns requests away when both are taken."""

import threading
import time
from collections import deque
from dataclasses import dataclass, field

__all__ = ["Capacity", "WaitingRoom"]

FALL_WINDOW_S = 1.0
# Requests that wait longer than any deadline of the tests are turned away, too.
WAIT_MAX_S = 10.0


@dataclass
class Capacity:
    """Bound the requests that an upstream runs and lets wait.

    A brittle upstream falls over when it turns more than `brittle_per_s` requests away within a
    second; None if it is not brittle.
    """

    slots: int
    waiting_max: int
    brittle_per_s: int | None = None


@dataclass
class WaitingRoom:
    """Admit requests to the slots of one upstream; thread-safe."""

    capacity: Capacity
    _running: int = 0
    _waiting: int = 0
    _turned_away_at_s: deque[float] = field(default_factory=deque)
    _changed: threading.Condition = field(default_factory=threading.Condition)

    def enter(self) -> bool:
        """Wait for a slot; return False if the request is turned away."""
        with self._changed:
            if self._running >= self.capacity.slots:
                if self._waiting >= self.capacity.waiting_max:
                    return False
                self._waiting += 1
                has_slot = self._changed.wait_for(self._has_slot, WAIT_MAX_S)
                self._waiting -= 1
                if not has_slot:
                    return False
            self._running += 1
            return True

    def leave(self) -> None:
        """Free the slot of a request."""
        with self._changed:
            self._running -= 1
            self._changed.notify()

    def falls_over(self) -> bool:
        """Count a request that was turned away; return whether the upstream falls over."""
        now_s = time.monotonic()
        with self._changed:
            self._turned_away_at_s.append(now_s)
            while self._turned_away_at_s[0] < now_s - FALL_WINDOW_S:
                self._turned_away_at_s.popleft()
            most = self.capacity.brittle_per_s
            return most is not None and len(self._turned_away_at_s) > most

    def load(self) -> str:
        """Return the running and the waiting requests and the slots, as stated in responses."""
        with self._changed:
            return f"{self._running},{self._waiting},{self.capacity.slots}"

    def _has_slot(self) -> bool:
        return self._running < self.capacity.slots
