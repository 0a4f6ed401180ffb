"""Member states as believed by one entry, and the rules for merging records."""

import threading
import time
from collections import deque
from collections.abc import Callable

import xxhash

from gooseberryquay.ids import EntryId
from gooseberryquay.machines.member_changes import ChangeQueue
from gooseberryquay.machines.member_messages import MemberRecord, MemberState
from gooseberryquay.machines.member_timing import MembershipTiming
from gooseberryquay.machines.peer import Peer

__all__ = ["MemberTable"]

MAX_REMOVED = 512
GRACEFUL_STATES = frozenset({MemberState.LEAVING, MemberState.LEFT})


class MemberTable:
    """Table with one record for each member; thread-safe."""

    def __init__(
        self,
        this_entry: MemberRecord,
        changes: ChangeQueue,
        timing: MembershipTiming,
        clock: Callable[[], float] = time.monotonic,
        on_leave: Callable[[EntryId], None] = lambda _entry: None,
    ) -> None:
        self._this_entry = this_entry
        self._changes = changes
        self._timing = timing
        self._clock = clock
        self._on_leave = on_leave
        self._leaving: deque[EntryId] = deque()
        self._records: dict[EntryId, MemberRecord] = {}
        self._suspected_until_s: dict[EntryId, float] = {}
        self._removed_at_s: dict[EntryId, float] = {}
        self._live: tuple[Peer, ...] | None = None
        self._digest: str | None = None
        self._is_incarnation_frozen = False
        self._superseded = threading.Event()
        self._lock = threading.RLock()

    @property
    def this_entry(self) -> MemberRecord:
        """Return the record of this entry."""
        return self._this_entry

    @property
    def digest(self) -> str:
        """Return a digest of the present incarnations and their leaving state."""
        with self._lock:
            if self._digest is None:
                self._digest = self._compute_digest()
            return self._digest

    def is_superseded(self) -> bool:
        """Return whether a later incarnation of this entry is known."""
        return self._superseded.is_set()

    def live(self) -> tuple[Peer, ...]:
        """Return every member that is running and not leaving."""
        with self._lock:
            if self._live is None:
                self._live = self._list_live()
            return self._live

    def get(self, member: EntryId) -> MemberRecord | None:
        """Return the record of another member, or None if it is unknown."""
        with self._lock:
            return self._records.get(member)

    def present(self) -> tuple[MemberRecord, ...]:
        """Return the records of all other members that are believed to be running."""
        with self._lock:
            return tuple(each for each in self._records.values() if each.is_present())

    def removed(self) -> tuple[MemberRecord, ...]:
        """Return the records of the members that were removed without leaving."""
        with self._lock:
            return tuple(
                each for each in self._records.values() if each.state is MemberState.REMOVED
            )

    def merge(self, record: MemberRecord, *, should_gossip: bool = True) -> None:
        """Merge a record from another member; gossip it with heartbeats if it is new."""
        self._merge(record, should_gossip=should_gossip)
        self._notify_leaving()

    def _merge(self, record: MemberRecord, *, should_gossip: bool) -> None:
        with self._lock:
            if record.id == self._this_entry.id:
                self._merge_own_record(record)
                return
            held = self._records.get(record.id)
            if held is None and not record.is_present():
                return
            if held is not None and record.order() <= held.order():
                return
            self._store(_downgrade_removal(held, record), should_gossip=should_gossip)

    def suspect(self, record: MemberRecord) -> None:
        """Suspect a member that did not respond, unless its record has changed meanwhile."""
        with self._lock:
            if self._records.get(record.id) != record:
                return
            match record.state:
                case MemberState.ALIVE:
                    self._store(record.in_state(MemberState.SUSPECT))
                case MemberState.LEAVING:
                    self._store(record.in_state(MemberState.LEFT))
                case _:
                    pass

    def expire(self) -> None:
        """Remove members whose suspicion has timed out, and forget old removals."""
        now_s = self._clock()
        with self._lock:
            for member, until_s in list(self._suspected_until_s.items()):
                if until_s <= now_s:
                    self._store(self._records[member].in_state(MemberState.REMOVED))
            self._forget(now_s)

    def restart_suspicions(self) -> None:
        """Restart the timeout of every suspected member."""
        with self._lock:
            until_s = self._suspicion_end_s()
            for member in self._suspected_until_s:
                self._suspected_until_s[member] = until_s

    def leave(self) -> None:
        """Mark this entry as leaving."""
        with self._lock:
            self._update_own_record(self._this_entry.refutation + 1, MemberState.LEAVING)

    def freeze_incarnation(self) -> None:
        """Stop adjusting the incarnation of this entry."""
        self._is_incarnation_frozen = True

    def _merge_own_record(self, record: MemberRecord) -> None:
        if record.incarnation > self._this_entry.incarnation:
            self._merge_other_incarnation(record)
        elif record.order() > self._this_entry.order():
            self._update_own_record(record.refutation + 1, self._this_entry.state)

    def _merge_other_incarnation(self, record: MemberRecord) -> None:
        """Exceed the incarnation of an earlier run whose clock was ahead, or be superseded."""
        if self._is_incarnation_frozen:
            self._superseded.set()
            return
        update = {"incarnation": record.incarnation + 1}
        self._this_entry = self._this_entry.model_copy(update=update)
        self._invalidate_caches()

    def _update_own_record(self, refutation: int, state: MemberState) -> None:
        update = {"refutation": refutation, "state": state}
        self._this_entry = self._this_entry.model_copy(update=update)
        self._changes.add(self._this_entry)
        self._invalidate_caches()

    def _store(self, record: MemberRecord, *, should_gossip: bool = True) -> None:
        self._queue_leave_notification(self._records.get(record.id), record)
        self._records[record.id] = record
        self._suspected_until_s.pop(record.id, None)
        self._removed_at_s.pop(record.id, None)
        if record.state is MemberState.SUSPECT:
            self._suspected_until_s[record.id] = self._suspicion_end_s()
        if not record.is_present():
            self._removed_at_s[record.id] = self._clock()
        if should_gossip:
            self._changes.add(record)
        self._invalidate_caches()

    def _queue_leave_notification(self, held: MemberRecord | None, record: MemberRecord) -> None:
        if record.state not in GRACEFUL_STATES:
            return
        is_same_incarnation = held is not None and held.incarnation == record.incarnation
        if held is None or not is_same_incarnation or held.state not in GRACEFUL_STATES:
            self._leaving.append(record.id)

    def _notify_leaving(self) -> None:
        """Call `on_leave` without holding the lock, as the callback may read this table."""
        while self._leaving:
            try:
                entry = self._leaving.popleft()
            except IndexError:
                return
            self._on_leave(entry)

    def _suspicion_end_s(self) -> float:
        return self._clock() + self._timing.suspicion_timeout_s(len(self.live()))

    def _forget(self, now_s: float) -> None:
        oldest_first = sorted(self._removed_at_s, key=self._removed_at_s.__getitem__)
        surplus = len(oldest_first) - MAX_REMOVED
        for position, member in enumerate(oldest_first):
            is_old = self._removed_at_s[member] + self._timing.removed_retention_s <= now_s
            if is_old or position < surplus:
                del self._removed_at_s[member]
                del self._records[member]

    def _invalidate_caches(self) -> None:
        self._live = None
        self._digest = None

    def _list_live(self) -> tuple[Peer, ...]:
        others = [each for each in self._records.values() if each.is_live()]
        own = [self._this_entry] if self._this_entry.is_live() or not others else []
        return tuple(each.peer() for each in (*own, *others))

    def _compute_digest(self) -> str:
        combined = 0
        for each in (self._this_entry, *self.present()):
            text = f"{each.id} {each.incarnation} {each.is_live()}"
            combined ^= xxhash.xxh3_64_intdigest(text.encode())
        return f"{combined:x}"


def _downgrade_removal(held: MemberRecord | None, record: MemberRecord) -> MemberRecord:
    """Treat the removal of a member believed alive as a suspicion.

    Otherwise each side of a healed partition would gossip its removals of the other side.
    """
    if record.state is not MemberState.REMOVED or held is None:
        return record
    if held.state is MemberState.ALIVE:
        return record.in_state(MemberState.SUSPECT)
    return record
