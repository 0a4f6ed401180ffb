"""Collect what admission decides from, and log and count what came of it."""

import math
import random
import time
from collections.abc import Callable, Iterable, Iterator, Sequence

from prometheus_client import CollectorRegistry, Counter, Histogram

from gooseberryquay.ids import RequestId, ServiceId, UpstreamId
from gooseberryquay.serving.admission import (
    Claim,
    Contention,
    Outlook,
    Refuse,
    ReturnTimes,
    ServedShares,
    Wait,
)
from gooseberryquay.serving.decision_log import DecisionLog
from gooseberryquay.serving.demand_book import DemandBook
from gooseberryquay.serving.machine_slowdown import MachineSlowdowns
from gooseberryquay.serving.placement import HINT_LIFETIME_S, PeerLoad, Placement
from gooseberryquay.serving.placement_terms import GROWTH_SHARE, MEMORY_SHARE_MAX
from gooseberryquay.serving.room_forecast import (
    EngineReturns,
    EngineRoom,
    RoomForecast,
    RunEnd,
    spread_ends,
)
from gooseberryquay.serving.route import EngineTerms
from gooseberryquay.serving.run_lengths import RunLengths
from gooseberryquay.serving.upstream_load import Run, UpstreamLoad
from gooseberryquay.serving.upstream_registry import KnownUpstream

__all__ = ["SharedAdmission"]

# A forecast walks all runs of a service, so that each run that ends doesn't ask for a new one.
FORECAST_LIFETIME_S = 0.05
# A run that goes on beyond its expected length is expected to go on for this share of it.
OVERRUN_SHARE = 0.25
RUN_LEFT_MIN_S = 0.1
MS_PER_S = 1000.0
# No upstream has this id.
EXPECTED_ENGINE = UpstreamId("")
ERROR_BUCKETS_S = (-5.0, -2.0, -1.0, -0.5, -0.2, -0.1, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)


