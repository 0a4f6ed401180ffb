"""Rate at which places come free, as an exponentially fading count."""

import math

__all__ = ["FadingRate"]

FADE_S = 5.0


class FadingRate:
    """Estimate events per second."""

    def __init__(self, fade_s: float = FADE_S) -> None:
        self._fade_s = fade_s
        self._rate = 0.0
        self._counted_at_s = 0.0

    def count(self, now_s: float) -> None:
        """Take in one event."""
        self._rate = self.per_second(now_s) + 1.0 / self._fade_s
        self._counted_at_s = now_s

    def per_second(self, now_s: float) -> float:
        """Give the rate now."""
        return self._rate * math.exp(-(now_s - self._counted_at_s) / self._fade_s)
