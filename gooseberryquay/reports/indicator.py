"""Service level indicators and counts of their violations."""

from enum import Enum
from typing import NamedTuple

__all__ = ["Indicator", "IndicatorCounts"]


class Indicator(Enum):
    """Name one service level indicator.

    Token gaps are counted individually, the other indicators once per request.
    """

    ANSWERED = "answered"
    FIRST_TOKEN = "first_token"
    TOKEN_GAP = "token_gap"
    DEADLINE = "deadline"


class IndicatorCounts(NamedTuple):
    """Count the events of an indicator (`due`) and those that violated it (`broken`)."""

    due: int = 0
    broken: int = 0

    def plus(self, other: "IndicatorCounts") -> "IndicatorCounts":
        """Return the sum of two counts."""
        return IndicatorCounts(self.due + other.due, self.broken + other.broken)
