"""Keys that one entry has run, to decide during an outage whether a key may have run."""

import threading
import time
from collections import Counter, OrderedDict

from gooseberryquay.ids import EntryId, Incarnation
from gooseberryquay.machines.peer import Peer
from gooseberryquay.postings.records import RecordKey

__all__ = ["RecentRuns"]

ABSENCE_RETENTION_S = 3600.0
START_MARGIN_S = 0.01


class RecentRuns:
    """Record the keys run at this entry and the members that disappeared; thread-safe.

    Times are those of the wall clock, as they are compared with the creation times in keys, except
    for deadlines and blocks, which use the monotonic clock.
    """

    def __init__(self, keys_max: int, clock_skew_s: float) -> None:
        self._keys_max = keys_max
        self._clock_skew_s = clock_skew_s
        self._lock = threading.Lock()
        self._started_runs: OrderedDict[RecordKey, float] = OrderedDict()
        self._open_requests: Counter[RecordKey] = Counter()
        self._blocked_until_s: dict[RecordKey, float] = {}
        self._evicted_run_at_s = 0.0
        self._started_at_s = time.time()
        self._members: dict[EntryId, Incarnation] = {}
        self._missing_since_s: dict[EntryId, float] = {}
        self._last_gap_at_s = 0.0

    def begin_request(self, key: RecordKey) -> None:
        """Record that a request for the key is in progress at this entry."""
        with self._lock:
            self._open_requests[key] += 1

    def end_request(self, key: RecordKey) -> None:
        """Record that a request for the key has ended at this entry."""
        with self._lock:
            self._open_requests[key] -= 1
            if not self._open_requests[key]:
                del self._open_requests[key]

    def start_run(self, key: RecordKey, deadline_at_s: float) -> bool:
        """Wait while runs of the key are blocked, then record that the key is about to be sent.

        Return False and record nothing if the deadline passes first.
        """
        while True:
            with self._lock:
                blocked_s = self._blocked_until_s.get(key, 0.0) - time.monotonic()
                if blocked_s <= 0:
                    self._record_run(key)
                    return True
            if time.monotonic() + blocked_s >= deadline_at_s:
                return False
            time.sleep(blocked_s)

    def _record_run(self, key: RecordKey) -> None:
        self._started_runs.pop(key, None)
        self._started_runs[key] = time.time()
        while len(self._started_runs) > self._keys_max:
            _, started_at_s = self._started_runs.popitem(last=False)
            self._evicted_run_at_s = max(self._evicted_run_at_s, started_at_s)

    def confirm_not_run(
        self, key: RecordKey, created_at_s: float | None, own_requests: int, block_s: float
    ) -> bool:
        """Return whether the key was certainly not run; if so, block its runs here for a time.

        Without the block, another request with the same key could run before the refusal that
        relies on this result has reached its caller.
        """
        with self._lock:
            if not self._is_certainly_not_run(key, created_at_s, own_requests):
                return False
            now_s = time.monotonic()
            for old in [each for each, until_s in self._blocked_until_s.items() if until_s < now_s]:
                del self._blocked_until_s[old]
            self._blocked_until_s[key] = now_s + block_s
            return True

    def update_members(self, live: tuple[Peer, ...]) -> None:
        """Update the view of the live members.

        A member that disappeared may still be running behind a network partition and send keys;
        the previous incarnation of a member that restarted cannot.
        """
        now_s = time.time()
        seen = {peer.id: peer.incarnation for peer in live}
        with self._lock:
            for member, incarnation in self._members.items():
                if member not in seen:
                    self._missing_since_s[member] = now_s
                elif seen[member] != incarnation:
                    self._last_gap_at_s = now_s
            for member in seen:
                if self._missing_since_s.pop(member, None) and self._members.get(member) is None:
                    self._last_gap_at_s = now_s
            self._members = seen
            self._expire_absences(now_s)

    def _expire_absences(self, now_s: float) -> None:
        for member, missing_since_s in list(self._missing_since_s.items()):
            if missing_since_s < now_s - ABSENCE_RETENTION_S:
                del self._missing_since_s[member]
                self._last_gap_at_s = now_s

    def _is_certainly_not_run(
        self, key: RecordKey, created_at_s: float | None, own_requests: int
    ) -> bool:
        """Return whether the key was sent neither from here nor by a member that disappeared.

        This is never certain for a key without a creation time, as it may have been sent before
        the oldest recorded run. `own_requests` is how many of the requests in progress here are the
        querying request itself.
        """
        if key in self._started_runs or self._open_requests[key] > own_requests:
            return False
        if self._missing_since_s or created_at_s is None:
            return False
        # The clock of the caller, which created the key, may be ahead of the local clock.
        earliest_s = created_at_s - self._clock_skew_s
        last_gap_s = max(self._evicted_run_at_s, self._last_gap_at_s)
        return earliest_s >= self._started_at_s - START_MARGIN_S and last_gap_s < earliest_s
