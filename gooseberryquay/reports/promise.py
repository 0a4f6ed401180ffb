"""What a service level promises, and how often a promise was kept."""

from enum import Enum
from typing import NamedTuple

__all__ = ["Promise", "PromiseCounts"]


class Promise(Enum):
    """Name one promise of a service level.

    Token gaps are counted one by one, the other promises once for each request.
    """

    ANSWERED = "answered"
    FIRST_TOKEN = "first_token"
    TOKEN_GAP = "token_gap"
    DEADLINE = "deadline"


class PromiseCounts(NamedTuple):
    """Count how often a promise was due and how often it was broken."""

    due: int = 0
    broken: int = 0

    def plus(self, other: "PromiseCounts") -> "PromiseCounts":
        """Add two counts."""
        return PromiseCounts(self.due + other.due, self.broken + other.broken)
