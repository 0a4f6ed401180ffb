"""What one entry can testify about keys while the platform cannot be asked."""

import threading
import time
from collections import Counter, OrderedDict

from gooseberryquay.ids import EntryId, Incarnation
from gooseberryquay.machines.peer import Peer
from gooseberryquay.postings.records import RecordKey

__all__ = ["RecentRuns"]

ABSENCE_MEMORY_S = 3600.0
START_MARGIN_S = 0.01


class RecentRuns:
    """Remember the keys tried here and the members that went away; safe for use by many threads.

    Times are of the wall clock, since they are compared with the times that keys carry.
    """

    def __init__(self, keys_max: int, clock_skew_s: float) -> None:
        self._keys_max = keys_max
        self._clock_skew_s = clock_skew_s
        self._lock = threading.Lock()
        self._tried: OrderedDict[RecordKey, float] = OrderedDict()
        self._open: Counter[RecordKey] = Counter()
        self._held_until_s: dict[RecordKey, float] = {}
        self._forgotten_at_s = 0.0
        self._started_at_s = time.time()
        self._members: dict[EntryId, Incarnation] = {}
        self._gone_at_s: dict[EntryId, float] = {}
        self._gap_at_s = 0.0

    def begin(self, key: RecordKey) -> None:
        """Note that a request for the key is under way here."""
        with self._lock:
            self._open[key] += 1

    def end(self, key: RecordKey) -> None:
        """Note that a request for the key has ended here."""
        with self._lock:
            self._open[key] -= 1
            if not self._open[key]:
                del self._open[key]

    def start_run(self, key: RecordKey, deadline_at_s: float) -> bool:
        """Note that the key is about to be sent from here, once no testimony holds it.

        False where the deadline, of the monotonic clock, comes first; nothing is noted then.
        """
        while True:
            with self._lock:
                held_s = self._held_until_s.get(key, 0.0) - time.monotonic()
                if held_s <= 0:
                    self._note_run(key)
                    return True
            if time.monotonic() + held_s >= deadline_at_s:
                return False
            time.sleep(held_s)

    def _note_run(self, key: RecordKey) -> None:
        self._tried.pop(key, None)
        self._tried[key] = time.time()
        while len(self._tried) > self._keys_max:
            _, tried_at_s = self._tried.popitem(last=False)
            self._forgotten_at_s = max(self._forgotten_at_s, tried_at_s)

    def exclude_run(
        self, key: RecordKey, created_at_s: float | None, own_open: int, hold_s: float
    ) -> bool:
        """Testify that the key was not run, and hold back its runs here for a time.

        Without the hold a request for the same key could run before the refusal that rests on the
        testimony has reached its caller.
        """
        with self._lock:
            if not self._can_exclude(key, created_at_s, own_open):
                return False
            now_s = time.monotonic()
            for old in [each for each, until_s in self._held_until_s.items() if until_s < now_s]:
                del self._held_until_s[old]
            self._held_until_s[key] = now_s + hold_s
            return True

    def observe(self, live: tuple[Peer, ...]) -> None:
        """Take in the members that are live now.

        A member that is gone may still run, cut off from here; one that came back as a new run
        does not.
        """
        now_s = time.time()
        seen = {peer.id: peer.incarnation for peer in live}
        with self._lock:
            for member, incarnation in self._members.items():
                if member not in seen:
                    self._gone_at_s[member] = now_s
                elif seen[member] != incarnation:
                    self._gap_at_s = now_s
            for member in seen:
                if self._gone_at_s.pop(member, None) and self._members.get(member) is None:
                    self._gap_at_s = now_s
            self._members = seen
            self._forget_old_absences(now_s)

    def _forget_old_absences(self, now_s: float) -> None:
        for member, gone_at_s in list(self._gone_at_s.items()):
            if gone_at_s < now_s - ABSENCE_MEMORY_S:
                del self._gone_at_s[member]
                self._gap_at_s = now_s

    def _can_exclude(self, key: RecordKey, created_at_s: float | None, own_open: int) -> bool:
        """Tell whether the key was neither sent from here nor by a member that went away.

        A key without a creation time may have been sent before anything that is remembered.
        `own_open` is how many of the requests under way here are the one that asks.
        """
        if key in self._tried or self._open[key] > own_open:
            return False
        if self._gone_at_s or created_at_s is None:
            return False
        # The caller's clock may be ahead of the one that the other times are from.
        earliest_s = created_at_s - self._clock_skew_s
        last_gap_s = max(self._forgotten_at_s, self._gap_at_s)
        return earliest_s >= self._started_at_s - START_MARGIN_S and last_gap_s < earliest_s
