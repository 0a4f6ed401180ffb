"""Choose an upstream for one request."""

import random
import time
from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import Protocol

from gooseberryquay.ids import ServiceId, UpstreamId, ZoneId
from gooseberryquay.serving.cold_rate import ColdRate
from gooseberryquay.serving.route import EngineTerms, RoutingTable
from gooseberryquay.serving.upstream_load import LoadTable
from gooseberryquay.serving.upstream_registry import KnownUpstream, UpstreamRegistry

__all__ = ["EngineNeed", "NoPeers", "PeerLoad", "PeerLoads", "Placement"]

# Half a request: crossing zones costs a delay and bytes.
OTHER_ZONE_LOAD = 0.5
# An upstream's own count fades within about one request's duration.
HINT_TRUST_S = 1.0
# Generations end at different times, so that their peaks do not add up.
GROWTH_SHARE = 0.6
# Leaves room for lengths that were underestimated.
MEMORY_SHARE_MAX = 0.95
# Each running generation slows the steps of the others.
CROWDING_WEIGHT = 0.3
# Prompts are read one after the other, which delays first tokens more than memory does.
UNREAD_WEIGHT = 5.0
# Decides between engines that are nearly equal.
OTHER_ZONE_SCORE = 0.1
# Outweighs any load, as a copy between zones takes twice as long.
MOVE_OTHER_ZONE_SCORE = 1.0
# Keeps entries with the same view from choosing the same engine.
NOISE_SCORE = 0.02
# The loads of engines that other cells fill are known late. A cell that finds its own ones busier
# spreads over these at random, or all cells would choose the same.
OTHER_CELL_NOISE_SCORE = 0.3
# Below the cost of another zone. A moved generation brings no prompt to read.
MOVE_OTHER_CELL_SCORE = 0.6
# Outweighs any load.
AVOIDED_SCORE = 10.0
# A cold engine is slow for about a second.
COLD_SCORE = 0.3


@dataclass(frozen=True, slots=True)
class PeerLoad:
    """Sum up the requests of all other entries at one upstream."""

    runs: int
    held_tokens: float
    growth_tokens: float
    unread_tokens: float

    def plus(self, other: "PeerLoad") -> "PeerLoad":
        """Add the load of more entries."""
        return PeerLoad(
            self.runs + other.runs,
            self.held_tokens + other.held_tokens,
            self.growth_tokens + other.growth_tokens,
            self.unread_tokens + other.unread_tokens,
        )


class PeerLoads(Protocol):
    """Give what other entries have in flight."""

    def of(self, upstream: UpstreamId) -> PeerLoad:
        """Give the load of others at one upstream."""

    def owns_engine(self, upstream: UpstreamId) -> bool:
        """Tell whether this entry's cell places on an engine first."""


class NoPeers:
    """Stand for entries that do not tell each other their load."""

    def of(self, upstream: UpstreamId) -> PeerLoad:
        """Give no load."""
        return PeerLoad(0, 0.0, 0.0, 0.0)

    def owns_engine(self, upstream: UpstreamId) -> bool:
        """Place on all engines alike."""
        return True


@dataclass(frozen=True, slots=True)
class EngineNeed:
    """Describe what a generation needs of an engine."""

    prompt_tokens: int
    expected_tokens: float

    @property
    def planned_tokens(self) -> float:
        """Give the memory to keep free for it."""
        return self.prompt_tokens + GROWTH_SHARE * self.expected_tokens


@dataclass(frozen=True, slots=True)
class EnginePreference:
    """Prefer the engines of one zone, and those of the own cell, by so much in the score.

    A move has no time for a second target, and avoids what failed last until it has served again.
    """

    zone: ZoneId
    other_zone_score: float
    other_cell_score: float
    is_of_move: bool = False


