"""What one entry believes of all others, and the rules by which reports change it."""

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

MAX_REMEMBERED = 512
ORDERLY_STATES = frozenset({MemberState.LEAVING, MemberState.LEFT})


class MemberTable:
    """Hold a record of each member; safe for use by many threads."""

    def __init__(
        self,
        this_entry: MemberRecord,
        changes: ChangeQueue,
        timing: MembershipTiming,
        clock: Callable[[], float] = time.monotonic,
        on_leave: Callable[[EntryId], None] = lambda _entry: None,
    ) -> None:
        self._myself = this_entry
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
        self._has_begun = False
        self._superseded = threading.Event()
        self._lock = threading.RLock()

    @property
    def this_entry(self) -> MemberRecord:
        """Give this entry's own record."""
        return self._myself

    @property
    def digest(self) -> str:
        """Give a digest of the runs that are present and of which of them are leaving."""
        with self._lock:
            if self._digest is None:
                self._digest = self._combine_present()
            return self._digest

    def is_superseded(self) -> bool:
        """Tell whether a later run with this entry's id was heard of."""
        return self._superseded.is_set()

    def live(self) -> tuple[Peer, ...]:
        """Give every member that runs and is not leaving."""
        with self._lock:
            if self._live is None:
                self._live = self._list_live()
            return self._live

    def get(self, member: EntryId) -> MemberRecord | None:
        """Give the record of another member."""
        with self._lock:
            return self._records.get(member)

    def present(self) -> tuple[MemberRecord, ...]:
        """Give the records of the others that are believed to run."""
        with self._lock:
            return tuple(each for each in self._records.values() if each.is_present())

    def removed(self) -> tuple[MemberRecord, ...]:
        """Give the records of the members that were removed without having left."""
        with self._lock:
            return tuple(
                each for each in self._records.values() if each.state is MemberState.REMOVED
            )

    def merge(self, record: MemberRecord, *, is_news: bool = True) -> None:
        """Take in a record from another member; news is sent on with heartbeats."""
        self._merge(record, is_news=is_news)
        self._tell_leaving()

    def _merge(self, record: MemberRecord, *, is_news: bool) -> None:
        with self._lock:
            if record.id == self._myself.id:
                self._merge_about_myself(record)
                return
            held = self._records.get(record.id)
            if held is None and not record.is_present():
                return
            if held is not None and record.order() <= held.order():
                return
            self._store(_as_far_as_believed(held, record), is_news=is_news)

    def suspect(self, record: MemberRecord) -> None:
        """Note that a member did not answer, unless more is known of it by now."""
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
        """Remove members that were suspected too long, and forget old removals."""
        now_s = self._clock()
        with self._lock:
            for member, until_s in list(self._suspected_until_s.items()):
                if until_s <= now_s:
                    self._store(self._records[member].in_state(MemberState.REMOVED))
            self._forget(now_s)

    def restart_suspicions(self) -> None:
        """Give every suspected member its whole time to refute again."""
        with self._lock:
            until_s = self._suspicion_end_s()
            for member in self._suspected_until_s:
                self._suspected_until_s[member] = until_s

    def leave(self) -> None:
        """State that this entry is leaving."""
        with self._lock:
            self._renew_myself(self._myself.refutation + 1, MemberState.LEAVING)

    def begin(self) -> None:
        """Keep the own incarnation from now on."""
        self._has_begun = True

    def _merge_about_myself(self, record: MemberRecord) -> None:
        if record.incarnation > self._myself.incarnation:
            self._merge_about_other_run(record)
        elif record.order() > self._myself.order():
            self._renew_myself(record.refutation + 1, self._myself.state)

    def _merge_about_other_run(self, record: MemberRecord) -> None:
        """Follow on a former run whose clock was ahead, or give way to a later run."""
        if self._has_begun:
            self._superseded.set()
            return
        update = {"incarnation": record.incarnation + 1}
        self._myself = self._myself.model_copy(update=update)
        self._note_change()

    def _renew_myself(self, refutation: int, state: MemberState) -> None:
        update = {"refutation": refutation, "state": state}
        self._myself = self._myself.model_copy(update=update)
        self._changes.add(self._myself)
        self._note_change()

    def _store(self, record: MemberRecord, *, is_news: bool = True) -> None:
        self._note_leaving(self._records.get(record.id), record)
        self._records[record.id] = record
        self._suspected_until_s.pop(record.id, None)
        self._removed_at_s.pop(record.id, None)
        if record.state is MemberState.SUSPECT:
            self._suspected_until_s[record.id] = self._suspicion_end_s()
        if not record.is_present():
            self._removed_at_s[record.id] = self._clock()
        if is_news:
            self._changes.add(record)
        self._note_change()

    def _note_leaving(self, held: MemberRecord | None, record: MemberRecord) -> None:
        if record.state not in ORDERLY_STATES:
            return
        is_same_run = held is not None and held.incarnation == record.incarnation
        if held is None or not is_same_run or held.state not in ORDERLY_STATES:
            self._leaving.append(record.id)

    def _tell_leaving(self) -> None:
        """Tell of leaving entries without the lock, as the listener may ask this table."""
        while self._leaving:
            try:
                entry = self._leaving.popleft()
            except IndexError:
                return
            self._on_leave(entry)

    def _suspicion_end_s(self) -> float:
        return self._clock() + self._timing.suspicion_for_s(len(self.live()))

    def _forget(self, now_s: float) -> None:
        oldest_first = sorted(self._removed_at_s, key=self._removed_at_s.__getitem__)
        surplus = len(oldest_first) - MAX_REMEMBERED
        for position, member in enumerate(oldest_first):
            is_old = self._removed_at_s[member] + self._timing.remembered_s <= now_s
            if is_old or position < surplus:
                del self._removed_at_s[member]
                del self._records[member]

    def _note_change(self) -> None:
        self._live = None
        self._digest = None

    def _list_live(self) -> tuple[Peer, ...]:
        others = [each for each in self._records.values() if each.is_live()]
        own = [self._myself] if self._myself.is_live() or not others else []
        return tuple(each.peer() for each in (*own, *others))

    def _combine_present(self) -> str:
        combined = 0
        for each in (self._myself, *self.present()):
            text = f"{each.id} {each.incarnation} {each.is_live()}"
            combined ^= xxhash.xxh3_64_intdigest(text.encode())
        return f"{combined:x}"


def _as_far_as_believed(held: MemberRecord | None, record: MemberRecord) -> MemberRecord:
    """Take a removal as a suspicion where nothing was known against the member.

    Else a partition that heals would spread each side's removals of the other.
    """
    if record.state is not MemberState.REMOVED or held is None:
        return record
    if held.state is MemberState.ALIVE:
        return record.in_state(MemberState.SUSPECT)
    return record
