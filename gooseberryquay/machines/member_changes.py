"""Recent changes that are sent along with heartbeats a bounded number of times."""

import math
import threading
from dataclasses import dataclass

from gooseberryquay.ids import EntryId
from gooseberryquay.machines.member_messages import MemberRecord

__all__ = ["ChangeQueue"]

MAX_CHANGES_PER_MESSAGE = 6
FEW_CHANGES_PER_MESSAGE = 2
SENDS_PER_DECADE = 6


@dataclass
class _Change:
    record: MemberRecord
    sent: int = 0


class ChangeQueue:
    """Hold the newest change of each member until it was sent often enough."""

    def __init__(self) -> None:
        self._changes: dict[EntryId, _Change] = {}
        self._lock = threading.Lock()

    def add(self, record: MemberRecord) -> None:
        """Replace what was to be sent about a member."""
        with self._lock:
            self._changes[record.id] = _Change(record)

    def next_batch(self, members: int, *, is_short: bool = False) -> tuple[MemberRecord, ...]:
        """Give the changes for one message, the least sent first."""
        most = FEW_CHANGES_PER_MESSAGE if is_short else MAX_CHANGES_PER_MESSAGE
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
        """Give the number of changes that are left to be sent."""
        return len(self._changes)

    def clear(self) -> None:
        """Drop all changes."""
        with self._lock:
            self._changes.clear()