class Placement:
    """Choose by own load, the load that peers tell and the hints of upstreams."""

    def __init__(
        self,
        *,
        registry: UpstreamRegistry,
        loads: LoadTable,
        peers: PeerLoads,
        cold: ColdRate,
        routing: Callable[[], RoutingTable | None],
        zone: ZoneId,
        source: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._book = registry
        self._loads = loads
        self._peers = peers
        self._cold = cold
        self._routing = routing
        self._zone = zone
        self._random = source
        self._clock = clock

    def choose_for_call(
        self, service: ServiceId, excluded: Collection[UpstreamId]
    ) -> KnownUpstream | None:
        """Choose for a plain call the upstream with the fewest requests for each slot."""
        best: KnownUpstream | None = None
        best_score = float("inf")
        now_s = self._clock()
        for known in self._candidates(service, excluded, now_s):
            load = self._loads.of(known.record.id)
            others = max(
                load.others(now_s, HINT_TRUST_S), float(self._peers.of(known.record.id).runs)
            )
            score = (len(load.runs) + others) / max(1, known.record.slots)
            score += NOISE_SCORE * self._random.random()
            if known.record.zone != self._zone:
                score += OTHER_ZONE_LOAD / max(1, known.record.slots)
            if load.avoided_until_s > now_s:
                score += AVOIDED_SCORE
            if score < best_score:
                best, best_score = known, score
        return best

    def choose_engine(
        self, service: ServiceId, need: EngineNeed, excluded: Collection[UpstreamId]
    ) -> KnownUpstream | None:
        """Choose for a generation the engine with the most memory to spare, if it fits in."""
        engine = self.engine_terms(service)
        if engine is None:
            return self.choose_for_call(service, excluded)
        # An engine of another cell counts as if one more such prompt waited there.
        other_cell_score = UNREAD_WEIGHT * need.prompt_tokens / max(1, engine.memory_tokens)
        preference = EnginePreference(self._zone, OTHER_ZONE_SCORE, other_cell_score)
        return self._choose_engine(service, engine, need, excluded, preference)

    def choose_move_target(
        self,
        service: ServiceId,
        need: EngineNeed,
        excluded: Collection[UpstreamId],
        source_zone: ZoneId,
    ) -> KnownUpstream | None:
        """Choose an engine to move a generation to, near its source, as links are slow between."""
        engine = self.engine_terms(service)
        if engine is None:
            return self.choose_for_call(service, excluded)
        preference = EnginePreference(
            source_zone, MOVE_OTHER_ZONE_SCORE, MOVE_OTHER_CELL_SCORE, is_of_move=True
        )
        return self._choose_engine(service, engine, need, excluded, preference)

    def _choose_engine(
        self,
        service: ServiceId,
        engine: EngineTerms,
        need: EngineNeed,
        excluded: Collection[UpstreamId],
        preference: EnginePreference,
    ) -> KnownUpstream | None:
        best: KnownUpstream | None = None
        best_score = float("inf")
        now_s = self._clock()
        for known in self._candidates(service, excluded, now_s):
            score = self._engine_score(known, engine, need, preference, now_s)
            if score is not None and score < best_score:
                best, best_score = known, score
        return best

    def engine_terms(self, service: ServiceId) -> EngineTerms | None:
        """Give what is declared of a service's engines."""
        routing = self._routing()
        terms = routing.services.get(service) if routing is not None else None
        return terms.engine if terms is not None else None

    def take_cold(self, known: KnownUpstream) -> bool:
        """Count a request against the rate of a cold upstream; True if it may be sent."""
        if known.cold_until_s <= self._clock():
            return True
        return self._cold.take(known.record.id, self._cold_rate(known))

    def has_any(self, service: ServiceId, excluded: Collection[UpstreamId]) -> bool:
        """Tell whether any upstream may get the request at all."""
        return any(each.record.id not in excluded for each in self._book.usable(service))

    def pause_left_s(self, service: ServiceId) -> float:
        """Give the time until an upstream takes work again, 0 where one does now."""
        return self._book.pause_left_s(service)

    def _candidates(
        self, service: ServiceId, excluded: Collection[UpstreamId], now_s: float
    ) -> list[KnownUpstream]:
        found = []
        for known in self._book.usable(service):
            if known.record.id in excluded:
                continue
            if known.cold_until_s <= now_s or self._cold.may_send(
                known.record.id, self._cold_rate(known)
            ):
                found.append(known)
        return found

    def _cold_rate(self, known: KnownUpstream) -> float:
        routing = self._routing()
        terms = routing.services.get(known.record.service) if routing is not None else None
        if terms is None or terms.cold_requests_per_s <= 0.0:
            return float("inf")
        return terms.cold_requests_per_s

    def _engine_score(
        self,
        known: KnownUpstream,
        engine: EngineTerms,
        need: EngineNeed,
        preference: EnginePreference,
        now_s: float,
    ) -> float | None:
        load = self._loads.of(known.record.id)
        peer = self._peers.of(known.record.id)
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
        score += NOISE_SCORE * self._random.random()
        if known.record.zone != preference.zone:
            score += preference.other_zone_score
        if not self._peers.owns_engine(known.record.id):
            score += preference.other_cell_score
            score += OTHER_CELL_NOISE_SCORE * self._random.random()
        if known.cold_until_s > now_s:
            score += COLD_SCORE
        has_failed = preference.is_of_move and load.failures > 0
        if has_failed or load.avoided_until_s > now_s:
            score += AVOIDED_SCORE
        return score
