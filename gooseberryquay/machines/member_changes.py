"""Membership changes that are piggybacked on a bounded number of heartbeats."""

import math
import threading
from dataclasses import dataclass

from gooseberryquay.ids import EntryId
from gooseberryquay.machines.member_messages import MemberRecord

__all__ = ["ChangeQueue"]

MAX_CHANGES_PER_MESSAGE = 6
REDUCED_CHANGES_PER_MESSAGE = 2
SENDS_PER_DECADE = 6


@dataclass
class _Change:
    record: MemberRecord
    sent: int = 0


class ChangeQueue:
    """Queue the latest change of each member until it has been sent often enough."""

    def __init__(self) -> None:
        self._changes: dict[EntryId, _Change] = {}
        self._lock = threading.Lock()

    def add(self, record: MemberRecord) -> None:
        """Queue a change, replacing an older one of the same member."""
        with self._lock:
            self._changes[record.id] = _Change(record)

    def next_batch(self, members: int, *, is_reduced: bool = False) -> tuple[MemberRecord, ...]:
        """Return the changes for one message, least often sent first."""
        most = REDUCED_CHANGES_PER_MESSAGE if is_reduced else MAX_CHANGES_PER_MESSAGE
        limit = SENDS_PER_DECADE * math.ceil(math.log10(members + 2))
        with self._lock:
            ordered = sorted(self._changes.values(), key=lambda change: change.sent)
            batch = ordered[:most]
            for change in batch:
                change.sent += 1
                if change.sent >= limit:
                    del self._changes[change.record.id]
        return tuple(change.record for change in batch)

    def count(self) -> int:
        """Return the number of pending changes."""
        return len(self._changes)

    def clear(self) -> None:
        """Drop all changes."""
        with self._lock:
            self._changes.clear()
