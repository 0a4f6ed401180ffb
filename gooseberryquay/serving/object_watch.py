"""Follow the objects of one kind through outages of the platform's store."""

import random
import threading
import time
from collections.abc import Callable
from typing import Protocol

from result import Err, Ok

from gooseberryquay.serving.decision_log import DecisionLog
from gooseberryquay.serving.object_source import (
    Listing,
    ObjectSource,
    SourceFailure,
    StoredObject,
)

__all__ = ["ObjectReader", "ObjectWatch"]

# A call that a silent store swallowed must not hold up the watch for long.
OUTAGE_WAIT_S = 2.0
# What a peer has seen is on its way here for a while.
PEER_LEAD_S = 0.5
# A renewed call has its own time-out, and a large answer takes its time on a slow link.
RENEW_PERIOD_S = 2.5
# Beyond the lead, the renewed call should have been answered. A single cut call is made again
# within this time.
UNSOUND_AFTER_S = 0.75
# Doubles with each failure.
RETRY_MIN_S = 0.1


class ObjectReader(Protocol):
    """Take in what the store holds of one kind."""

    def read_listing(self, listing: Listing, is_after_outage: bool) -> None:
        """Take in all objects."""

    def read_change(self, changed: StoredObject, is_after_outage: bool) -> None:
        """Take in one changed or deleted object."""


class ObjectWatch:
    """Keep one reader up to date in a thread of its own."""

    def __init__(
        self,
        *,
        kind: str,
        source: ObjectSource,
        reader: ObjectReader,
        log: DecisionLog,
        wait_s: Callable[[], float],
        pause_s: float,
        outage_grace_s: float,
        retry_max_s: float,
        on_regained: Callable[["ObjectWatch"], None] = lambda _watch: None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:

        self._source = source
        self._reader = reader
        self._log = log
        self._longest_wait_s = wait_s
        self._pause_s = pause_s
        self._outage_grace_s = outage_grace_s
        self._retry_max_s = retry_max_s
        self._woken = threading.Event()
        self._on_regained = on_regained
        self._clock = clock
        self._peer_revision = 0
        # Set by `renew`: a list comes at once, and is smaller than many changes of one object.
        self._is_checking = False
        self._behind_since_s = 0.0
        self._renewed_at_s = float("-inf")
        self.kind = kind
        # The newest change of this kind, which peers compare with what they know. A deleted object
        # may bear its former revision, so that the store's own counts for it.
        self.seen_revision = 0
        # How far the store was read, whether it held changes of this kind or not.
        self.known_revision = 0
        self._revision: int | None = None
        self._failures = 0
        self._failing_since_s = 0.0
        self._regained_at_s: float | None = None
        self.confirmed_at_s: float | None = None
        self._stopped = threading.Event()

    def start(self) -> None:
        """Follow in the background."""
        threading.Thread(target=self._run, name=f"watch-{self.kind}", daemon=True).start()

    def stop(self) -> None:
        """End after the call in progress."""
        self._stopped.set()
        self._woken.set()

    def is_current(self) -> bool:
        """Tell whether calls succeed, the last one lately, and bring what peers have."""
        if self.confirmed_at_s is None:
            return False
        now_s = self._clock()
        if self._failures and now_s - self._failing_since_s > UNSOUND_AFTER_S:
            return False
        if self._is_behind() and now_s - self._behind_since_s > UNSOUND_AFTER_S:
            return False
        return now_s - self.confirmed_at_s < self._longest_wait_s() + OUTAGE_WAIT_S

    def resync(self, is_behind: bool = False) -> None:
        """Give up a pause or a call that began before now, as it may never be answered."""
        self._woken.set()
        if self._revision is not None:
            self._is_checking = True
            self._source.interrupt(is_behind)

    def record_peer_revision(self, revision: int) -> None:
        """Renew the watch when a peer has long seen what it has not brought."""
        now_s = self._clock()
        was_behind = self._is_behind()
        self._peer_revision = max(self._peer_revision, revision)
        if not self._is_behind():
            return
        if not was_behind:
            self._behind_since_s = now_s
        has_lead = now_s - self._behind_since_s <= PEER_LEAD_S
        if not has_lead and now_s - self._renewed_at_s > RENEW_PERIOD_S:
            self._renewed_at_s = now_s
            self._log.belief(
                "watch is behind a peer",
                part=self.kind,
                own_revision=self.known_revision,
                peer_revision=self._peer_revision,
            )
            self.resync(is_behind=True)

    def _is_behind(self) -> bool:
        return self._peer_revision > self.known_revision

    def _run(self) -> None:
        while not self._stopped.is_set():
            wait_s = self.step()
            if wait_s > 0.0:
                self._woken.wait(wait_s)
                self._woken.clear()

    def step(self) -> float:
        """Make one call and give the pause before the next."""
        if self._revision is None or self._is_checking:
            return self._read_list()
        return self._read_changes(self._revision)

    def _read_list(self) -> float:
        match self._source.list():
            case Err(SourceFailure.INTERRUPTED):
                return 0.0
            case Err(failure):
                return self._failed(failure)
            case Ok(listing):
                self._succeeded()
                self._saw(listing.objects, listing.store_revision)
                self._reader.read_listing(listing, self._is_after_outage())
                self._is_checking = False
                self._revision = listing.revision
                return 0.0

    def _read_changes(self, revision: int) -> float:
        wait_s = self._wait_s()
        match self._source.watch(revision, wait_s):
            case Err(SourceFailure.INTERRUPTED):
                return 0.0
            case Err(failure):
                return self._failed(failure)
            case Ok(changes):
                self._succeeded()
                self._saw(changes.objects, changes.store_revision)
                for changed in changes.objects:
                    self._reader.read_change(changed, self._is_after_outage())
                self._revision = max(revision, changes.revision)
                return self._pause_s

    def _wait_s(self) -> float:
        return OUTAGE_WAIT_S if self._failures else self._longest_wait_s()

    def _saw(self, objects: tuple[StoredObject, ...], store_revision: int) -> None:
        newest = max((each.revision for each in objects), default=0)
        if any(each.is_deleted for each in objects):
            newest = max(newest, store_revision)
        self.known_revision = max(self.known_revision, newest, store_revision)
        self.seen_revision = max(self.seen_revision, newest)

    def _is_after_outage(self) -> bool:
        if self._regained_at_s is None:
            return False
        return self._clock() - self._regained_at_s < self._outage_grace_s

    def _succeeded(self) -> None:
        now_s = self._clock()
        self.confirmed_at_s = now_s
        if self._failures:
            self._regained_at_s = now_s
            self._log.dependency("store", self.kind, is_lost=False, failures=self._failures)
            self._on_regained(self)
        self._failures = 0

    def _failed(self, failure: SourceFailure) -> float:
        if failure is SourceFailure.HISTORY_GONE:
            self._log.belief("history gone", kind=self.kind, revision=self._revision)
            self._revision = None
            return 0.0
        self._failures += 1
        if self._failures == 1:
            self._failing_since_s = self._clock()
            self._log.dependency("store", self.kind, is_lost=True, reason=failure.value)
        ceiling_s = min(self._retry_max_s, RETRY_MIN_S * 2.0 ** min(self._failures, 8))
        return random.uniform(ceiling_s / 2.0, ceiling_s)
