"""Learn how long the events of streams take at each engine, from own streams and from peers.

Addresses the runs that this entry relays; peers add what they have learnt from theirs.
"""

import threading
import time
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from gooseberryquay.ids import ServiceId, UpstreamId
from gooseberryquay.serving.machine_slowdown import MachineSlowdowns
from gooseberryquay.serving.pace_choice import SLOWDOWN_DWELL_S, PaceTerms

__all__ = ["EnginePaces"]

# About a second of a stream, during which the slowdown of a machine changes several times.
EVENTS_KEPT = 24
# Fewer events do not tell what is usual at an engine.
EVENTS_TYPICAL_MIN = 8
# Below most events that meet a slowdown or a prompt, above those that arrive in a burst.
TYPICAL_SHARE = 0.3
# Until an engine's own events outweigh the guess from its service.
SERVICE_WEIGHT = 1.0
TOLD_WEIGHT = 8.0
OWN_WEIGHT_MAX = 16.0
# Only engines with runs are told of; the pace of one that is idle for a while does not change.
TOLD_LIFETIME_S = 60.0
# Long streams wait for a new engine's first events, which short responses bring, rather than
# find out that it is slow.
CAUTIOUS_SHARE = 0.75
ENGINES_REMEMBERED = 64
RATIOS_KEPT = 48
# Used until the first streams are seen: an event of four steps of 8.5 ms.
DEFAULT_EVENT_S = 0.034
# Per further run; corrected by events at different numbers of runs.
DEFAULT_CROWDING = 0.03
CROWDING_MAX = 0.3
CROWDING_PRIOR = 200.0
FIT_DECAY = 0.998
RATIO_MAX = 4.0
# Corrected by events that meet a prompt.
DEFAULT_READING_FACTOR = 2.0
READING_FACTOR_MAX = 6.0
READING_STEP = 0.04
# An event that takes less longer than usual has met neither a prompt nor a slowdown.
READING_RATIO_MIN = 1.3
# Engines read 14 prompt tokens per ms where an event takes 34 ms.
DEFAULT_READ_SHARE = 1.0 / (14.0 * 34.0)
TERMS_LIFETIME_S = 0.1
# Fewer spans do not show rare slowdowns beside prompts.
SPANS_MIN = 20


@dataclass
class _Samples:
    born_ms: int | None
    events_s: deque[float] = field(default_factory=lambda: deque(maxlen=EVENTS_KEPT))
    typical_s: float = 0.0
    span_began_at_s: float = 0.0
    span_longest: float = 0.0


@dataclass
class _ServicePace:
    """Hold what the engines of a service have in common."""

    engines: dict[UpstreamId, float] = field(default_factory=dict)
    reading_factor: float = DEFAULT_READING_FACTOR
    read_shares: deque[float] = field(default_factory=lambda: deque(maxlen=RATIOS_KEPT))
    # Decayed sums of a least-squares fit of relative event times to the number of other runs.
    weight: float = 0.0
    x: float = 0.0
    y: float = 0.0
    xx: float = 0.0
    xy: float = 0.0
    unknown_s: float = DEFAULT_EVENT_S
    terms: PaceTerms | None = None
    terms_at_s: float = 0.0

    def fit(self, others: int, ratio: float) -> None:
        """Add an event's time, relative to that of a lone stream at its engine."""
        for name, value in (
            ("weight", 1.0),
            ("x", float(others)),
            ("y", ratio),
            ("xx", float(others * others)),
            ("xy", others * ratio),
        ):
            setattr(self, name, getattr(self, name) * FIT_DECAY + value)

    def crowding(self) -> float:
        """Return the share by which each further run lengthens events."""
        if not self.weight:
            return DEFAULT_CROWDING
        spread = self.xx - self.x * self.x / self.weight
        common = self.xy - self.x * self.y / self.weight
        slope = (common + DEFAULT_CROWDING * CROWDING_PRIOR) / (spread + CROWDING_PRIOR)
        return min(CROWDING_MAX, max(0.0, slope))

    def record_engine(self, upstream: UpstreamId, event_s: float) -> None:
        """Keep the pace of an engine, and a cautious guess for engines not seen."""
        self.engines.pop(upstream, None)
        self.engines[upstream] = event_s
        if len(self.engines) > ENGINES_REMEMBERED:
            del self.engines[next(iter(self.engines))]
        ordered = sorted(self.engines.values())
        self.unknown_s = ordered[int(CAUTIOUS_SHARE * len(ordered))]


