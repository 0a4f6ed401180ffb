"""Which members cannot reach the platform, and whether they are most of them."""

import threading
import time
from collections.abc import Callable, Iterable

from gooseberryquay.ids import EntryId
from gooseberryquay.zones.outage_sketch import OutageRound, OutageSketch

__all__ = ["PlatformReachability"]


class PlatformReachability:
    """Count the members that report an outage; safe for use by many threads.

    A member that is not heard of any more counts until the member memory is over, so that
    the smaller side of a cut does not take itself for the whole.
    """

    def __init__(self, this_entry: EntryId, member_memory_s: float) -> None:
        self._myself = this_entry
        self._member_memory_s = member_memory_s
        self._lock = threading.Lock()
        self._left_at_s: dict[EntryId, float] = {}
        self._members: dict[EntryId, float] = {this_entry: time.monotonic()}
        self._sketch = OutageSketch()
        self._is_unreachable = False

    def see_members(self, members: Callable[[], Iterable[EntryId]]) -> None:
        """Record members that are there now.

        They are listed under the lock, so that none is put back after it was forgotten.
        """
        now_s = time.monotonic()
        with self._lock:
            seen = tuple(members())
            self._members.update(dict.fromkeys(seen, now_s))
            for member in seen:
                self._left_at_s.pop(member, None)
            oldest_s = now_s - self._member_memory_s
            self._members = {each: at_s for each, at_s in self._members.items() if at_s >= oldest_s}
            self._members[self._myself] = now_s

    def hear_of_members(self, members: Iterable[EntryId]) -> None:
        """Record members that a peer knows, but for those that are known here to have left."""
        now_s = time.monotonic()
        oldest_s = now_s - self._member_memory_s
        with self._lock:
            left = {each: at_s for each, at_s in self._left_at_s.items() if at_s >= oldest_s}
            self._left_at_s = left
            self._members.update({each: now_s for each in members if each not in left})

    def forget_member(self, member: EntryId) -> None:
        """Stop counting a member that left in order."""
        with self._lock:
            self._members.pop(member, None)
            self._left_at_s[member] = time.monotonic()

    def members(self) -> tuple[EntryId, ...]:
        """Give the members that count."""
        with self._lock:
            return tuple(self._members)

    def mark(self, is_unreachable: bool) -> None:
        """Record whether this entry's last call reached the platform."""
        self._is_unreachable = is_unreachable

    def is_unreachable(self) -> bool:
        """Tell whether this entry's last call failed to reach the platform."""
        return self._is_unreachable

    def hear(self, member: EntryId) -> None:
        """Count a member that says it cannot reach the platform."""
        with self._lock:
            self._sketch.add(member)

    def round(self) -> OutageRound:
        """Give what is known here of the members' reports."""
        with self._lock:
            if self._is_unreachable:
                self._sketch.advance_if_due()
                self._sketch.add(self._myself)
            return self._sketch.current_round()

    def merge(self, other: OutageRound) -> bool:
        """Take in what another knows; tell whether some of it is new."""
        with self._lock:
            return self._sketch.merge(other)

    def is_outage(self) -> bool:
        """Tell whether more than half of the known members cannot reach the platform."""
        with self._lock:
            if self._is_unreachable:
                self._sketch.add(self._myself)
            return 2 * self._sketch.count() > len(self._members)
