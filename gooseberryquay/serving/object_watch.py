"""Watch the objects of one kind across outages of the platform's store."""

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

# A watch counts as current for this long after its answer was due.
OVERDUE_S = 2.0
WAIT_SHARE_MIN = 0.7
# A change that a peer has read may take this long to reach this entry.
PROPAGATION_GRACE_S = 0.5
# A call made by a resync has its own timeout, and a large response is slow on a slow link.
RESYNC_INTERVAL_S = 2.5
# Includes the propagation grace and the time in which the resync should have been answered. A
# single interrupted call is retried within this time.
STALE_AFTER_S = 0.75
# A shorter gap between two reads is not worth a line.
LOGGED_SILENCE_S = 0.5
# The delay doubles with each failure.
RETRY_MIN_S = 0.1


class ObjectReader(Protocol):
    """Receive the objects of one kind in the store."""

    def read_listing(self, listing: Listing, is_after_outage: bool) -> None:
        """Replace all objects."""

    def read_change(self, changed: StoredObject, is_after_outage: bool) -> None:
        """Apply one changed or deleted object."""


class ObjectWatch:
    """Keep one reader up to date from a background thread."""

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
        self._max_wait_s = wait_s
        self._pause_s = pause_s
        self._outage_grace_s = outage_grace_s
        self._retry_max_s = retry_max_s
        self._wake_up = threading.Event()
        self._on_regained = on_regained
        self._clock = clock
        self._peer_revision = 0
        # Set by `resync`. A list is answered immediately and is smaller than many changes of one
        # object.
        self._needs_listing = False
        self._behind_since_s = 0.0
        self._resynced_at_s = float("-inf")
        self.kind = kind
        # Newest revision of this kind, which peers compare with their own. A deleted object may
        # carry its previous revision, so the revision of the store is used for it.
        self.seen_revision = 0
        # Revision up to which the store was read, including changes of other kinds.
        self.known_revision = 0
        self._revision: int | None = None
        self._failures = 0
        self._failing_since_s = 0.0
        self._recovered_at_s: float | None = None
        self.last_success_at_s: float | None = None
        self._stopped = threading.Event()

    def start(self) -> None:
        """Start the background thread."""
        threading.Thread(target=self._run, name=f"watch-{self.kind}", daemon=True).start()

    def stop(self) -> None:
        """Stop after the call in progress."""
        self._stopped.set()
        self._wake_up.set()

    def is_current(self) -> bool:
        """Return whether calls succeed, the last success is recent, and peers are not ahead."""
        if self.last_success_at_s is None:
            return False
        now_s = self._clock()
        if self._failures and now_s - self._failing_since_s > STALE_AFTER_S:
            return False
        if self.is_behind_peers() and now_s - self._behind_since_s > STALE_AFTER_S:
            return False
        return now_s - self.last_success_at_s < self._max_wait_s() + OVERDUE_S

    def resync(self, is_behind: bool = False) -> None:
        """End the current delay, interrupt the call in progress and list the objects anew.

        The call in progress may never be answered.
        """
        self._wake_up.set()
        if self._revision is not None:
            self._needs_listing = True
            self._source.interrupt(is_behind)

    def record_peer_revision(self, revision: int) -> None:
        """Resync the watch if a peer has been ahead for longer than the propagation grace."""
        now_s = self._clock()
        was_behind = self.is_behind_peers()
        self._peer_revision = max(self._peer_revision, revision)
        if not self.is_behind_peers():
            return
        if not was_behind:
            self._behind_since_s = now_s
        is_within_grace = now_s - self._behind_since_s <= PROPAGATION_GRACE_S
        if not is_within_grace and now_s - self._resynced_at_s > RESYNC_INTERVAL_S:
            self._resynced_at_s = now_s
            self._log.belief(
                "watch is behind a peer",
                part=self.kind,
                own_revision=self.known_revision,
                peer_revision=self._peer_revision,
            )
            self.resync(is_behind=True)

    def is_behind_peers(self) -> bool:
        """Return whether another entry has seen a newer revision."""
        return self._peer_revision > self.known_revision

    def _run(self) -> None:
        while not self._stopped.is_set():
            wait_s = self.step_safely()
            if wait_s > 0.0:
                self._wake_up.wait(wait_s)
                self._wake_up.clear()

    def step_safely(self) -> float:
        """Make one step; what goes wrong in it is logged, and the objects are listed anew."""
        try:
            return self.step()
        except Exception as error:
            self._log.error("reading objects failed", error, part=self.kind)
            self._revision = None
            return self._record_failure(SourceFailure.MALFORMED)

    def step(self) -> float:
        """Make one call and return the delay in seconds before the next one."""
        if self._revision is None or self._needs_listing:
            return self._read_list()
        return self._read_changes(self._revision)

    def _read_list(self) -> float:
        match self._source.list():
            case Err(SourceFailure.INTERRUPTED):
                return 0.0
            case Err(failure):
                return self._record_failure(failure)
            case Ok(listing):
                silent_s = self._record_success()
                self._record_revisions(listing.objects, listing.store_revision)
                self._log_silence(silent_s, listing.origin)
                self._reader.read_listing(listing, self._is_after_outage())
                self._needs_listing = False
                self._revision = listing.revision
                return 0.0

    def _read_changes(self, revision: int) -> float:
        wait_s = self._wait_s()
        match self._source.watch(revision, wait_s):
            case Err(SourceFailure.INTERRUPTED):
                return 0.0
            case Err(failure):
                return self._record_failure(failure)
            case Ok(changes):
                silent_s = self._record_success()
                self._record_revisions(changes.objects, changes.store_revision)
                self._log_silence(silent_s, changes.origin)
                for changed in changes.objects:
                    self._reader.read_change(changed, self._is_after_outage())
                self._revision = max(revision, changes.revision)
                return self._pause_s

    def _wait_s(self) -> float:
        """Return how long to wait for changes; after a failure, ask for an answer at once.

        Entries that have read the same change would otherwise also wait until the same moment.
        """
        if self._failures:
            return 0.0
        return self._max_wait_s() * random.uniform(WAIT_SHARE_MIN, 1.0)

    def _record_revisions(self, objects: tuple[StoredObject, ...], store_revision: int) -> None:
        newest = max((each.revision for each in objects), default=0)
        if any(each.is_deleted for each in objects):
            newest = max(newest, store_revision)
        self.known_revision = max(self.known_revision, newest, store_revision)
        self.seen_revision = max(self.seen_revision, newest)

    def _is_after_outage(self) -> bool:
        if self._recovered_at_s is None:
            return False
        return self._clock() - self._recovered_at_s < self._outage_grace_s

    def _log_silence(self, silent_s: float, origin: str) -> None:
        if silent_s <= self._max_wait_s() + LOGGED_SILENCE_S:
            return
        self._log.belief(
            "objects read after silence",
            part=self.kind,
            origin=origin,
            silent_s=round(silent_s, 3),
            own_revision=self.known_revision,
            peer_revision=self._peer_revision,
        )

    def _record_success(self) -> float:
        """Record that a call succeeded; return the seconds since the last one that did."""
        now_s = self._clock()
        previous_s = self.last_success_at_s
        self.last_success_at_s = now_s
        if self._failures:
            self._recovered_at_s = now_s
            self._log.dependency("store", self.kind, is_lost=False, failures=self._failures)
            self._on_regained(self)
        self._failures = 0
        return now_s - previous_s if previous_s is not None else 0.0

    def _record_failure(self, failure: SourceFailure) -> float:
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
