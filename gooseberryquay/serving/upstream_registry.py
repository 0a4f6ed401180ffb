"""Upstreams available for new requests according to the list, operators and the upstreams."""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from gooseberryquay.ids import ServiceId, SoftwareVersion, UpstreamId, ZoneId
from gooseberryquay.serving.upstream_record import UpstreamRecord, UpstreamState

__all__ = [
    "PAUSE_MAX_S",
    "KnownUpstream",
    "LimitNotice",
    "LimitStatement",
    "StatedLimit",
    "UpstreamNotice",
    "UpstreamRegistry",
]

# An upstream that needs a longer pause can announce it in its list entry.
PAUSE_MAX_S = 300.0
# Other entries repeat a limit far more often while the upstream states it.
LIMIT_LIFETIME_S = 60.0
# Far more incarnations than leave while their list entries may still reappear.
NOTICES_MAX = 4096

Listener = Callable[[UpstreamId], None]


class StatedLimit(Enum):
    """What an upstream limits for all entries together."""

    REQUESTS = "requests"
    # An upstream that turns more requests away for want of room falls over.
    TURN_AWAYS = "turn_aways"


@dataclass(frozen=True, slots=True)
class LimitStatement:
    """Store a limit that an upstream stated, None if it stated that there is none."""

    per_s: float | None
    stated_at_s: float


@dataclass
class UpstreamNotice:
    """Store the status that one incarnation of an upstream reported in its responses or entry."""

    born_ms: int | None
    is_leaving: bool = False
    paused_until_s: float = 0.0
    limits: dict[StatedLimit, LimitStatement] = field(default_factory=dict)

    def limit_per_s(self, limit: StatedLimit, now_s: float) -> float | None:
        """Return the limit for all entries together, or None if there is none."""
        stated = self.recent_statement(limit, now_s)
        return stated.per_s if stated is not None else None

    def recent_statement(self, limit: StatedLimit, now_s: float) -> LimitStatement | None:
        """Return what the upstream stated, or None if it never did or too long ago."""
        stated = self.limits.get(limit)
        if stated is None or now_s - stated.stated_at_s > LIMIT_LIFETIME_S:
            return None
        return stated


# Incarnation that stated a limit: upstream id and start time in ms.
LimitNotice = tuple[UpstreamId, int | None, StatedLimit, LimitStatement]


@dataclass
class KnownUpstream:
    """Track an upstream with its latest list entry."""

    record: UpstreamRecord
    first_seen_at_s: float
    cold_until_s: float
    announced_at_s: float = 0.0
    is_gone: bool = False
    # Missing from the list after an outage, in which its entry may only have expired.
    is_missing: bool = False
    notice: UpstreamNotice = field(default_factory=lambda: UpstreamNotice(None))

    @property
    def is_leaving(self) -> bool:
        """Return whether the upstream accepts no new work."""
        is_draining = self.record.state is UpstreamState.DRAINING
        return self.is_gone or is_draining or self.notice.is_leaving


