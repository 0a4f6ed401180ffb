"""Share of a roll-out's exposure that one entry may use.

Addresses an entry that receives some requests or none of a service during a roll-out, beside up to
several hundred others.
"""

import math
from dataclasses import dataclass

__all__ = ["ExposureBudget", "ExposureStep", "grant_of"]

# The rest covers rounding at many entries, and entries that differ in whom they count.
GRANTED_SHARE = 0.7
# Part of that rest for streams that go on at another engine of the target.
RESERVED_SHARE = 0.2
# Multiples of it, modulo 1, are spread evenly however many of them there are.
GOLDEN_RATIO = 0.618033988749895


@dataclass(frozen=True, slots=True)
class ExposureStep:
    """Part of the granted allowance and of the share that is in use."""

    allowance_part: float
    share_part: float


def grant_of(allowance: float, rank: int, entry_count: int) -> int:
    """Return how many requests of an allowance the entry with a rank may use."""
    slots = int(allowance)
    return slots // entry_count + (rank < slots % entry_count)


class ExposureBudget:
    """Count requests and those sent to the target; the sum over all entries keeps the bound.

    Each entry may send its grant, the share of its own requests, and a fraction below one that
    differs between entries: rounding down then neither adds nor removes requests on average, even
    if no entry receives enough requests for a whole one. An entry without a rank has no grant.
    """

    def __init__(
        self, share: float, allowance: float, rank: int | None = None, entry_count: int = 1
    ) -> None:
        self._share = share
        self._allowance = allowance
        self._rank = rank
        self._entry_count = max(1, entry_count)
        self.requests = 0
        self.exposed = 0

    def may_expose(self, step: ExposureStep) -> bool:
        """Return whether one more request may be sent to the target."""
        return self.exposed + 1 <= self._limit(step)

    def may_continue(self, step: ExposureStep) -> bool:
        """Return whether a stream may go on at another engine of the target.

        Few entries have such streams, so each may use one more than its part of the reserve.
        """
        rank = self._rank if self._rank is not None else self._entry_count
        reserve = grant_of(RESERVED_SHARE * self._allowance, rank, self._entry_count)
        return self.exposed <= self._limit(step) + reserve

    def _limit(self, step: ExposureStep) -> int:
        earned = step.share_part * self._share * self.requests
        if self._rank is None:
            return math.floor(earned)
        granted = GRANTED_SHARE * step.allowance_part * self._allowance
        grant = grant_of(granted, self._rank, self._entry_count)
        return math.floor(grant + earned + (self._rank + 1) * GOLDEN_RATIO % 1.0)
