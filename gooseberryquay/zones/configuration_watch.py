"""One entry's own view of the platform's configuration: watch, check or wait."""

import logging
import random
import threading
import time

from result import Err, Ok, Result

from gooseberryquay.contracts.declaration import Declaration
from gooseberryquay.ids import EntryId
from gooseberryquay.links.platform_client import PlatformClient, ReadFailure
from gooseberryquay.links.platform_messages import StoredObject
from gooseberryquay.machines.peer import Peers
from gooseberryquay.zones.configuration_document import CURRENT_KEY, ConfigurationDocument
from gooseberryquay.zones.configuration_spread import ConfigurationGossip
from gooseberryquay.zones.configuration_store import ConfigurationStore, parse_document
from gooseberryquay.zones.configuration_sync_timing import ConfigurationSyncTiming
from gooseberryquay.zones.local_configuration import NO_REVISION, NO_VERSION, LocalConfiguration
from gooseberryquay.zones.platform_reachability import PlatformReachability
from gooseberryquay.zones.watcher_choice import choose_watchers

__all__ = ["ConfigurationWatch"]

MAX_IDLE_WAIT_S = 0.25
MIN_RETRY_WAIT_S = 0.25
MAX_RETRY_WAIT_S = 2.0
JITTER = 0.2

_log = logging.getLogger(__name__)


class ConfigurationWatch:
    """Confirm the configuration with the platform: always as a watcher, else when it is due."""

    def __init__(
        self,
        link: PlatformClient,
        peers: Peers,
        held: LocalConfiguration,
        reachability: PlatformReachability,
        *,
        spread: ConfigurationGossip,
        base: Declaration,
        timing: ConfigurationSyncTiming,
        chooser: random.Random,
    ) -> None:
        self._link = link
        self._store = ConfigurationStore(link)
        self._peers = peers
        self._held = held
        self._reachability = reachability
        self._spread = spread
        self._base = base
        self._timing = timing
        self._chooser = chooser
        self._version = NO_VERSION
        self._seen_revision = NO_REVISION
        self._retry_wait_s = MIN_RETRY_WAIT_S
        self._due_age_s = 0.0
        self._hurried = threading.Event()
        self._is_settled = threading.Event()
        self._is_stopped = threading.Event()
        self._choose_due_age()

    def start(self) -> None:
        """Watch in the background."""
        threading.Thread(target=self._run, daemon=True).start()

    def stop(self) -> None:
        """Let the background thread end."""
        self._is_stopped.set()
        self._hurried.set()

    def is_settled(self) -> bool:
        """Tell whether the platform, or peers in its place, have told what is newest."""
        return self._is_settled.is_set()

    def hurry(self) -> None:
        """Ask the platform now rather than when it is due."""
        self._hurried.set()

    def _run(self) -> None:
        self._spread.ask_peers()
        while not self._is_stopped.is_set():
            self._reachability.see_members(self._live_ids)
            if self._is_watcher():
                self._ask(self._timing.watch_timeout_s)
            elif self._is_due():
                self._hurried.clear()
                self._ask(0.0)
            else:
                self._hurried.wait(MAX_IDLE_WAIT_S)

    def _live_ids(self) -> tuple[EntryId, ...]:
        return tuple(peer.id for peer in self._peers.live())

    def _is_watcher(self) -> bool:
        watchers = choose_watchers(self._peers.live(), self._timing.watcher_count)
        return self._peers.this_entry().id in watchers

    def _is_due(self) -> bool:
        return self._hurried.is_set() or self._held.confirmed_age_s() >= self._due_age_s

    def _choose_due_age(self) -> None:
        factor = self._chooser.uniform(1 - JITTER, 1 + JITTER)
        self._due_age_s = self._timing.freshness_bound_s / 2 * factor

    def _ask(self, timeout_s: float) -> None:
        self._take_version_from_peers()
        asked_at_s = time.monotonic()
        is_first = self._version == NO_VERSION
        answer = self._read(timeout_s)
        match answer:
            case Err(failure):
                _log.info("platform did not answer: %s", failure)
                self._reachability.mark(is_unreachable=True)
                self._settle_by_peers()
                self._wait_before_retry()
                return
            case Ok(None) if is_first:
                self._reachability.mark(is_unreachable=False)
                self._create()
            case Ok(None):
                self._confirm_unchanged(asked_at_s + timeout_s)
            case Ok(StoredObject() as stored):
                self._take_in(stored, asked_at_s)
        self._retry_wait_s = MIN_RETRY_WAIT_S
        self._choose_due_age()

    def _take_version_from_peers(self) -> None:
        known = self._held.offer_after(self._held.revision())
        if known.version > self._version:
            self._version = known.version
            self._seen_revision = known.revision

    def _read(self, timeout_s: float) -> Result[StoredObject | None, ReadFailure]:
        if self._version == NO_VERSION:
            return self._link.read(CURRENT_KEY)
        return self._link.watch(CURRENT_KEY, self._version, timeout_s)

    def _settle_by_peers(self) -> None:
        if self.is_settled():
            return
        has_answer = self._spread.ask_peers()
        if has_answer and self._held.current() is not None:
            self._is_settled.set()

    def _wait_before_retry(self) -> None:
        self._is_stopped.wait(self._retry_wait_s * self._chooser.uniform(1 - JITTER, 1 + JITTER))
        self._retry_wait_s = min(2 * self._retry_wait_s, MAX_RETRY_WAIT_S)

    def _confirm_unchanged(self, answered_after_s: float) -> None:
        self._reachability.mark(is_unreachable=False)
        self._held.confirm(self._seen_revision, time.monotonic() - answered_after_s)
        self._is_settled.set()

    def _take_in(self, stored: StoredObject, asked_at_s: float) -> None:
        self._reachability.mark(is_unreachable=False)
        document = parse_document(stored)
        if document is None:
            _log.error("%s version %s is unreadable", CURRENT_KEY, stored.version)
            self._wait_before_retry()
            return
        if document.revision < self._held.revision():
            _log.info("the answer has revision %s, older than the one held", document.revision)
            self._wait_before_retry()
            return
        if not self._adopt(document, stored.version):
            self._wait_before_retry()
            return
        self._version = max(self._version, stored.version)
        self._seen_revision = document.revision
        self._held.confirm(document.revision, time.monotonic() - asked_at_s)
        self._is_settled.set()

    def _adopt(self, document: ConfigurationDocument, version: int) -> bool:
        changes = document.changes_after(self._held.revision())
        if changes is not None and self._held.current() is not None:
            self._held.apply(changes, version)
            return True
        match self._store.complete(document):
            case Ok(configuration):
                self._held.adopt(configuration, version)
                return True
            case Err(failure):
                _log.info("snapshot could not be read: %s", failure)
                return False

    def _create(self) -> None:
        has_asked = self._spread.ask_peers()
        if self._held.current() is not None:
            _log.warning("the platform has no configuration, but one is in force here")
            self._wait_before_retry()
            return
        _log.info("no configuration exists, peers asked: %s", has_asked)
        match self._store.create(self._base, author=self._peers.this_entry().id):
            case Ok(configuration):
                self._held.adopt(configuration)
                self._is_settled.set()
            case Err(failure):
                _log.info("the first configuration was not created here: %s", failure)
                self._wait_before_retry()
