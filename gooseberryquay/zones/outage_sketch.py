"""A small mergeable count of the members that cannot reach the platform."""

import math
import time

import xxhash

from gooseberryquay.contracts.fields import FrozenModel
from gooseberryquay.ids import EntryId

__all__ = ["ROUND_S", "OutageRound", "OutageSketch"]

SKETCH_BITS = 1024
ROUND_S = 6.0


class OutageRound(FrozenModel):
    """Carry the members that reported an outage in one round, as a bit set in hexadecimal."""

    number: int
    bits: str


class OutageSketch:
    """Count reports by linear counting over two rounds; not safe for use by many threads.

    Rounds are numbered by whoever ends one first, so that no clocks need to agree. A report
    that is not repeated is gone after two rounds.
    """

    def __init__(self) -> None:
        self._number = 0
        self._began_at_s = time.monotonic()
        self._bits = 0
        self._previous_bits = 0

    def add(self, member: EntryId) -> None:
        """Count a member in the round that goes on."""
        self._bits |= 1 << (xxhash.xxh64_intdigest(member.encode()) % SKETCH_BITS)

    def advance_if_due(self) -> None:
        """Begin a new round once the one that goes on is over."""
        age_s = time.monotonic() - self._began_at_s
        if age_s >= 2 * ROUND_S:
            self._begin(self._number + 2)
        elif age_s >= ROUND_S:
            self._begin(self._number + 1)

    def current_round(self) -> OutageRound:
        """Give the round that goes on, to be merged by others."""
        return OutageRound(number=self._number, bits=f"{self._bits:x}")

    def merge(self, other: OutageRound) -> bool:
        """Take in another's round; tell whether it brought a report that was not known."""
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
