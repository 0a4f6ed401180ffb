"""Read the list of upstreams and the zones out of service from the store."""

import threading
from collections.abc import Callable

from gooseberryquay.ids import UpstreamId, ZoneId
from gooseberryquay.serving.decision_log import DecisionLog
from gooseberryquay.serving.object_source import Listing, StoredObject
from gooseberryquay.serving.upstream_record import UpstreamRecord
from gooseberryquay.serving.upstream_registry import UpstreamRegistry

__all__ = ["UpstreamListReader", "ZoneListReader"]


class UpstreamListReader:
    """Apply the list of upstreams to the registry.

    List entries that expired during a store outage are registered again soon after it, so a missing
    upstream is removed only if it does not reappear within the grace period.
    """

    def __init__(
        self,
        registry: UpstreamRegistry,
        decode: Callable[[StoredObject], UpstreamRecord | None],
        log: DecisionLog,
        return_grace_s: float,
    ) -> None:
        self._registry = registry
        self._decode = decode
        self._log = log
        self._return_grace_s = return_grace_s
        self._listed: dict[UpstreamId, UpstreamRecord] = {}
        self._pending_removals: dict[UpstreamId, threading.Timer] = {}
        self._lock = threading.Lock()

    def read_listing(self, listing: Listing, is_after_outage: bool) -> None:
        """Apply all list entries and remove upstreams that are no longer listed."""
        named = {UpstreamId(each.name) for each in listing.objects}
        for stored in listing.objects:
            self.read_change(stored, is_after_outage)
        for missing in [each for each in self._listed if each not in named]:
            is_doubtful = is_after_outage or listing.is_doubtful
            self._remove(missing, is_doubtful, listing.revision)

    def read_change(self, changed: StoredObject, is_after_outage: bool) -> None:
        """Apply one changed or deleted list entry."""
        upstream = UpstreamId(changed.name)
        record = None if changed.is_deleted else self._decode(changed)
        if record is None:
            if not changed.is_deleted:
                self._log.belief("upstream entry malformed", upstream=upstream)
            is_doubtful = changed.is_deleted and (is_after_outage or changed.is_doubtful)
            self._remove(upstream, is_doubtful, changed.revision)
            return
        with self._lock:
            timer = self._pending_removals.pop(upstream, None)
            previous = self._listed.get(upstream)
            self._listed[upstream] = record
        if timer is not None:
            timer.cancel()
        if (
            previous is None
            or previous.state is not record.state
            or previous.born_ms != record.born_ms
        ):
            self._log.belief(
                "upstream listed",
                upstream=upstream,
                state=record.state.value,
                zone=record.zone,
                version=record.version,
                cold_left_s=record.cold_left_s,
                revision=changed.revision,
            )
        self._registry.apply_record(record)

    def _remove(self, upstream: UpstreamId, is_doubtful: bool, revision: int) -> None:
        with self._lock:
            if self._listed.pop(upstream, None) is None:
                return
        self._log.belief(
            "upstream gone", upstream=upstream, revision=revision, is_delayed=is_doubtful
        )
        if not is_doubtful:
            self._registry.remove(upstream)
            return
        timer = threading.Timer(self._return_grace_s, self._remove_expired, (upstream,))
        timer.daemon = True
        with self._lock:
            self._pending_removals[upstream] = timer
        timer.start()
        self._registry.mark_missing(upstream)

    def _remove_expired(self, upstream: UpstreamId) -> None:
        with self._lock:
            if self._pending_removals.pop(upstream, None) is None:
                return
        self._registry.remove(upstream)


class ZoneListReader:
    """Apply the zones that operators have taken out of service."""

    def __init__(self, registry: UpstreamRegistry, log: DecisionLog) -> None:
        self._registry = registry
        self._log = log
        self._zones_out: frozenset[ZoneId] = frozenset()

    def read_listing(self, listing: Listing, is_after_outage: bool) -> None:
        """Replace the set of zones that are out of service."""
        self._set(frozenset(ZoneId(each.name) for each in listing.objects), listing.revision)

    def read_change(self, changed: StoredObject, is_after_outage: bool) -> None:
        """Apply one zone that was taken out of service or brought back."""
        zone = frozenset({ZoneId(changed.name)})
        zones = self._zones_out - zone if changed.is_deleted else self._zones_out | zone
        self._set(zones, changed.revision)

    def _set(self, zones: frozenset[ZoneId], revision: int) -> None:
        if zones == self._zones_out:
            return
        self._zones_out = zones
        self._log.belief("zones out", zones=sorted(zones), revision=revision)
        self._registry.set_zones_out(zones)
