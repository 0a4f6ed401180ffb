"""Upstreams that may be used, by what the list and the operators say."""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from gooseberryquay.ids import ServiceId, UpstreamId, ZoneId
from gooseberryquay.serving.upstream_record import UpstreamRecord, UpstreamState

__all__ = ["PAUSE_MAX_S", "KnownUpstream", "UpstreamNotice", "UpstreamRegistry"]

# An upstream that wants nothing for longer has its entry in the list to say so.
PAUSE_MAX_S = 300.0
# Far more incarnations than leave while an entry of the list may still come back.
NOTICES_MAX = 4096

Listener = Callable[[UpstreamId], None]


@dataclass
class UpstreamNotice:
    """Hold what one incarnation of an upstream has said of itself in its answers."""

    born_ms: int | None
    is_leaving: bool = False
    paused_until_s: float = 0.0


@dataclass
class KnownUpstream:
    """Hold an upstream with what was last announced of it."""

    record: UpstreamRecord
    first_seen_at_s: float
    cold_until_s: float
    announced_at_s: float = 0.0
    is_gone: bool = False
    # The list lacks it after an outage in which it may only have lapsed.
    is_in_doubt: bool = False
    notice: UpstreamNotice = field(default_factory=lambda: UpstreamNotice(None))

    @property
    def is_leaving(self) -> bool:
        """Tell whether the upstream takes no new work."""
        is_draining = self.record.state is UpstreamState.DRAINING
        return self.is_gone or is_draining or self.notice.is_leaving


class UpstreamRegistry:
    """Keep the upstreams and the zones taken out; safe for use by many threads."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._known: dict[UpstreamId, KnownUpstream] = {}
        self._by_service: dict[ServiceId, tuple[KnownUpstream, ...]] = {}
        self._zones_out: frozenset[ZoneId] = frozenset()
        # Outlives an entry of the list that lapses and comes back.
        self._notices: dict[UpstreamId, UpstreamNotice] = {}
        self._on_leaving: list[Listener] = []
        self._on_doubt: list[Listener] = []
        self._on_change: list[Callable[[], None]] = []
        self._on_unlisted: list[Callable[[KnownUpstream], None]] = []
        self._on_replaced: list[Callable[[KnownUpstream], None]] = []
        self._lock = threading.Lock()

    def on_leaving(self, listener: Listener) -> None:
        """Call back with each upstream that is draining or gone."""
        self._on_leaving.append(listener)

    def on_missing(self, listener: Listener) -> None:
        """Call back with each upstream that may be gone."""
        self._on_doubt.append(listener)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call back after any change of what may be used."""
        self._on_change.append(listener)

    def on_removed(self, listener: Callable[[KnownUpstream], None]) -> None:
        """Call back with each upstream that the list has lost."""
        self._on_unlisted.append(listener)

    def on_replaced(self, listener: Callable[[KnownUpstream], None]) -> None:
        """Call back with each incarnation that another has followed under its id."""
        self._on_replaced.append(listener)

    def apply_record(self, record: UpstreamRecord) -> None:
        """Take in what an upstream announces."""
        now_s = self._clock()
        replaced: KnownUpstream | None = None
        with self._lock:
            known = self._known.get(record.id)
            was_leaving = known is not None and known.is_leaving
            if known is None or known.record.born_ms != record.born_ms:
                replaced = known
                known = KnownUpstream(record, now_s, now_s + record.cold_left_s)
                self._known[record.id] = known
                notice = self._notices.get(record.id)
                if notice is not None and notice.born_ms == record.born_ms:
                    known.notice = notice
            known.record = record
            known.is_gone = False
            known.is_in_doubt = False
            known.announced_at_s = now_s
            known.cold_until_s = now_s + record.cold_left_s
            self._index()
            is_leaving = known.is_leaving and not was_leaving
        if replaced is not None:
            for listener in self._on_replaced:
                listener(replaced)
        self._tell(record.id if is_leaving else None)

    def doubt(self, upstream: UpstreamId) -> None:
        """Take in that an upstream may be gone; it comes back or is removed soon."""
        with self._lock:
            known = self._known.get(upstream)
            if known is None or known.is_leaving:
                return
            known.is_in_doubt = True
        for listener in self._on_doubt:
            listener(upstream)

    def remove(self, upstream: UpstreamId) -> None:
        """Take an upstream as gone."""
        with self._lock:
            known = self._known.pop(upstream, None)
            if known is None:
                return
            was_leaving = known.is_leaving
            known.is_gone = True
            self._index()
        for listener in self._on_unlisted:
            listener(known)
        self._tell(None if was_leaving else upstream)

    def announce_leave(self, upstream: UpstreamId, born_ms: int | None) -> bool:
        """Take in that an incarnation leaves, whatever the list says; False if it was known."""
        with self._lock:
            notice = self._notice_of(upstream, born_ms)
            if notice is None or notice.is_leaving:
                return False
            known = self._known.get(upstream)
            is_used = known is not None and not known.is_leaving
            notice.is_leaving = True
        if is_used:
            self._tell(upstream)
        return True

    def pause(self, upstream: UpstreamId, born_ms: int | None, pause_s: float) -> None:
        """Send an incarnation nothing for a while, as it has asked."""
        until_s = self._clock() + min(pause_s, PAUSE_MAX_S)
        with self._lock:
            notice = self._notice_of(upstream, born_ms)
            if notice is not None:
                notice.paused_until_s = max(notice.paused_until_s, until_s)

    def leaving_notices(self) -> list[tuple[UpstreamId, int | None]]:
        """Give the incarnations that have said that they leave while the list calls them ready."""
        return [
            (upstream, known.notice.born_ms)
            for upstream, known in list(self._known.items())
            if known.notice.is_leaving and known.record.state is UpstreamState.READY
        ]

    def _notice_of(self, upstream: UpstreamId, born_ms: int | None) -> UpstreamNotice | None:
        """Give the notice of an incarnation, or None if another is known to have followed it."""
        known = self._known.get(upstream)
        if known is not None and known.record.born_ms != born_ms:
            return None
        notice = self._notices.get(upstream)
        if notice is not None and (notice.born_ms or 0) > (born_ms or 0):
            return None
        if notice is None or notice.born_ms != born_ms:
            notice = self._notices[upstream] = UpstreamNotice(born_ms)
            if len(self._notices) > NOTICES_MAX:
                del self._notices[next(iter(self._notices))]
        if known is not None:
            known.notice = notice
        return notice

    def set_zones_out(self, zones: frozenset[ZoneId]) -> None:
        """Take in which zones operators have taken out."""
        with self._lock:
            self._zones_out = zones
        self._tell(None)

    def usable(self, service: ServiceId) -> list[KnownUpstream]:
        """Give the upstreams of a service that may get new work now."""
        now_s = self._clock()
        return [each for each in self._staying(service) if each.notice.paused_until_s <= now_s]

    def pause_left_s(self, service: ServiceId) -> float:
        """Give the time until the first upstream takes work again, where all that stay pause."""
        pauses = [each.notice.paused_until_s for each in self._staying(service)]
        return max(0.0, min(pauses, default=0.0) - self._clock())

    def _staying(self, service: ServiceId) -> list[KnownUpstream]:
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
