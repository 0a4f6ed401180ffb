"""Width that grows after a cold start as long as tokens come on time."""

__all__ = ["WidthRamp"]

STEP_S = 0.5
GROWTH = 2.0
SHRINK = 0.5
FULL_WIDTH = 256.0


class WidthRamp:
    """Bound one entry's requests at an upstream that has just turned warm.

    `is_over` tells whether the full width is reached.
    """

    def __init__(self) -> None:
        self._width = FULL_WIDTH
        self._stepped_at_s = 0.0
        self.is_over = True

    def begin(self, width: int, now_s: float) -> None:
        """Start at a small width."""
        self._width = float(max(1, width))
        self.is_over = self._width >= FULL_WIDTH
        self._stepped_at_s = now_s

    def has_room(
        self, in_flight: int, token_gap_s: float, promised_gap_s: float, now_s: float
    ) -> bool:
        """Tell whether one more request may start, growing the width when it is time."""
        if self.is_over:
            return True
        if now_s - self._stepped_at_s >= STEP_S:
            factor = GROWTH if token_gap_s <= promised_gap_s else SHRINK
            self._width = max(1.0, self._width * factor)
            self.is_over = self._width >= FULL_WIDTH
            self._stepped_at_s = now_s
        return in_flight < self._width