class SharedAdmission:
    """Apply admission to services whose upstreams state the load of their machines.

    Callers must serialize the calls, except `applies` and `lengths`.
    """

    def __init__(
        self,
        *,
        placement: Placement,
        slowdowns: MachineSlowdowns,
        demand: DemandBook,
        log: DecisionLog,
        metrics: CollectorRegistry,
        rng: random.Random | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.lengths = RunLengths()
        self._placement = placement
        self._slowdowns = slowdowns
        self._demand = demand
        self._log = log
        self._rng = rng or random.Random()
        self._draw_seed = self._rng.getrandbits(32)
        self._clock = clock
        self._shares: dict[ServiceId, ServedShares] = {}
        self._returns: dict[ServiceId, EngineReturns] = {}
        self._return_times: dict[ServiceId, ReturnTimes] = {}
        self._forecasts: dict[ServiceId, tuple[float, RoomForecast]] = {}
        self._outcomes = Counter(
            "admissions", "Generations of shared machines", ("outcome",), registry=metrics
        )
        self._errors = Histogram(
            "admission_forecast_error_seconds",
            "Time waited for a place, less the forecast",
            registry=metrics,
            buckets=ERROR_BUCKETS_S,
        )

    def applies(self, service: ServiceId) -> bool:
        """Return whether generations of a service are admitted by forecast."""
        is_shared = self._slowdowns.is_shared(service)
        return is_shared and self._placement.engine_terms(service) is not None

    def observe_engines(self) -> None:
        """Note which engines take new work, for the services that were contended for."""
        for service in list(self._returns):
            self._observe(service)

    def contention(self, service: ServiceId, claims: Sequence[Claim]) -> Contention:
        """Return the order of the claims of a service."""
        return Contention(
            claims=claims,
            told=self._demand.told(service),
            used_tokens=self._demand.used_tokens(service),
            shares=self._shares.setdefault(service, ServedShares()),
            now_s=self._clock(),
            draw_seed=self._draw_seed,
        )

    def forecast(self, service: ServiceId) -> RoomForecast:
        """Return when the engines of a service will have room."""
        now_s = self._clock()
        made_at_s, forecast = self._forecasts.get(service, (-math.inf, None))
        if forecast is None or now_s - made_at_s > FORECAST_LIFETIME_S:
            forecast = RoomForecast(list(self._engine_rooms(service)))
            self._forecasts[service] = (now_s, forecast)
        return forecast

    def verdicts(
        self, service: ServiceId, contention: Contention
    ) -> list[tuple[Claim, Outlook, Wait | Refuse]]:
        """Return for each claim in order whether it waits on or is refused."""
        times = self._return_times.setdefault(service, ReturnTimes())
        now_s = self._clock()
        return [
            (claim, outlook, times.verdict(claim, outlook, now_s, self._rng.random()))
            for claim, outlook in contention.outlooks(self.forecast(service))
        ]

    def record_waiting(self, service: ServiceId, claims: Iterable[Claim]) -> None:
        """Report to other entries what waits here for a service."""
        self._demand.set_waiting(service, claims)

    def record_first_outlook(self, request: RequestId, claim: Claim, outlook: Outlook) -> None:
        """Log that a generation waits."""
        now_s = self._clock()
        self._log.request(
            "admission waits",
            request,
            rank=claim.rank,
            ahead=outlook.ahead,
            forecast_ms=_ms(outlook.wait_s),
            goal_left_ms=_ms(claim.late_at_s - now_s),
            useful_left_ms=_ms(claim.useful_until_s - now_s),
        )

    def record_placed(
        self, service: ServiceId, run: Run, claim: Claim, forecast_s: float | None
    ) -> None:
        """Count a generation that was placed, and compare its wait to the first forecast."""
        now_s = self._clock()
        self._shares.setdefault(service, ServedShares()).record(claim, True, now_s)
        self._demand.record_served(service, claim)
        self.forecast(service).add_prompt(run.upstream, run.prompt_tokens)
        if forecast_s is None:
            self._outcomes.labels("placed at once").inc()
            return
        self._outcomes.labels("placed after a wait").inc()
        self._log_end(run.id, claim, "placed", forecast_s)
        if not math.isinf(forecast_s):
            self._errors.observe(now_s - claim.arrived_at_s - forecast_s)

    def record_refused(
        self, service: ServiceId, request: RequestId, claim: Claim, refuse: Refuse
    ) -> None:
        """Count a generation that is refused as its place would come too late."""
        self._record_unserved(service, claim, "refused by forecast")
        self._log_end(
            request,
            claim,
            "refused by forecast",
            refuse.wait_s,
            retry_after_ms=_ms(refuse.retry_after_s),
            useful_left_ms=_ms(claim.useful_until_s - self._clock()),
        )

    def record_out_of_time(
        self, service: ServiceId, request: RequestId, claim: Claim, forecast_s: float | None
    ) -> float:
        """Count a generation that waited in vain, and return when its caller may return."""
        self._record_unserved(service, claim, "out of time")
        self._log_end(request, claim, "out of time", forecast_s or 0.0)
        now_s = self._clock()
        wait_s = self.forecast(service).wait_s(claim.tokens, 1, claim.run_s)
        times = self._return_times.setdefault(service, ReturnTimes())
        return times.next_s(Outlook(wait_s, 0, 0.0, False), now_s, self._rng.random())

    def _record_unserved(self, service: ServiceId, claim: Claim, outcome: str) -> None:
        self._shares.setdefault(service, ServedShares()).record(claim, False, self._clock())
        self._outcomes.labels(outcome).inc()

    def _log_end(
        self, request: RequestId, claim: Claim, outcome: str, forecast_s: float, **fields: object
    ) -> None:
        self._log.request(
            "admission ended",
            request,
            outcome=outcome,
            rank=claim.rank,
            waited_ms=_ms(self._clock() - claim.arrived_at_s),
            forecast_ms=_ms(forecast_s),
            **fields,
        )

    def _observe(self, service: ServiceId) -> EngineReturns:
        returns = self._returns.setdefault(service, EngineReturns())
        usable = frozenset(
            known.record.id for known, _load, _peer in self._placement.engine_loads(service)
        )
        returns.observe(usable, self._clock())
        return returns

    def _engine_rooms(self, service: ServiceId) -> Iterator[EngineRoom]:
        engine = self._placement.engine_terms(service)
        if engine is None:
            return
        now_s = self._clock()
        token_s = self.lengths.token_s(service)
        for known, load, peer in self._placement.engine_loads(service):
            yield self._engine_room(known, engine, load, peer, token_s)
        memory_tokens = MEMORY_SHARE_MAX * engine.memory_tokens
        for in_s in self._observe(service).expected_in_s(now_s):
            yield EngineRoom(EXPECTED_ENGINE, engine.slots, memory_tokens, 0, 0.0, (), in_s, False)

    def _engine_room(
        self,
        known: KnownUpstream,
        engine: EngineTerms,
        load: UpstreamLoad,
        peer: PeerLoad,
        token_s: float,
    ) -> EngineRoom:
        own = list(load.runs.values())
        peer_tokens = peer.held_tokens + GROWTH_SHARE * peer.growth_tokens
        ends = [self._end_of(known, each, token_s) for each in own]
        if peer.runs:
            mean_left_s = self.lengths.run_s(
                known.record.service,
                peer.unread_tokens / peer.runs,
                peer.growth_tokens / peer.runs,
            )
            ends += spread_ends(peer.runs, peer_tokens, max(RUN_LEFT_MIN_S, mean_left_s))
        hinted = load.hinted_requests(self._clock(), HINT_LIFETIME_S)
        return EngineRoom(
            known.record.id,
            engine.slots,
            MEMORY_SHARE_MAX * engine.memory_tokens,
            len(own) + max(peer.runs, hinted),
            peer_tokens + sum(_planned_tokens(each) for each in own),
            ends,
            unread_tokens=peer.unread_tokens + sum(each.unread_tokens for each in own),
        )

    def _end_of(self, known: KnownUpstream, run: Run, token_s: float) -> RunEnd:
        left_s = self.lengths.run_s(known.record.service, run.unread_tokens, run.growth_tokens)
        if run.growth_tokens <= 0.0:
            left_s += OVERRUN_SHARE * run.generated_tokens * token_s
        return RunEnd(max(RUN_LEFT_MIN_S, left_s), _planned_tokens(run))


def _planned_tokens(run: Run) -> float:
    return run.held_tokens + GROWTH_SHARE * run.growth_tokens


def _ms(seconds: float) -> int | None:
    return None if math.isinf(seconds) else round(seconds * MS_PER_S)
