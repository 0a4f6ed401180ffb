"""Slow start: a concurrency limit that grows after a cold start while tokens are on time."""

__all__ = ["SlowStart"]

STEP_S = 0.5
GROWTH_FACTOR = 2.0
SHRINK_FACTOR = 0.5
FULL_LIMIT = 256.0


class SlowStart:
    """Limit one entry's requests at an upstream that has just turned warm.

    `is_over` is true once the full limit is reached.
    """

    def __init__(self) -> None:
        self._limit = FULL_LIMIT
        self._stepped_at_s = 0.0
        self.is_over = True

    def begin(self, initial_limit: int, now_s: float) -> None:
        """Start at a small limit."""
        self._limit = float(max(1, initial_limit))
        self.is_over = self._limit >= FULL_LIMIT
        self._stepped_at_s = now_s

    def has_room(
        self, in_flight: int, token_gap_s: float, target_gap_s: float, now_s: float
    ) -> bool:
        """Return whether one more request may start; adjust the limit every `STEP_S` seconds."""
        if self.is_over:
            return True
        if now_s - self._stepped_at_s >= STEP_S:
            factor = GROWTH_FACTOR if token_gap_s <= target_gap_s else SHRINK_FACTOR
            self._limit = max(1.0, self._limit * factor)
            self.is_over = self._limit >= FULL_LIMIT
            self._stepped_at_s = now_s
        return in_flight < self._limit
