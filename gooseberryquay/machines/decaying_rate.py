"""Rate of events, as an exponentially decaying count."""

import math

__all__ = ["DecayingRate"]

DECAY_S = 5.0


class DecayingRate:
    """Estimate events per second with an exponentially decaying count."""

    def __init__(self, decay_s: float = DECAY_S) -> None:
        self._decay_s = decay_s
        self._rate = 0.0
        self._counted_at_s = 0.0

    def count(self, now_s: float) -> None:
        """Record one event."""
        self._rate = self.per_second(now_s) + 1.0 / self._decay_s
        self._counted_at_s = now_s

    def per_second(self, now_s: float) -> float:
        """Return the current rate, in events per second."""
        return self._rate * math.exp(-(now_s - self._counted_at_s) / self._decay_s)
