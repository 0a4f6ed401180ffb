"""Choose an upstream for a request."""

import random
import time
from collections.abc import Callable, Collection
from dataclasses import dataclass

from gooseberryquay.ids import ServiceId, SoftwareVersion, UpstreamId, ZoneId
from gooseberryquay.serving import call_choice
from gooseberryquay.serving.call_choice import CallForecast, choose_target
from gooseberryquay.serving.call_times import CallTimes, ReportedLoad
from gooseberryquay.serving.engine_pace import EnginePaces
from gooseberryquay.serving.machine_slowdown import MachineSlowdowns
from gooseberryquay.serving.migration_plan import MoveTarget
from gooseberryquay.serving.pace_choice import Forecast
from gooseberryquay.serving.pace_placement import PacePlacement
from gooseberryquay.serving.placement_terms import (
    AVOIDED_PENALTY,
    COLD_PENALTY,
    GROWTH_SHARE,
    MEMORY_SHARE_MAX,
    EngineNeed,
    EnginePreference,
    NoPeerLoads,
    PeerLoad,
    PeerLoads,
)
from gooseberryquay.serving.ports import LoadHint
from gooseberryquay.serving.rate_gate import RateGate
from gooseberryquay.serving.room_gate import RoomGate, TakenRoom
from gooseberryquay.serving.route import EngineTerms, RoutingTable
from gooseberryquay.serving.shared_rate import RateBudget
from gooseberryquay.serving.upstream_load import LoadTable, UpstreamLoad
from gooseberryquay.serving.upstream_registry import KnownUpstream, UpstreamRegistry
from gooseberryquay.serving.version_gate import ANY_VERSION, VersionGate

__all__ = [
    "ANY_VERSION",
    "EngineNeed",
    "NoPeerLoads",
    "PeerLoad",
    "PeerLoads",
    "Placement",
    "RateReservation",
    "VersionGate",
]

# Counts as half a request: crossing zones costs latency and traffic.
OTHER_ZONE_LOAD = 0.5
# An upstream's own count is outdated after about the duration of one request.
HINT_LIFETIME_S = 1.0
# Peers know of a request after about this time.
LOADS_KNOWN_AFTER_S = 0.5
# Each running generation slows down the steps of the others.
CROWDING_WEIGHT = 0.3
# Prefills run one after the other, which delays first tokens more than memory use does.
UNREAD_WEIGHT = 5.0
# Decides between engines that are otherwise nearly equal.
OTHER_ZONE_PENALTY = 0.1
# Outweighs any load, as a KV cache copy between zones takes twice as long.
MOVE_OTHER_ZONE_PENALTY = 1.0
# Keeps entries with the same view from choosing the same engine.
TIE_BREAK_NOISE = 0.02
# The loads of engines owned by other cells are known late. A cell whose own engines are busier
# spreads over these at random; otherwise all cells would choose the same engine.
OTHER_CELL_NOISE = 0.3
# Below the penalty of another zone. A migrated generation needs no prefill.
MOVE_OTHER_CELL_PENALTY = 0.6
# Entries that know the same loads would otherwise fill the same upstream at once. As many requests
# as it has slots count as 1.
BRITTLE_NOISE = 1.0
# Idle connections and those of entries that have just started need the rest.
CONNECTION_SHARE = 0.8


@dataclass(frozen=True, slots=True)
class RateReservation:
    """Represent a request that may be sent to an upstream after a wait."""

    known: KnownUpstream
    wait_s: float


