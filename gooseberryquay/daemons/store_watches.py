"""The watches of the store's objects, and what other entries may rely on from them."""

import time
from collections.abc import Callable

from gooseberryquay.ids import EntryId
from gooseberryquay.links.connection_pool import ConnectionPool
from gooseberryquay.links.http_server import Router
from gooseberryquay.serving.decision_log import DecisionLog
from gooseberryquay.serving.hubs import HubSelector
from gooseberryquay.serving.object_relay import HubSource, ObjectRelay, RelayOptions
from gooseberryquay.serving.object_source import ObjectSource
from gooseberryquay.serving.object_watch import ObjectReader, ObjectWatch

__all__ = ["OUTAGE_GRACE_S", "StoreWatches"]

# On a hub, the probing watch polls with short waits to detect that the store no longer
# responds, and resynchronizes the other watches once it responds again. Together with the time of
# an answer and of reading it, a wait stays below the bound of a configuration. Other entries learn
# from their hubs of changes that they have missed.
PROBE_READ_S = 0.2
PROBE_WAIT_MIN_S = 0.3
PROBE_RETRY_MAX_S = 0.5
# Limits the lists after answers on new connections, which a slow store also causes.
SILENCE_RESYNC_INTERVAL_S = 2.5
# Each response of the store is a billed call, so watches wait long for changes.
WATCH_WAIT_S = 20.0
WATCH_RETRY_MAX_S = 10.0
# Upstreams whose records expired during an outage are listed again within about two seconds.
OUTAGE_GRACE_S = 2.0


class StoreWatches:
    """Watch the kinds of objects in the store and relay them to the entries that follow."""

    def __init__(
        self,
        *,
        hubs: HubSelector,
        pool: ConnectionPool,
        log: DecisionLog,
        config_apply_s: float,
        answer_time_s: float,
    ) -> None:
        self._hubs = hubs
        self._pool = pool
        self._log = log
        self._config_apply_s = config_apply_s
        self._answer_time_s = answer_time_s
        self._relays: list[ObjectRelay] = []
        self._sources: list[HubSource] = []
        self._watches: list[ObjectWatch] = []
        self._optional_kinds: set[str] = set()
        self._silence_resynced_at_s = float("-inf")

    def add(
        self,
        options: RelayOptions,
        reader: ObjectReader,
        build_source: Callable[[str, Callable[[], None]], ObjectSource],
        pause_s: float,
        *,
        is_probe: bool = False,
        is_optional: bool = False,
    ) -> None:
        """Watch the objects of one kind and relay them to the entries that follow this one.

        A store that lacks an optional kind is current in all others.
        """
        kind = options.kind
        relay = ObjectRelay(
            options,
            reader=reader,
            is_current=self.is_current,
            known_revision=lambda: watch.known_revision,
            outage_grace_s=OUTAGE_GRACE_S,
            cell_size=self._hubs.cell_size,
        )
        direct = build_source(kind, lambda: self._resync_after_silence(watch))
        source = HubSource(options, direct, self._hubs, self._pool, self._log)
        watch = ObjectWatch(
            kind=kind,
            source=source,
            reader=relay,
            log=self._log,
            wait_s=self._probe_wait_s if is_probe else lambda: WATCH_WAIT_S,
            pause_s=pause_s,
            outage_grace_s=OUTAGE_GRACE_S,
            retry_max_s=PROBE_RETRY_MAX_S if is_probe else WATCH_RETRY_MAX_S,
            on_regained=self._resync_others,
        )
        self._relays.append(relay)
        self._sources.append(source)
        self._watches.append(watch)
        if is_optional:
            self._optional_kinds.add(kind)

    def all(self) -> tuple[ObjectWatch, ...]:
        """Return the watches of all kinds."""
        return tuple(self._watches)

    def add_routes(self, router: Router) -> None:
        """Serve the entries that follow this one."""
        for relay in self._relays:
            relay.add_routes(router)

    def start(self) -> None:
        """Start all watches."""
        for watch in self._watches:
            watch.start()

    def is_current(self) -> bool:
        """Return whether other entries may rely on what this entry has read from the store."""
        if any(each.is_on_fallback_hub for each in self._sources):
            return False
        required = (each for each in self._watches if each.kind not in self._optional_kinds)
        return all(each.is_current() for each in required)

    def is_behind_peers(self, kind: str) -> bool:
        """Return whether others have read a newer list of a kind than this entry."""
        return any(each.kind == kind and each.is_behind_peers() for each in self._watches)

    def resync(self) -> None:
        """List all objects anew, as the store gives out again the revisions that were read."""
        for watch in self._watches:
            watch.resync()

    def revisions(self) -> dict[str, int]:
        """Return the newest revision that was seen of each kind."""
        return {each.kind: each.seen_revision for each in self._watches}

    def record_peer_revisions(self, peer: EntryId, revisions: dict[str, int]) -> None:
        """Record the newest revisions that another entry has seen."""
        for watch, source in zip(self._watches, self._sources, strict=True):
            revision = revisions.get(watch.kind, 0)
            source.record_peer_revision(peer, revision)
            watch.record_peer_revision(revision)

    def _probe_wait_s(self) -> float:
        if not self._hubs.is_hub():
            return WATCH_WAIT_S
        spent_s = self._answer_time_s + PROBE_READ_S
        return max(PROBE_WAIT_MIN_S, self._config_apply_s - spent_s)

    def _resync_after_silence(self, answered: ObjectWatch) -> None:
        """Resync the other watches, as their connections may be silent, too."""
        now_s = time.monotonic()
        if now_s - self._silence_resynced_at_s > SILENCE_RESYNC_INTERVAL_S:
            self._silence_resynced_at_s = now_s
            self._log.belief("connection to the store is silent", part=answered.kind)
            self._resync_others(answered)

    def _resync_others(self, regained: ObjectWatch) -> None:
        for watch in self._watches:
            if watch is not regained:
                watch.resync()
