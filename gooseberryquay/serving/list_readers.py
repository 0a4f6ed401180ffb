"""Read the list of upstreams and the zones taken out from the store."""

import threading
from collections.abc import Callable

from gooseberryquay.ids import UpstreamId, ZoneId
from gooseberryquay.serving.decision_log import DecisionLog
from gooseberryquay.serving.object_source import Listing, StoredObject
from gooseberryquay.serving.upstream_record import UpstreamRecord
from gooseberryquay.serving.upstream_registry import UpstreamRegistry

__all__ = ["UpstreamListReader", "ZoneListReader"]


class UpstreamListReader:
    """Pass on the announcements of upstreams.

    Entries that lapsed while the store was away come back soon after its return, so a missing
    one is taken as gone only when it stays away.
    """

    def __init__(
        self,
        registry: UpstreamRegistry,
        decode: Callable[[StoredObject], UpstreamRecord | None],
        log: DecisionLog,
        return_grace_s: float,
    ) -> None:
        self._book = registry
        self._decode = decode
        self._log = log
        self._return_grace_s = return_grace_s
        self._listed: dict[UpstreamId, UpstreamRecord] = {}
        self._removals: dict[UpstreamId, threading.Timer] = {}
        self._lock = threading.Lock()

    def read_listing(self, listing: Listing, is_after_outage: bool) -> None:
        """Take in all entries."""
        named = {UpstreamId(each.name) for each in listing.objects}
        for stored in listing.objects:
            self.read_change(stored, is_after_outage)
        for missing in [each for each in self._listed if each not in named]:
            is_doubtful = is_after_outage or listing.is_doubtful
            self._remove(missing, is_doubtful, listing.revision)

    def read_change(self, changed: StoredObject, is_after_outage: bool) -> None:
        """Take in one entry."""
        upstream = UpstreamId(changed.name)
        record = None if changed.is_deleted else self._decode(changed)
        if record is None:
            if not changed.is_deleted:
                self._log.belief("upstream entry malformed", upstream=upstream)
            is_doubtful = changed.is_deleted and (is_after_outage or changed.is_doubtful)
            self._remove(upstream, is_doubtful, changed.revision)
            return
        with self._lock:
            timer = self._removals.pop(upstream, None)
            former = self._listed.get(upstream)
            self._listed[upstream] = record
        if timer is not None:
            timer.cancel()
        if former is None or former.state is not record.state or former.born_ms != record.born_ms:
            self._log.belief(
                "upstream listed",
                upstream=upstream,
                state=record.state.value,
                zone=record.zone,
                cold_left_s=record.cold_left_s,
                revision=changed.revision,
            )
        self._book.apply_record(record)

    def _remove(self, upstream: UpstreamId, is_doubtful: bool, revision: int) -> None:
        with self._lock:
            if self._listed.pop(upstream, None) is None:
                return
        self._log.belief(
            "upstream gone", upstream=upstream, revision=revision, is_delayed=is_doubtful
        )
        if not is_doubtful:
            self._book.remove(upstream)
            return
        timer = threading.Timer(self._return_grace_s, self._remove_late, (upstream,))
        timer.daemon = True
        with self._lock:
            self._removals[upstream] = timer
        timer.start()
        self._book.doubt(upstream)

    def _remove_late(self, upstream: UpstreamId) -> None:
        with self._lock:
            if self._removals.pop(upstream, None) is None:
                return
        self._book.remove(upstream)


class ZoneListReader:
    """Pass on which zones operators have taken out."""

    def __init__(self, registry: UpstreamRegistry, log: DecisionLog) -> None:
        self._book = registry
        self._log = log
        self._zones_out: frozenset[ZoneId] = frozenset()

    def read_listing(self, listing: Listing, is_after_outage: bool) -> None:
        """Take in all zones that are out."""
        self._set(frozenset(ZoneId(each.name) for each in listing.objects), listing.revision)

    def read_change(self, changed: StoredObject, is_after_outage: bool) -> None:
        """Take in one zone that went out or came back."""
        zone = frozenset({ZoneId(changed.name)})
        zones = self._zones_out - zone if changed.is_deleted else self._zones_out | zone
        self._set(zones, changed.revision)

    def _set(self, zones: frozenset[ZoneId], revision: int) -> None:
        if zones == self._zones_out:
            return
        self._zones_out = zones
        self._log.belief("zones out", zones=sorted(zones), revision=revision)
        self._book.set_zones_out(zones)
