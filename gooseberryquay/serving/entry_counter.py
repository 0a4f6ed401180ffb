"""The entries of the fleet, including those that are temporarily unreachable."""

import threading
import time
from collections.abc import Callable, Iterable

from gooseberryquay.ids import EntryId
from gooseberryquay.machines.peer import Peer
from gooseberryquay.machines.rendezvous import first_owners

__all__ = ["EntryCounter"]

# Longer than network partitions that heal by themselves.
RETENTION_S = 60.0
# Entries that start together discover each other within a few probe periods.
STABILIZATION_S = 2.0
# Entries that join one by one keep the count stable.
GROWTH_MAX = 1.25


class EntryCounter:
    """Track the entries that were live recently; thread-safe."""

    def __init__(self, this_entry: EntryId, clock: Callable[[], float] = time.monotonic) -> None:
        self._myself = this_entry
        self._clock = clock
        self._seen_at_s: dict[EntryId, float] = {}
        self._peers: dict[EntryId, Peer] = {}
        self._is_first: dict[tuple[str, int], bool] = {}
        self._counted_at_s = float("-inf")
        self._previous_count: int | None = None
        self._base_count: int | None = None
        self._lock = threading.Lock()

    def record_live(self, live: Iterable[Peer]) -> None:
        """Record the entries that are live now."""
        now_s = self._clock()
        with self._lock:
            previous = set(self._peers)
            for peer in live:
                self._seen_at_s[peer.id] = now_s
                self._peers[peer.id] = peer
            oldest_s = now_s - RETENTION_S
            for entry in [each for each, at_s in self._seen_at_s.items() if at_s < oldest_s]:
                del self._seen_at_s[entry], self._peers[entry]
            if set(self._peers) != previous:
                self._is_first.clear()
            if now_s - self._counted_at_s >= STABILIZATION_S:
                self._counted_at_s = now_s
                self._base_count, self._previous_count = self._previous_count, len(self._peers)

    def count(self) -> int:
        """Return the number of entries, including this one."""
        with self._lock:
            return max(1, len(self._peers))

    def known(self) -> tuple[Peer, ...]:
        """Return the entries, each in the incarnation that was live last."""
        with self._lock:
            return tuple(self._peers.values())

    def is_stable(self) -> bool:
        """Return whether the count has hardly grown recently, so that few entries are unknown."""
        with self._lock:
            base_count = self._base_count
            return base_count is not None and len(self._peers) <= GROWTH_MAX * base_count

    def stable_count(self) -> int | None:
        """Return the number of entries, or None while others may be unknown."""
        return self.count() if self.is_stable() else None

    def is_among_first(self, key: str, count: int) -> bool:
        """Return whether this entry is among the first `count` in a key's rendezvous order."""
        with self._lock:
            if count >= len(self._peers):
                return True
            known = self._is_first.get((key, count))
            if known is None:
                first = first_owners(key, self._peers.values(), count)
                known = self._is_first[key, count] = any(each.id == self._myself for each in first)
            return known
