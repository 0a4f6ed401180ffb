"""Upstreams that may be used, by what the list and the operators say."""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from gooseberryquay.ids import ServiceId, UpstreamId, ZoneId
from gooseberryquay.serving.upstream_record import UpstreamRecord, UpstreamState

__all__ = ["KnownUpstream", "UpstreamBook"]

Listener = Callable[[UpstreamId], None]


@dataclass
class KnownUpstream:
    """Hold an upstream with what was last announced of it."""

    record: UpstreamRecord
    first_seen_at_s: float
    cold_until_s: float
    announced_at_s: float = 0.0
    is_gone: bool = False

    @property
    def is_leaving(self) -> bool:
        """Tell whether the upstream takes no new work."""
        return self.is_gone or self.record.state is UpstreamState.DRAINING


class UpstreamBook:
    """Keep the upstreams and the zones taken out; safe for use by many threads."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._known: dict[UpstreamId, KnownUpstream] = {}
        self._by_service: dict[ServiceId, tuple[KnownUpstream, ...]] = {}
        self._zones_out: frozenset[ZoneId] = frozenset()
        self._on_leaving: list[Listener] = []
        self._on_change: list[Callable[[], None]] = []
        self._lock = threading.Lock()

    def on_leaving(self, listener: Listener) -> None:
        """Call back with each upstream that is draining or gone."""
        self._on_leaving.append(listener)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call back after any change of what may be used."""
        self._on_change.append(listener)

    def apply_record(self, record: UpstreamRecord) -> None:
        """Take in what an upstream announces."""
        now_s = self._clock()
        with self._lock:
            known = self._known.get(record.id)
            was_leaving = known is not None and known.is_leaving
            if known is None or known.record.born_ms != record.born_ms:
                known = KnownUpstream(record, now_s, now_s + record.cold_left_s)
                self._known[record.id] = known
            known.record = record
            known.is_gone = False
            known.announced_at_s = now_s
            known.cold_until_s = now_s + record.cold_left_s
            self._index()
            is_leaving = known.is_leaving and not was_leaving
        self._tell(record.id if is_leaving else None)

    def remove(self, upstream: UpstreamId) -> None:
        """Take an upstream as gone."""
        with self._lock:
            known = self._known.pop(upstream, None)
            if known is None:
                return
            was_leaving = known.is_leaving
            known.is_gone = True
            self._index()
        self._tell(None if was_leaving else upstream)

    def set_zones_out(self, zones: frozenset[ZoneId]) -> None:
        """Take in which zones operators have taken out."""
        with self._lock:
            self._zones_out = zones
        self._tell(None)

    def usable(self, service: ServiceId) -> list[KnownUpstream]:
        """Give the upstreams of a service that may get new work."""
        zones_out = self._zones_out
        return [
            each
            for each in self._by_service.get(service, ())
            if not each.is_leaving and each.record.zone not in zones_out
        ]

    def find(self, upstream: UpstreamId) -> KnownUpstream | None:
        """Find an upstream that is listed."""
        return self._known.get(upstream)

    def listed(self) -> list[UpstreamId]:
        """Give the upstreams listed."""
        return list(self._known)

    def _index(self) -> None:
        by_service: dict[ServiceId, list[KnownUpstream]] = {}
        for known in self._known.values():
            by_service.setdefault(known.record.service, []).append(known)
        self._by_service = {service: tuple(each) for service, each in by_service.items()}

    def _tell(self, leaving: UpstreamId | None) -> None:
        if leaving is not None:
            for listener in self._on_leaving:
                listener(leaving)
        for changed in self._on_change:
            changed()
