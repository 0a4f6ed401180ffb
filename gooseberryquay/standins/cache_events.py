"""Cache events of the engine stand-in, published with a lag and with gaps."""

import random
import time
from collections import deque

from gooseberryquay.standins.engine_messages import CacheEvent, CacheEventList

__all__ = ["CacheEventLog"]

MAX_EVENTS = 4096


class CacheEventLog:
    """Log of the newest cache events; drops some at random and delays each by `lag_s`."""

    def __init__(self, lag_s: float, drop_ratio: float, rng: random.Random) -> None:
        self._lag_s = lag_s
        self._drop_ratio = drop_ratio
        self._rng = rng
        self._number = 0
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=MAX_EVENTS)

    def record(self, change: str, block: str) -> None:
        """Record an event; a dropped event still consumes a sequence number."""
        self._number += 1
        if self._rng.random() >= self._drop_ratio:
            event = CacheEvent(number=self._number, change=change, block=block)
            self._events.append((time.monotonic(), event))

    def read(self, after: int) -> CacheEventList:
        """Return the visible events with a number greater than `after`."""
        visible_s = time.monotonic() - self._lag_s
        events = tuple(
            event
            for recorded_s, event in tuple(self._events)
            if event.number > after and recorded_s <= visible_s
        )
        return CacheEventList(events=events)
