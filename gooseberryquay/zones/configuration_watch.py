"""Direct confirmation of the configuration with the platform by one entry."""

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
from gooseberryquay.zones.configuration_gossip import ConfigurationGossip
from gooseberryquay.zones.configuration_store import ConfigurationStore, parse_document
from gooseberryquay.zones.configuration_sync_timing import ConfigurationSyncTiming
from gooseberryquay.zones.local_configuration import NO_REVISION, NO_VERSION, LocalConfiguration
from gooseberryquay.zones.platform_reachability import PlatformReachability
from gooseberryquay.zones.watcher_choice import choose_watchers

__all__ = ["ConfigurationWatch"]

MAX_IDLE_WAIT_S = 0.25
MIN_RETRY_WAIT_S = 0.25
MAX_RETRY_WAIT_S = 0.5
JITTER = 0.2

_log = logging.getLogger(__name__)


class ConfigurationWatch:
    """Confirm the configuration with the platform, by long polls or periodic checks.

    An entry that is elected as a watcher polls all the time, any other one when a check is due.
    """

    def __init__(
        self,
        client: PlatformClient,
        peers: Peers,
        local: LocalConfiguration,
        reachability: PlatformReachability,
        *,
        gossip: ConfigurationGossip,
        base: Declaration,
        timing: ConfigurationSyncTiming,
        rng: random.Random,
    ) -> None:
        self._client = client
        self._store = ConfigurationStore(client)
        self._peers = peers
        self._local = local
        self._reachability = reachability
        self._gossip = gossip
        self._base = base
        self._timing = timing
        self._rng = rng
        self._version = NO_VERSION
        self._seen_revision = NO_REVISION
        self._retry_wait_s = MIN_RETRY_WAIT_S
        self._check_due_age_s = 0.0
        self._check_requested = threading.Event()
        self._is_synced = threading.Event()
        self._is_stopped = threading.Event()
        self._choose_check_due_age()

    def start(self) -> None:
        """Start watching in the background."""
        threading.Thread(target=self._run, daemon=True).start()

    def stop(self) -> None:
        """Signal the background thread to end."""
        self._is_stopped.set()
        self._check_requested.set()

    def is_synced(self) -> bool:
        """Return whether the newest revision was learned from the platform or else from peers."""
        return self._is_synced.is_set()

    def request_check(self) -> None:
        """Request a check with the platform now rather than when it is due."""
        self._check_requested.set()

    def _run(self) -> None:
        self._gossip.pull_from_peers()
        while not self._is_stopped.is_set():
            self._reachability.record_live_members(self._live_ids)
            if self._is_watcher():
                # After a failure, the platform is asked for an answer at once.
                is_unreachable = self._reachability.is_unreachable()
                self._check(0.0 if is_unreachable else self._timing.watch_timeout_s)
            elif self._is_check_due():
                self._check_requested.clear()
                self._check(0.0)
            else:
                self._check_requested.wait(MAX_IDLE_WAIT_S)

    def _live_ids(self) -> tuple[EntryId, ...]:
        return tuple(peer.id for peer in self._peers.live())

    def _is_watcher(self) -> bool:
        watchers = choose_watchers(self._peers.live(), self._timing.watcher_count)
        return self._peers.this_entry().id in watchers

    def _is_check_due(self) -> bool:
        return (
            self._check_requested.is_set() or self._local.confirmed_age_s() >= self._check_due_age_s
        )

    def _choose_check_due_age(self) -> None:
        factor = self._rng.uniform(1 - JITTER, 1 + JITTER)
        self._check_due_age_s = self._timing.freshness_bound_s / 2 * factor

    def _check(self, timeout_s: float) -> None:
        self._use_newer_peer_version()
        requested_at_s = time.monotonic()
        is_first_read = self._version == NO_VERSION
        read_result = self._read(timeout_s)
        match read_result:
            case Err(failure):
                _log.info("platform request failed: %s", failure)
                self._reachability.set_unreachable(is_unreachable=True)
                self._sync_from_peers()
                self._wait_before_retry()
                return
            case Ok(None) if is_first_read:
                self._reachability.set_unreachable(is_unreachable=False)
                self._create_initial()
            case Ok(None):
                self._confirm_unchanged(requested_at_s + timeout_s)
            case Ok(StoredObject() as stored):
                self._process_document(stored, requested_at_s)
        self._retry_wait_s = MIN_RETRY_WAIT_S
        self._choose_check_due_age()

    def _use_newer_peer_version(self) -> None:
        delta = self._local.delta_after(self._local.revision())
        if delta.version > self._version:
            self._version = delta.version
            self._seen_revision = delta.revision

    def _read(self, timeout_s: float) -> Result[StoredObject | None, ReadFailure]:
        if self._version == NO_VERSION:
            return self._client.read(CURRENT_KEY)
        return self._client.watch(CURRENT_KEY, self._version, timeout_s)

    def _sync_from_peers(self) -> None:
        if self.is_synced():
            return
        has_peer_response = self._gossip.pull_from_peers()
        if has_peer_response and self._local.current() is not None:
            self._is_synced.set()

    def _wait_before_retry(self) -> None:
        self._is_stopped.wait(self._retry_wait_s * self._rng.uniform(1 - JITTER, 1 + JITTER))
        self._retry_wait_s = min(2 * self._retry_wait_s, MAX_RETRY_WAIT_S)

    def _confirm_unchanged(self, responded_after_s: float) -> None:
        self._reachability.set_unreachable(is_unreachable=False)
        self._local.confirm(self._seen_revision, time.monotonic() - responded_after_s)
        self._is_synced.set()

    def _process_document(self, stored: StoredObject, requested_at_s: float) -> None:
        self._reachability.set_unreachable(is_unreachable=False)
        document = parse_document(stored)
        if document is None:
            _log.error("%s version %s is malformed", CURRENT_KEY, stored.version)
            self._wait_before_retry()
            return
        if document.revision < self._local.revision():
            _log.info(
                "platform returned revision %s, older than the one in force", document.revision
            )
            self._wait_before_retry()
            return
        if not self._apply_document(document, stored.version):
            self._wait_before_retry()
            return
        self._version = max(self._version, stored.version)
        self._seen_revision = document.revision
        self._local.confirm(document.revision, time.monotonic() - requested_at_s)
        self._is_synced.set()

    def _apply_document(self, document: ConfigurationDocument, version: int) -> bool:
        changes = document.changes_after(self._local.revision())
        if changes is not None and self._local.current() is not None:
            self._local.apply(changes, version)
            return True
        match self._store.load(document):
            case Ok(configuration):
                self._local.replace_if_newer(configuration, version)
                return True
            case Err(failure):
                _log.info("reading the configuration snapshot failed: %s", failure)
                return False

    def _create_initial(self) -> None:
        has_peer_response = self._gossip.pull_from_peers()
        if self._local.current() is not None:
            _log.warning("no configuration on the platform, but one is in force here")
            self._wait_before_retry()
            return
        _log.info("the platform holds no configuration; a peer responded: %s", has_peer_response)
        match self._store.create(self._base, author=self._peers.this_entry().id):
            case Ok(configuration):
                self._local.replace_if_newer(configuration)
                self._is_synced.set()
            case Err(failure):
                _log.info("creating the initial configuration failed: %s", failure)
                self._wait_before_retry()
