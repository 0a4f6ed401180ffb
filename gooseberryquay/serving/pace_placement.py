"""Choose an engine by the pace expected there, where upstreams state their slowdowns."""

import random
from collections.abc import Callable
from dataclasses import replace

from gooseberryquay.ids import ServiceId
from gooseberryquay.serving import pace_choice
from gooseberryquay.serving.engine_pace import EnginePaces
from gooseberryquay.serving.pace_choice import (
    EngineState,
    Forecast,
    PaceTerms,
    StreamNeed,
    urgency_weight,
)
from gooseberryquay.serving.placement_terms import (
    AVOIDED_PENALTY,
    COLD_PENALTY,
    GROWTH_SHARE,
    MEMORY_SHARE_MAX,
    EngineNeed,
    EnginePreference,
    PeerLoads,
)
from gooseberryquay.serving.route import EngineTerms
from gooseberryquay.serving.upstream_load import LoadTable
from gooseberryquay.serving.upstream_registry import KnownUpstream

__all__ = ["PacePlacement"]

# Below the lateness of a stream.
OTHER_ZONE_COST = 0.02
MOVE_OTHER_ZONE_COST = 0.1
OTHER_CELL_COST = 0.02
# Bounds the processor time of a choice to about half a millisecond.
ENGINES_COMPARED_MAX = 24
# Used where no time is left or known, so that the first event is wanted soon.
FIRST_LEFT_MIN_S = 0.1
FIRST_LEFT_DEFAULT_S = 2.0


class PacePlacement:
    """Compare engines by the lateness that a placement is expected to cause there."""

    def __init__(
        self,
        paces: EnginePaces,
        loads: LoadTable,
        peers: PeerLoads,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self._paces = paces
        self._loads = loads
        self._peers = peers
        self._rng = rng
        self._clock = clock

    def is_used(self, service: ServiceId) -> bool:
        """Return whether the engines of a service are chosen by pace."""
        return self._paces.is_used(service)

    def choose(
        self,
        candidates: list[KnownUpstream],
        engine: EngineTerms,
        need: EngineNeed,
        preference: EnginePreference,
    ) -> KnownUpstream | None:
        """Return the engine with the best forecast of those compared, None if none has room."""
        now_s = self._clock()
        stream = _stream_need(need, engine, preference.is_of_move, now_s)
        terms: PaceTerms | None = None
        fitting: list[KnownUpstream] = []
        rated: list[tuple[Forecast, float]] = []
        # In random order, so that entries compare different engines where there are many.
        for known in self._rng.sample(candidates, len(candidates)):
            if len(rated) >= ENGINES_COMPARED_MAX:
                break
            terms = terms or self._paces.terms(known.record.service)
            penalty = self._pace_penalty(known, preference, now_s)
            state = self._engine_state(known, engine, need.planned_tokens, penalty)
            if state.memory_share > MEMORY_SHARE_MAX or state.runs >= engine.slots:
                continue
            fitting.append(known)
            rated.append((pace_choice.forecast(state, stream, terms), state.memory_share))
        return fitting[pace_choice.choose(rated, self._rng)] if fitting else None

    def _engine_state(
        self,
        known: KnownUpstream,
        engine: EngineTerms,
        planned: float,
        penalty: float = 0.0,
    ) -> EngineState:
        service, upstream = known.record.service, known.record.id
        peer = self._peers.load_at(upstream)
        planned += peer.held_tokens + GROWTH_SHARE * peer.growth_tokens
        unread, growth, runs = peer.unread_tokens, peer.growth_tokens, peer.runs
        for run in list(self._loads.load_at(upstream).runs.values()):
            planned += run.held_tokens + GROWTH_SHARE * run.growth_tokens
            unread += run.unread_tokens
            growth += run.growth_tokens
            runs += 1
        return EngineState(
            event_s=self._paces.event_s(service, upstream),
            runs=runs,
            growth_events=growth / max(1, engine.tokens_per_event),
            unread_tokens=unread,
            memory_share=planned / max(1, engine.memory_tokens),
            penalty=penalty,
        )

    def _pace_penalty(
        self, known: KnownUpstream, preference: EnginePreference, now_s: float
    ) -> float:
        """Return the cost of an engine that doesn't come from its pace."""
        load = self._loads.load_at(known.record.id)
        penalty = 0.0
        if known.record.zone != preference.zone:
            penalty += MOVE_OTHER_ZONE_COST if preference.is_of_move else OTHER_ZONE_COST
        if not self._peers.owns_engine(known.record.id):
            penalty += OTHER_CELL_COST
        if known.cold_until_s > now_s:
            penalty += COLD_PENALTY
        has_failed = preference.is_of_move and load.failures > 0
        if has_failed or load.avoided_until_s > now_s:
            penalty += AVOIDED_PENALTY
        return penalty

    def record_event(self, known: KnownUpstream, event_s: float) -> None:
        """Record the time between two events of an own stream."""
        if not self.is_used(known.record.service):
            return
        upstream = known.record.id
        own, peer = self._loads.runs_at(upstream), self._peers.load_at(upstream)
        self._paces.record_event(
            known.record.service,
            upstream,
            event_s,
            born_ms=known.record.born_ms,
            runs=len(own) + peer.runs,
        )

    def record_first(self, known: KnownUpstream, first_s: float, tokens: float) -> None:
        """Record the time to an own stream's first event and the prompt tokens ahead of it."""
        self._paces.record_first(known.record.service, known.record.id, first_s, tokens)

    def forecast_at(
        self, known: KnownUpstream, engine: EngineTerms, need: EngineNeed
    ) -> Forecast | None:
        """Return what was expected for a run that has been placed, None if it wasn't by pace."""
        service = known.record.service
        if not self.is_used(service):
            return None
        state = self._engine_state(known, engine, 0.0)
        without = replace(
            state,
            runs=max(0, state.runs - 1),
            unread_tokens=max(0.0, state.unread_tokens - need.prompt_tokens),
            growth_events=max(
                0.0, state.growth_events - need.expected_tokens / max(1, engine.tokens_per_event)
            ),
        )
        stream = _stream_need(need, engine, False, self._clock())
        return pace_choice.forecast(without, stream, self._paces.terms(service))


def _stream_need(
    need: EngineNeed, engine: EngineTerms, is_of_move: bool, now_s: float
) -> StreamNeed:
    first_left_s: float | None = None
    if not is_of_move:
        first_left_s = FIRST_LEFT_DEFAULT_S
        if need.first_due_at_s is not None:
            first_left_s = max(FIRST_LEFT_MIN_S, need.first_due_at_s - now_s)
    return StreamNeed(
        need.prompt_tokens,
        need.expected_tokens / max(1, engine.tokens_per_event),
        need.gap_target_s,
        first_left_s,
        urgency_weight(need.priority),
    )