class UpstreamRegistry:
    """Track upstreams and the zones out of service; thread-safe."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._known: dict[UpstreamId, KnownUpstream] = {}
        self._by_service: dict[ServiceId, tuple[KnownUpstream, ...]] = {}
        # Zones out of service, and since when this entry knows it.
        self._zones_out: dict[ZoneId, float] = {}
        # Kept when a list entry expires and reappears.
        self._notices: dict[UpstreamId, UpstreamNotice] = {}
        self._stated_limits: set[StatedLimit] = set()
        self._on_leaving: list[Listener] = []
        self._on_missing: list[Listener] = []
        self._on_change: list[Callable[[], None]] = []
        self._on_removed: list[Callable[[KnownUpstream], None]] = []
        self._on_replaced: list[Callable[[KnownUpstream], None]] = []
        self._lock = threading.Lock()

    def on_leaving(self, listener: Listener) -> None:
        """Register a listener that is called with each upstream that is draining or gone."""
        self._on_leaving.append(listener)

    def on_missing(self, listener: Listener) -> None:
        """Register a listener that is called with each upstream that may be gone."""
        self._on_missing.append(listener)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Register a listener that is called after any change of the available upstreams."""
        self._on_change.append(listener)

    def on_removed(self, listener: Callable[[KnownUpstream], None]) -> None:
        """Register a listener that is called with each upstream that was removed from the list."""
        self._on_removed.append(listener)

    def on_replaced(self, listener: Callable[[KnownUpstream], None]) -> None:
        """Register a listener that is called with each incarnation replaced under its id."""
        self._on_replaced.append(listener)

    def apply_record(self, record: UpstreamRecord) -> None:
        """Apply the list entry of an upstream."""
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
            self._keep_drain(record)
            known.is_gone = False
            known.is_missing = False
            known.announced_at_s = now_s
            known.cold_until_s = now_s + record.cold_left_s
            self._rebuild_index()
            is_leaving = known.is_leaving and not was_leaving
        if replaced is not None:
            for listener in self._on_replaced:
                listener(replaced)
        self._notify(record.id if is_leaving else None)

    def _keep_drain(self, record: UpstreamRecord) -> None:
        """Note that an incarnation drains, as a store that comes back lists an older entry of it.

        An upstream that does not state its start can't be told from its next incarnation.
        """
        if record.state is not UpstreamState.DRAINING or record.born_ms is None:
            return
        notice = self._notice_of(record.id, record.born_ms)
        if notice is not None:
            notice.is_leaving = True

    def mark_missing(self, upstream: UpstreamId) -> None:
        """Mark an upstream as possibly gone; it reappears or is removed soon."""
        with self._lock:
            known = self._known.get(upstream)
            if known is None or known.is_leaving:
                return
            known.is_missing = True
        for listener in self._on_missing:
            listener(upstream)

    def remove(self, upstream: UpstreamId) -> None:
        """Remove an upstream that is gone."""
        with self._lock:
            known = self._known.pop(upstream, None)
            if known is None:
                return
            was_leaving = known.is_leaving
            known.is_gone = True
            self._rebuild_index()
        for listener in self._on_removed:
            listener(known)
        self._notify(None if was_leaving else upstream)

    def announce_leave(self, upstream: UpstreamId, born_ms: int | None) -> bool:
        """Record that an incarnation is leaving, whatever the list states.

        Returns False if this was known or the incarnation has been replaced.
        """
        with self._lock:
            notice = self._notice_of(upstream, born_ms)
            if notice is None or notice.is_leaving:
                return False
            known = self._known.get(upstream)
            is_used = known is not None and not known.is_leaving
            notice.is_leaving = True
        if is_used:
            self._notify(upstream)
        return True

    def pause(self, upstream: UpstreamId, born_ms: int | None, pause_s: float) -> None:
        """Exclude an incarnation for the time that it requested, at most PAUSE_MAX_S."""
        until_s = self._clock() + min(pause_s, PAUSE_MAX_S)
        with self._lock:
            notice = self._notice_of(upstream, born_ms)
            if notice is not None:
                notice.paused_until_s = max(notice.paused_until_s, until_s)

    def state_limit(
        self,
        upstream: UpstreamId,
        born_ms: int | None,
        limit: StatedLimit,
        statement: LimitStatement,
    ) -> bool:
        """Record a limit that an incarnation stated; return whether it has changed."""
        with self._lock:
            notice = self._notice_of(upstream, born_ms)
            if notice is None:
                return False
            previous = notice.limits.get(limit)
            if previous is not None and previous.stated_at_s >= statement.stated_at_s:
                return False
            notice.limits[limit] = statement
            self._stated_limits.add(limit)
            return statement.per_s != (previous and previous.per_s)

    def leaving_notices(self) -> list[tuple[UpstreamId, int | None]]:
        """Return the incarnations that announced that they are leaving but are listed as ready."""
        return [
            (upstream, known.notice.born_ms)
            for upstream, known in list(self._known.items())
            if known.notice.is_leaving and known.record.state is UpstreamState.READY
        ]

    def limit_notices(self) -> list[LimitNotice]:
        """Return the recent statements of listed upstreams on their limits, newest first."""
        now_s = self._clock()
        found: list[LimitNotice] = []
        for upstream, known in list(self._known.items()):
            for limit in StatedLimit:
                stated = known.notice.recent_statement(limit, now_s)
                if stated is not None:
                    found.append((upstream, known.notice.born_ms, limit, stated))
        return sorted(found, key=lambda each: each[3].stated_at_s, reverse=True)

    def service_limit_per_s(self, service: ServiceId, limit: StatedLimit) -> float | None:
        """Return the limit that an upstream of a service stated last, or None if there is none.

        Upstreams that have just started share the limits of the others before their first response.
        """
        if limit not in self._stated_limits:
            return None
        now_s = self._clock()
        recent = (
            each.notice.recent_statement(limit, now_s) for each in self._by_service.get(service, ())
        )
        stated = max(
            (each for each in recent if each is not None),
            key=lambda each: each.stated_at_s,
            default=None,
        )
        return stated.per_s if stated is not None else None

    def _notice_of(self, upstream: UpstreamId, born_ms: int | None) -> UpstreamNotice | None:
        """Return the notice of an incarnation, or None if it is known to have been replaced."""
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
        """Replace the set of zones that operators have taken out of service."""
        with self._lock:
            now_s = self._clock()
            self._zones_out = {each: self._zones_out.get(each, now_s) for each in zones}
        self._notify(None)

    def zone_out_for_s(self, zone: ZoneId) -> float:
        """Return for how many seconds a zone has been out of service, 0 if it is not."""
        now_s = self._clock()
        return now_s - self._zones_out.get(zone, now_s)

    def usable(self, service: ServiceId) -> list[KnownUpstream]:
        """Return the upstreams of a service that accept new work now."""
        now_s = self._clock()
        return [each for each in self._available(service) if each.notice.paused_until_s <= now_s]

    def usable_upstream(self, upstream: UpstreamId) -> KnownUpstream | None:
        """Return an upstream if it accepts new work now, or None."""
        known = self._known.get(upstream)
        if known is None:
            return None
        return known if known in self.usable(known.record.service) else None

    def listed_records(self) -> list[UpstreamRecord]:
        """Return the list entries of all upstreams that are not leaving."""
        return [each.record for each in list(self._known.values()) if not each.is_leaving]

    def pause_left_s(self, service: ServiceId) -> float:
        """Return the seconds until the first pause ends if all upstreams pause, else 0."""
        pauses = [each.notice.paused_until_s for each in self._available(service)]
        return max(0.0, min(pauses, default=0.0) - self._clock())

    def _available(self, service: ServiceId) -> list[KnownUpstream]:
        zones_out = self._zones_out
        return [
            each
            for each in self._by_service.get(service, ())
            if not each.is_leaving and each.record.zone not in zones_out
        ]

    def find(self, upstream: UpstreamId) -> KnownUpstream | None:
        """Return a listed upstream, or None."""
        return self._known.get(upstream)

    def listed(self) -> list[UpstreamId]:
        """Return the ids of the listed upstreams."""
        return list(self._known)

    def versions(self) -> dict[ServiceId, frozenset[SoftwareVersion | None]]:
        """Return the software versions of each service's listed upstreams."""
        return {
            service: frozenset(each.record.version for each in known)
            for service, known in self._by_service.items()
        }

    def of_other_versions(
        self, service: ServiceId, version: SoftwareVersion | None
    ) -> frozenset[UpstreamId]:
        """Return the upstreams of a service whose software has another version."""
        known = self._by_service.get(service, ())
        return frozenset(each.record.id for each in known if each.record.version != version)

    def _rebuild_index(self) -> None:
        by_service: dict[ServiceId, list[KnownUpstream]] = {}
        for known in self._known.values():
            by_service.setdefault(known.record.service, []).append(known)
        self._by_service = {service: tuple(each) for service, each in by_service.items()}

    def _notify(self, leaving: UpstreamId | None) -> None:
        if leaving is not None:
            for listener in self._on_leaving:
                listener(leaving)
        for changed in self._on_change:
            changed()