class Placement:
    """Choose upstreams by own load, peer loads and load hints of upstreams."""

    def __init__(
        self,
        *,
        registry: UpstreamRegistry,
        loads: LoadTable,
        peers: PeerLoads,
        rates: RateGate,
        rooms: RoomGate,
        routing: Callable[[], RoutingTable | None],
        zone: ZoneId,
        rng: random.Random,
        entry_count: Callable[[], int] = lambda: 1,
        slowdowns: MachineSlowdowns | None = None,
        versions: VersionGate = ANY_VERSION,
        clock: Callable[[], float] = time.monotonic,
        paces: EnginePaces | None = None,
    ) -> None:
        self._slowdowns = slowdowns or MachineSlowdowns(clock)
        self._call_times = CallTimes(self._slowdowns)
        self._by_pace = (
            PacePlacement(paces, loads, peers, rng, clock) if paces is not None else None
        )
        self._registry = registry
        self._loads = loads
        self._peers = peers
        self._rates = rates
        self._rooms = rooms
        self._routing = routing
        self._zone = zone
        self._rng = rng
        self._entry_count = entry_count
        self._versions = versions
        self._clock = clock

    def choose_for_call(
        self, service: ServiceId, excluded: Collection[UpstreamId], route: str | None = None
    ) -> KnownUpstream | None:
        """Return the upstream for a unary call, or None.

        On shared machines, a call of a route goes to an upstream drawn by its expected time to the
        response; otherwise it goes where the fewest requests per slot are.
        """
        if route is not None and self._slowdowns.is_shared(service):
            usable = self._candidates(service, excluded)
            if not usable:
                return None
            targets = self._call_times.targets(service, map(self._reported_load, usable))
            work_share = self._call_times.work_share(service, route)
            return usable[choose_target(targets, self._rng.random(), work_share)]
        return self._choose_by_requests(service, excluded)

    def forecast_call(self, service: ServiceId, route: str) -> CallForecast | None:
        """Return when any upstream can answer a call at best, or None where that is not known."""
        if not self._slowdowns.is_shared(service) or not self._call_times.is_known(service):
            return None
        usable = self._registry.usable(service)
        targets = self._call_times.targets(service, map(self._reported_load, usable))
        return (
            call_choice.forecast(targets, self._call_times.work_share(service, route))
            if usable
            else None
        )

    def call_work_s(self, service: ServiceId, route: str) -> float:
        """Return the learnt time of a route's calls, or 0 where it is not known."""
        if not self._slowdowns.is_shared(service) or not self._call_times.is_known(service):
            return 0.0
        return self._call_times.route_work_s(service, route)

    def _reported_load(self, known: KnownUpstream) -> ReportedLoad:
        now_s, upstream = self._clock(), known.record.id
        load = self._loads.load_at(upstream)
        return ReportedLoad(
            upstream,
            slots=max(1, known.record.slots),
            own=len(load.runs),
            hinted=load.hinted_requests(now_s, HINT_LIFETIME_S),
            hint_age_s=now_s - load.hinted_at_s if load.hint is not None else float("inf"),
            peer_runs=self._peers.load_at(upstream).runs,
            is_other_zone=known.record.zone != self._zone,
            is_avoided=load.avoided_until_s > now_s,
        )

    def _choose_by_requests(
        self, service: ServiceId, excluded: Collection[UpstreamId]
    ) -> KnownUpstream | None:
        best: KnownUpstream | None = None
        best_score = float("inf")
        now_s = self._clock()
        for known in self._candidates(service, excluded):
            load = self._loads.load_at(known.record.id)
            other_requests = max(
                load.other_requests(now_s, HINT_LIFETIME_S),
                float(self._peers.load_at(known.record.id).runs),
            )
            score = (len(load.runs) + other_requests) / max(1, known.record.slots)
            score += TIE_BREAK_NOISE * self._rng.random()
            if known.record.zone != self._zone:
                score += OTHER_ZONE_LOAD / max(1, known.record.slots)
            if load.avoided_until_s > now_s:
                score += AVOIDED_PENALTY
            if self._rooms.is_brittle(known):
                score += BRITTLE_NOISE * self._rng.random()
            if score < best_score:
                best, best_score = known, score
        return best

    def choose_engine(
        self, service: ServiceId, need: EngineNeed, excluded: Collection[UpstreamId]
    ) -> KnownUpstream | None:
        """Return the best engine for a generation by free memory and load, or None if none fits."""
        engine = self.engine_terms(service)
        if engine is None:
            return self.choose_for_call(service, excluded)
        # The penalty is equivalent to one more prompt of this length waiting for prefill.
        other_cell_penalty = UNREAD_WEIGHT * need.prompt_tokens / max(1, engine.memory_tokens)
        preference = EnginePreference(self._zone, OTHER_ZONE_PENALTY, other_cell_penalty)
        return self._choose_engine(service, engine, need, excluded, preference)

    def choose_move_target(
        self,
        service: ServiceId,
        need: EngineNeed,
        excluded: Collection[UpstreamId],
        source_zone: ZoneId,
    ) -> KnownUpstream | None:
        """Return the best migration target, preferably in the source's zone, or None if none fits.

        Links between zones are slow.
        """
        engine = self.engine_terms(service)
        if engine is None:
            return self.choose_for_call(service, excluded)
        preference = EnginePreference(
            source_zone, MOVE_OTHER_ZONE_PENALTY, MOVE_OTHER_CELL_PENALTY, is_of_move=True
        )
        return self._choose_engine(service, engine, need, excluded, preference)

    def move_targets(
        self,
        service: ServiceId,
        need: EngineNeed,
        excluded: Collection[UpstreamId],
        source_zone: ZoneId,
    ) -> list[tuple[KnownUpstream, MoveTarget]]:
        """Return the engines that may take a run, with the tokens that remain free beside it."""
        engine = self.engine_terms(service)
        if engine is None:
            return []
        now_s = self._clock()
        found: list[tuple[KnownUpstream, MoveTarget]] = []
        for known in self._candidates(service, excluded):
            load = self._loads.load_at(known.record.id)
            peer = self._peers.load_at(known.record.id)
            own = list(load.runs.values())
            if len(own) + peer.runs >= engine.slots:
                continue
            planned = need.planned_tokens + peer.held_tokens + GROWTH_SHARE * peer.growth_tokens
            planned += sum(each.held_tokens + GROWTH_SHARE * each.growth_tokens for each in own)
            target = MoveTarget(
                id=known.record.id,
                free_tokens=MEMORY_SHARE_MAX * engine.memory_tokens - planned,
                crosses_zones=known.record.zone != source_zone,
                is_doubtful=load.failures > 0 or load.avoided_until_s > now_s,
            )
            found.append((known, target))
        return found

    def peer_load_at(self, upstream: UpstreamId) -> PeerLoad:
        """Return the load of other entries at one upstream."""
        return self._peers.load_at(upstream)

    def _choose_engine(
        self,
        service: ServiceId,
        engine: EngineTerms,
        need: EngineNeed,
        excluded: Collection[UpstreamId],
        preference: EnginePreference,
    ) -> KnownUpstream | None:
        if self._by_pace is not None and self._by_pace.is_used(service):
            candidates = self._candidates(service, excluded)
            return self._by_pace.choose(candidates, engine, need, preference)
        best: KnownUpstream | None = None
        best_score = float("inf")
        now_s = self._clock()
        for known in self._candidates(service, excluded):
            score = self._engine_score(known, engine, need, preference, now_s)
            if score is not None and score < best_score:
                best, best_score = known, score
        return best

    def record_pace(self, known: KnownUpstream, event_s: float) -> None:
        """Record the time between two events of an own stream."""
        if self._by_pace is not None:
            self._by_pace.record_event(known, event_s)

    def record_first_event(self, known: KnownUpstream, first_s: float, tokens: float) -> None:
        """Record the time to an own stream's first event and the prompt tokens ahead of it."""
        if self._by_pace is not None:
            self._by_pace.record_first(known, first_s, tokens)

    def forecast_at(self, known: KnownUpstream, need: EngineNeed) -> Forecast | None:
        """Return what was expected for a run that has been placed, None if it wasn't by pace."""
        engine = self.engine_terms(known.record.service)
        if self._by_pace is None or engine is None:
            return None
        return self._by_pace.forecast_at(known, engine, need)

    def unread_at(self, known: KnownUpstream) -> float:
        """Return the prompt tokens that an engine is still to read, as far as known."""
        own = self._loads.runs_at(known.record.id)
        return self._peers.load_at(known.record.id).unread_tokens + sum(
            each.unread_tokens for each in own
        )

    def engine_terms(self, service: ServiceId) -> EngineTerms | None:
        """Return the declared properties of a service's engines, or None."""
        routing = self._routing()
        terms = routing.services.get(service) if routing is not None else None
        return terms.engine if terms is not None else None

    def engine_loads(
        self, service: ServiceId
    ) -> list[tuple[KnownUpstream, UpstreamLoad, PeerLoad]]:
        """Return the upstreams that accept work, with the loads of this entry and of others."""
        return [
            (known, self._loads.load_at(known.record.id), self._peers.load_at(known.record.id))
            for known in self._registry.usable(service)
        ]

    def try_acquire(self, known: KnownUpstream) -> bool:
        """Count a request against the rate limits of an upstream; True if it may be sent."""
        if not self._rates.try_acquire(known):
            return False
        self._rooms.spend(known)
        return True

    def record_duration(
        self,
        known: KnownUpstream,
        duration_s: float,
        route: str | None = None,
        load: LoadHint | None = None,
    ) -> None:
        """Record how long an upstream took to answer a call, and the load that it reported."""
        self._rooms.record_duration(known.record.service, duration_s)
        if route is not None and load is not None and load.slowdown is not None:
            self._call_times.record(known.record.service, route, known.record.id, duration_s, load)

    def spend(self, known: KnownUpstream) -> None:
        """Count a mandatory request against the rate limits of an upstream."""
        self._rates.spend(known)

    def reserve_for_call(
        self, service: ServiceId, excluded: Collection[UpstreamId], wait_max_s: float
    ) -> RateReservation | None:
        """Reserve the earliest request that the rate limits allow, or return None if too late."""
        usable = self._connectable(service, excluded)
        if not usable:
            return None
        known = min(usable, key=self._rates.wait_s)
        wait_s = self._rates.reserve(known, wait_max_s)
        return None if wait_s is None else RateReservation(known, wait_s)

    def rate_wait_s(
        self, service: ServiceId, excluded: Collection[UpstreamId] = (), ahead: int = 0
    ) -> float:
        """Return the seconds until rate limits allow a request after `ahead` others, or infinity.

        Returns 0 if any upstream is not limited, none is usable or the wait is still unknown.
        """
        usable = self._usable(service, excluded)
        if not all(self._rates.is_limited(each) for each in usable):
            return 0.0
        if not usable or not self._rates.is_divided():
            return 0.0
        budgets = [self._rates.budget(each) for each in usable]
        total = RateBudget(
            sum(each.tokens for each in budgets), sum(each.tokens_per_s for each in budgets)
        )
        wait_s = max(total.wait_s(ahead + 1), min(each.wait_s() for each in budgets))
        return min(wait_s, *(self._rates.ends_in_s(each) for each in usable))

    def rate_interval_s(self, service: ServiceId) -> float:
        """Return the seconds per request that the rate limits allow all entries, 0 without one."""
        total_per_s = sum(map(self._rates.rate_per_s, self._registry.usable(service)))
        return 1.0 / total_per_s if total_per_s > 0.0 else 0.0

    def has_candidate(self, service: ServiceId, excluded: Collection[UpstreamId]) -> bool:
        """Return whether any upstream outside `excluded` accepts new work."""
        return bool(self._usable(service, excluded))

    def is_usable(self, known: KnownUpstream) -> bool:
        """Return whether an upstream accepts new work."""
        return known in self._usable(known.record.service)

    def of_other_versions(
        self, service: ServiceId, version: SoftwareVersion | None
    ) -> frozenset[UpstreamId]:
        """Return the upstreams at which a stream that a version began can't go on."""
        return self._registry.of_other_versions(service, version)

    def pause_left_s(self, service: ServiceId) -> float:
        """Return the seconds until an upstream accepts work again, 0 if one does now."""
        return self._registry.pause_left_s(service)

    def lacks_room(self, service: ServiceId, excluded: Collection[UpstreamId]) -> bool:
        """Return whether all upstreams that accept work are brittle and have no room for more."""
        usable = self._with_connections(service, excluded)
        return bool(usable) and not any(map(self._has_room, usable))

    def room_wait_s(self, service: ServiceId, excluded: Collection[UpstreamId] = ()) -> float:
        """Return the seconds until a brittle upstream may be tried again, 0 if one may be now."""
        usable = self._with_connections(service, excluded)
        return min(map(self._rooms.wait_s, usable), default=0.0)

    def slots_share(self, service: ServiceId) -> float:
        """Return this entry's share of the slots of all upstreams that accept work."""
        slots = sum(each.record.slots for each in self._registry.usable(service))
        return max(1.0, slots / self._entry_count())

    def _has_room(self, known: KnownUpstream) -> bool:
        if not self._rooms.is_brittle(known):
            return True
        now_s = self._clock()
        load = self._loads.load_at(known.record.id)
        hinted = load.hinted_requests(now_s, HINT_LIFETIME_S)
        others = max(hinted, self._peers.load_at(known.record.id).runs)
        own = list(load.runs.values())
        if self.engine_terms(known.record.service) is None:
            # Responses come when a request has been run, so none is known to have found room.
            return self._rooms.may_call(known, TakenRoom(len(own) + others, len(own), 0))
        unsettled = sum(
            not each.is_admitted or now_s - each.started_at_s < LOADS_KNOWN_AFTER_S for each in own
        )
        requests = len(own) + others
        return self._rooms.may_send(known, TakenRoom(requests, unsettled, requests - unsettled))

    def _candidates(
        self, service: ServiceId, excluded: Collection[UpstreamId]
    ) -> list[KnownUpstream]:
        usable = self._connectable(service, excluded)
        candidates = [each for each in usable if self._rates.may_send(each)]
        return self._versions.preferred(service, candidates)

    def _usable(
        self, service: ServiceId, excluded: Collection[UpstreamId] = ()
    ) -> list[KnownUpstream]:
        usable = [each for each in self._registry.usable(service) if each.record.id not in excluded]
        allowed = [each for each in usable if self._versions.may_send(each)]
        return allowed or [each for each in usable if self._versions.may_fall_back(each)]

    def _connectable(
        self, service: ServiceId, excluded: Collection[UpstreamId]
    ) -> list[KnownUpstream]:
        return [each for each in self._with_connections(service, excluded) if self._has_room(each)]

    def _with_connections(
        self, service: ServiceId, excluded: Collection[UpstreamId]
    ) -> list[KnownUpstream]:
        """Return the upstreams with fewer requests of this entry than its share of connections."""
        usable = self._usable(service, excluded)
        routing = self._routing()
        terms = routing.services.get(service) if routing is not None else None
        if terms is None or terms.connections_max is None:
            return usable
        share = max(1, int(CONNECTION_SHARE * terms.connections_max / self._entry_count()))
        return [each for each in usable if len(self._loads.load_at(each.record.id).runs) < share]

    def _engine_score(
        self,
        known: KnownUpstream,
        engine: EngineTerms,
        need: EngineNeed,
        preference: EnginePreference,
        now_s: float,
    ) -> float | None:
        load = self._loads.load_at(known.record.id)
        peer = self._peers.load_at(known.record.id)
        planned = need.planned_tokens + peer.held_tokens + GROWTH_SHARE * peer.growth_tokens
        unread = peer.unread_tokens
        runs = 1 + peer.runs
        for run in list(load.runs.values()):
            planned += run.held_tokens + GROWTH_SHARE * run.growth_tokens
            unread += run.unread_tokens
            runs += 1
        memory_share = planned / max(1, engine.memory_tokens)
        if memory_share > MEMORY_SHARE_MAX or runs > engine.slots:
            return None
        score = memory_share + CROWDING_WEIGHT * runs / max(1, engine.slots)
        score += UNREAD_WEIGHT * unread / max(1, engine.memory_tokens)
        score += TIE_BREAK_NOISE * self._rng.random()
        if known.record.zone != preference.zone:
            score += preference.other_zone_penalty
        if not self._peers.owns_engine(known.record.id):
            score += preference.other_cell_penalty
            score += OTHER_CELL_NOISE * self._rng.random()
        if known.cold_until_s > now_s:
            score += COLD_PENALTY
        has_failed = preference.is_of_move and load.failures > 0
        if has_failed or load.avoided_until_s > now_s:
            score += AVOIDED_PENALTY
        return score
