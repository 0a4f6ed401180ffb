"""Detection of platform outages by a majority of the known members."""

import threading
import time
from collections.abc import Callable, Iterable

from gooseberryquay.ids import EntryId
from gooseberryquay.zones.outage_sketch import OutageRound, OutageSketch

__all__ = ["PlatformReachability"]


class PlatformReachability:
    """Count the members that report an outage; thread-safe.

    A member that disappeared is counted as known until `member_retention_s` has passed, so that the
    minority side of a network partition does not consider itself the whole cluster.
    """

    def __init__(self, this_entry: EntryId, member_retention_s: float) -> None:
        self._this_entry = this_entry
        self._member_retention_s = member_retention_s
        self._lock = threading.Lock()
        self._left_at_s: dict[EntryId, float] = {}
        self._members: dict[EntryId, float] = {this_entry: time.monotonic()}
        self._sketch = OutageSketch()
        self._is_unreachable = False

    def record_live_members(self, members: Callable[[], Iterable[EntryId]]) -> None:
        """Record the live members.

        They are listed under the lock, so that a member removed concurrently is not added again.
        """
        now_s = time.monotonic()
        with self._lock:
            seen = tuple(members())
            self._members.update(dict.fromkeys(seen, now_s))
            for member in seen:
                self._left_at_s.pop(member, None)
            oldest_s = now_s - self._member_retention_s
            self._members = {each: at_s for each, at_s in self._members.items() if at_s >= oldest_s}
            self._members[self._this_entry] = now_s

    def record_peer_members(self, members: Iterable[EntryId]) -> None:
        """Record the members that a peer knows, except those known to have left."""
        now_s = time.monotonic()
        oldest_s = now_s - self._member_retention_s
        with self._lock:
            left = {each: at_s for each, at_s in self._left_at_s.items() if at_s >= oldest_s}
            self._left_at_s = left
            self._members.update({each: now_s for each in members if each not in left})

    def remove_member(self, member: EntryId) -> None:
        """Remove a member that left gracefully."""
        with self._lock:
            self._members.pop(member, None)
            self._left_at_s[member] = time.monotonic()

    def members(self) -> tuple[EntryId, ...]:
        """Return the known members."""
        with self._lock:
            return tuple(self._members)

    def set_unreachable(self, is_unreachable: bool) -> None:
        """Record whether this entry's last call failed to reach the platform."""
        self._is_unreachable = is_unreachable

    def is_unreachable(self) -> bool:
        """Return whether this entry's last call failed to reach the platform."""
        return self._is_unreachable

    def record_report(self, member: EntryId) -> None:
        """Record the report of a member that it cannot reach the platform."""
        with self._lock:
            self._sketch.add(member)

    def current_round(self) -> OutageRound:
        """Return the current round of reports, with this entry's own if it has one."""
        with self._lock:
            if self._is_unreachable:
                self._sketch.advance_if_due()
                self._sketch.add(self._this_entry)
            return self._sketch.current_round()

    def merge(self, other: OutageRound) -> bool:
        """Merge a round of reports; return whether it contained an unknown report."""
        with self._lock:
            return self._sketch.merge(other)

    def is_outage(self) -> bool:
        """Return whether more than half of the known members cannot reach the platform."""
        with self._lock:
            if self._is_unreachable:
                self._sketch.add(self._this_entry)
            return 2 * self._sketch.count() > len(self._members)