class EnginePaces:
    """Track the pace of engines; thread-safe."""

    def __init__(
        self, slowdowns: MachineSlowdowns, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._slowdowns = slowdowns
        self._clock = clock
        self._samples: dict[UpstreamId, _Samples] = {}
        self._told: dict[UpstreamId, tuple[float, float]] = {}
        self._services: dict[ServiceId, _ServicePace] = {}
        self._lock = threading.Lock()

    def is_used(self, service: ServiceId) -> bool:
        """Return whether the engines of a service are chosen by their pace."""
        return self._slowdowns.is_shared(service)

    def record_event(
        self,
        service: ServiceId,
        upstream: UpstreamId,
        event_s: float,
        *,
        born_ms: int | None,
        runs: int,
    ) -> None:
        """Record the time between two events of a stream that shares an engine with others."""
        if not self.is_used(service) or event_s <= 0.0:
            return
        usual = self._slowdowns.usual(service, upstream)
        with self._lock:
            pace = self._service(service)
            others = max(0, runs - 1)
            samples = self._samples.get(upstream)
            if samples is not None and samples.born_ms != born_ms:
                # What peers have told is of the previous incarnation.
                self._told.pop(upstream, None)
                samples = None
            if samples is None:
                samples = self._samples[upstream] = _Samples(born_ms)
            crowded = 1.0 + pace.crowding() * others
            samples.events_s.append(event_s / (crowded * usual))
            samples.typical_s = _typical(samples.events_s)
            relative_s = self._relative_s(pace, upstream)
            pace.record_engine(upstream, relative_s)
            ratio = event_s / (relative_s * usual)
            self._add_to_span(service, samples, ratio / crowded)
            if ratio < READING_RATIO_MIN * crowded:
                pace.fit(others, ratio)
            elif ratio < RATIO_MAX * crowded:
                # Moves towards the median; what peers tell of prompts is too late to select events.
                is_above = ratio / crowded > pace.reading_factor
                factor = pace.reading_factor * (1.0 + (READING_STEP if is_above else -READING_STEP))
                pace.reading_factor = min(READING_FACTOR_MAX, max(1.0, factor))

    def _add_to_span(self, service: ServiceId, samples: _Samples, ratio: float) -> None:
        now_s = self._clock()
        samples.span_longest = max(samples.span_longest, ratio)
        if len(samples.events_s) < EVENTS_TYPICAL_MIN:
            samples.span_began_at_s = now_s
        elif now_s - samples.span_began_at_s >= SLOWDOWN_DWELL_S:
            self._slowdowns.record_span(service, samples.span_longest)
            samples.span_began_at_s, samples.span_longest = now_s, 0.0

    def record_first(
        self, service: ServiceId, upstream: UpstreamId, first_s: float, tokens: float
    ) -> None:
        """Record the time to a first event and the prompt tokens read until then."""
        if tokens <= 0.0 or not self.is_used(service):
            return
        mean = self.terms(service).mean_slowdown
        event_s = self.event_s(service, upstream)
        with self._lock:
            self._service(service).read_shares.append(first_s / (tokens * mean * event_s))

    def record_told(self, paces: Iterable[tuple[UpstreamId, float]]) -> None:
        """Record the paces that a peer has learnt."""
        now_s = self._clock()
        with self._lock:
            for upstream, event_s in paces:
                previous = self._told.get(upstream)
                if previous is not None and now_s - previous[1] < TOLD_LIFETIME_S:
                    self._told[upstream] = ((event_s + previous[0]) / 2.0, now_s)
                else:
                    self._told[upstream] = (event_s, now_s)

    def own(self, upstream: UpstreamId) -> float | None:
        """Return the pace learnt from own streams, None before the first event."""
        with self._lock:
            samples = self._samples.get(upstream)
            return samples.typical_s if samples is not None else None

    def shared(self, upstream: UpstreamId) -> float | None:
        """Return the pace learnt from own and peers' streams, None if neither is known."""
        own = self.own(upstream)
        with self._lock:
            told = self._told_s(upstream)
        if own is None or told is None:
            return told if own is None else own
        return (own + told) / 2.0

    def event_s(self, service: ServiceId, upstream: UpstreamId) -> float:
        """Return the time between the events of a lone stream on an undisturbed machine."""
        usual = self._slowdowns.usual(service, upstream)
        with self._lock:
            return usual * self._relative_s(self._service(service), upstream)

    def terms(self, service: ServiceId) -> PaceTerms:
        """Return what the engines of a service have in common."""
        now_s = self._clock()
        with self._lock:
            pace = self._service(service)
            if pace.terms is not None and now_s - pace.terms_at_s < TERMS_LIFETIME_S:
                return pace.terms
        slowdowns = self._slowdowns.ordered(service)
        fastest = self._slowdowns.fastest(service)
        spans = self._slowdowns.spans(service)
        with self._lock:
            read_share = DEFAULT_READ_SHARE
            if pace.read_shares:
                ordered = sorted([*pace.read_shares, DEFAULT_READ_SHARE])
                read_share = ordered[len(ordered) // 2]
            pace.terms = PaceTerms(
                pace.crowding(),
                pace.reading_factor,
                read_share,
                fastest * min(pace.engines.values(), default=DEFAULT_EVENT_S),
                slowdowns,
                sum(slowdowns) / len(slowdowns) if slowdowns else 1.0,
                spans if len(spans) >= SPANS_MIN else (),
            )
            pace.terms_at_s = now_s
            return pace.terms

    def forget(self, keep: Iterable[UpstreamId]) -> None:
        """Drop upstreams that are not in `keep`."""
        kept = set(keep)
        with self._lock:
            for known in (self._samples, self._told):
                for upstream in [each for each in known if each not in kept]:
                    del known[upstream]

    def _service(self, service: ServiceId) -> _ServicePace:
        return self._services.setdefault(service, _ServicePace())

    def _told_s(self, upstream: UpstreamId) -> float | None:
        told = self._told.get(upstream)
        if told is None or self._clock() - told[1] > TOLD_LIFETIME_S:
            return None
        return told[0]

    def _relative_s(self, pace: _ServicePace, upstream: UpstreamId) -> float:
        """Return the time of an event as it would be on a machine of the usual speed."""
        weight = SERVICE_WEIGHT
        total = weight * pace.unknown_s
        samples = self._samples.get(upstream)
        if samples is not None and samples.events_s:
            own_weight = min(OWN_WEIGHT_MAX, float(len(samples.events_s)))
            total += own_weight * samples.typical_s
            weight += own_weight
        told = self._told_s(upstream)
        if told is not None:
            total += TOLD_WEIGHT * told
            weight += TOLD_WEIGHT
        return total / weight


def _typical(events_s: Iterable[float]) -> float:
    ordered = sorted(events_s)
    return ordered[int(TYPICAL_SHARE * len(ordered))]
