"""Mergeable sketch that counts the members that cannot reach the platform."""

import math
import time

import xxhash

from gooseberryquay.contracts.fields import FrozenModel
from gooseberryquay.ids import EntryId

__all__ = ["ROUND_S", "OutageRound", "OutageSketch"]

SKETCH_BITS = 1024
ROUND_S = 6.0


class OutageRound(FrozenModel):
    """Carry the reports of one round as a bitmap in hexadecimal."""

    number: int
    bits: str


class OutageSketch:
    """Count distinct reporting members by linear counting over two rounds; not thread-safe.

    The first member to end a round sets the number of the next, so that no synchronized clocks
    are needed. A report that is not repeated expires after two rounds.
    """

    def __init__(self) -> None:
        self._number = 0
        self._began_at_s = time.monotonic()
        self._bits = 0
        self._previous_bits = 0

    def add(self, member: EntryId) -> None:
        """Add a member's report to the current round."""
        self._bits |= 1 << (xxhash.xxh64_intdigest(member.encode()) % SKETCH_BITS)

    def advance_if_due(self) -> None:
        """Begin a new round if the current one is over."""
        age_s = time.monotonic() - self._began_at_s
        if age_s >= 2 * ROUND_S:
            self._begin(self._number + 2)
        elif age_s >= ROUND_S:
            self._begin(self._number + 1)

    def current_round(self) -> OutageRound:
        """Return the current round, to be merged by other entries."""
        return OutageRound(number=self._number, bits=f"{self._bits:x}")

    def merge(self, other: OutageRound) -> bool:
        """Merge the round of another entry; return whether it contained an unknown report."""
        bits = int(other.bits, 16)
        known = self._bits | self._previous_bits
        if other.number > self._number:
            self._begin(other.number)
        if other.number == self._number:
            self._bits |= bits
        elif other.number == self._number - 1:
            self._previous_bits |= bits
        return bool(bits & ~known)

    def count(self) -> int:
        """Estimate how many members reported an outage in the last two rounds."""
        bits = self._bits | self._previous_bits
        if time.monotonic() - self._began_at_s >= 2 * ROUND_S or not bits:
            return 0
        unset = max(SKETCH_BITS - bits.bit_count(), 1)
        return round(-SKETCH_BITS * math.log(unset / SKETCH_BITS))

    def _begin(self, number: int) -> None:
        self._previous_bits = self._bits if number == self._number + 1 else 0
        self._bits = 0
        self._number = number
        self._began_at_s = time.monotonic()
