"""Choose an engine by the expected time to the first event and the expected pauses of streams.

Addresses the runs that an entry and its peers have placed on the engines of one service. A decision
without threads, clock or I/O; `serving/placement.py` collects its inputs and carries it out.
"""

import math
import random
from bisect import bisect_right
from collections.abc import Sequence
from dataclasses import dataclass

__all__ = [
    "SLOWDOWN_DWELL_S",
    "EngineState",
    "Forecast",
    "PaceTerms",
    "StreamNeed",
    "choose",
    "forecast",
    "urgency_weight",
]

# Slowdowns change several times per second, so a stream meets a new one about as often.
SLOWDOWN_DWELL_S = 0.3
# A first event expected by this share of the time left is on time, one expected at twice the time
# left is late. Prompts placed by others meanwhile and slowdowns cause the spread.
FIRST_SAFE_SHARE = 0.8
FIRST_LATE_SHARE = 1.2
# Late streams of a route count this many times those of the next less urgent one.
URGENCY_RATIO = 2.0
# Decide between engines at which no stream is expected to be late.
EVEN_WEIGHT = 0.05
FIRST_WEIGHT = 0.05
PAUSE_WEIGHT = 0.05
# Responses of this many events have hardly any pauses and leave fast engines to long streams.
SHORT_EVENTS_MAX = 8.0
RESERVE_WEIGHT = 0.15
# Differences in cost below this are within the error of the forecast, so that entries with the
# same view spread over these engines.
SPREAD_COST = 0.04
# Bounds the prompts that a long stream is expected to meet at an engine of short responses.
PROMPTS_PER_RUN_MAX = 4.0
ROOM_MIN = 0.02
PROBABILITY_MAX = 0.999
# Events last this many times the forecast, each equally likely: pace and slowdowns are learnt from
# few events.
FORECAST_ERRORS = (0.85, 1.0, 1.15)


@dataclass(frozen=True, slots=True)
class PaceTerms:
    """Describe the pace of a service's engines.

    `slowdowns` holds sorted samples; an event of a stream takes `reading_factor` times as long
    while a prompt is read, and a prompt token `read_share` of the time of an event.
    """

    crowding: float
    reading_factor: float
    read_share: float
    fastest_event_s: float
    slowdowns: Sequence[float]
    mean_slowdown: float = 1.0
    # Sorted: the longest event of each span of a stream, in units of the usual event there.
    spans: Sequence[float] = ()

    def highest_of(self, samples: float) -> float:
        """Return the highest slowdown expected among a number of samples."""
        count = len(self.slowdowns)
        if not count:
            return 1.0
        return self.slowdowns[min(count - 1, int(count * (1.0 - 1.0 / (1.0 + samples))))]


@dataclass(frozen=True, slots=True)
class EngineState:
    """Describe an engine without the new stream, except for `memory_share`.

    `event_s` is the time between the events of a lone stream on an undisturbed machine.
    """

    event_s: float
    runs: int
    growth_events: float
    unread_tokens: float
    memory_share: float
    penalty: float = 0.0


@dataclass(frozen=True, slots=True)
class StreamNeed:
    """Describe a stream to place; `first_left_s` is None if its prompt need not be read."""

    prompt_tokens: int
    events: float
    gap_s: float | None
    first_left_s: float | None
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Forecast:
    """State what a placement is expected to cause; `cost` is the weighted number of late streams.

    `lateness` is the probability that the new stream is late.
    """

    first_s: float
    pause_s: float
    lateness: float
    cost: float


def urgency_weight(priority: int) -> float:
    """Return the weight of a route's late streams; a lower priority number is more urgent."""
    return float(URGENCY_RATIO**-priority)


def forecast(engine: EngineState, need: StreamNeed, terms: PaceTerms) -> Forecast:
    """Return what placing a stream on an engine is expected to cause."""
    others = engine.runs
    event_s = engine.event_s * (1.0 + terms.crowding * others)
    # Prompts of this service are about as long as each other.
    prompt_s = terms.read_share * engine.event_s * need.prompt_tokens
    first_s = 0.0
    late_first = 0.0
    if need.first_left_s is not None:
        unread = engine.unread_tokens + need.prompt_tokens
        first_s = terms.read_share * engine.event_s * unread * terms.mean_slowdown + event_s
        share = first_s / max(need.first_left_s, 1e-3)
        spread = FIRST_LATE_SHARE - FIRST_SAFE_SHARE
        late_first = min(1.0, max(0.0, (share - FIRST_SAFE_SHARE) / spread))
    waiting = engine.unread_tokens / max(1, need.prompt_tokens)
    events_left = engine.growth_events / others if others else need.events
    # Runs are on average halfway, and others follow those that end.
    replaced = max(1, others) * min(PROMPTS_PER_RUN_MAX, need.events / max(2.0, 2.0 * events_left))
    # Spans that were seen have met such prompts.
    reading_s = prompt_s * (waiting + (0.0 if terms.spans else replaced))
    plain, reading = _samples(event_s, need.events, reading_s, terms)
    pause_s = _longest_s(event_s, plain, reading, terms)
    late_pause = 0.0
    if need.gap_s is not None:
        late_pause = _lateness(event_s, plain, reading, need.gap_s, terms)
    lateness = 1.0 - (1.0 - late_first) * (1.0 - late_pause)
    cost = need.weight * lateness + engine.penalty
    cost += EVEN_WEIGHT * engine.memory_share * engine.memory_share
    if need.first_left_s is not None:
        cost += FIRST_WEIGHT * min(2.0, first_s / max(need.first_left_s, 1e-3))
    if need.gap_s is not None:
        cost += PAUSE_WEIGHT * min(2.0, pause_s / need.gap_s)
        cost += others * _added_lateness(engine, need, terms, events_left, need.gap_s)
    if need.events <= SHORT_EVENTS_MAX:
        cost += RESERVE_WEIGHT * min(1.0, terms.fastest_event_s / engine.event_s)
    return Forecast(first_s, pause_s, lateness, cost)


def _added_lateness(
    engine: EngineState, need: StreamNeed, terms: PaceTerms, events_left: float, gap_s: float
) -> float:
    """Return by how much a placement raises the probability that a stream there is late."""
    if events_left < 1.0 or not engine.runs:
        return 0.0
    prompt_s = terms.read_share * engine.event_s * need.prompt_tokens
    followers = 0.0 if terms.spans else engine.runs / 2
    reading_s = prompt_s * (engine.unread_tokens / max(1, need.prompt_tokens) + followers)
    event_s = engine.event_s * (1.0 + terms.crowding * engine.runs)
    added_s = 0.0 if need.first_left_s is None else prompt_s
    before_s = engine.event_s * (1.0 + terms.crowding * max(0, engine.runs - 1))
    samples = _samples(event_s, events_left, reading_s + added_s, terms)
    after = _lateness(event_s, *samples, gap_s, terms)
    if after <= 0.0:
        return 0.0
    samples = _samples(before_s, events_left, reading_s, terms)
    return max(0.0, after - _lateness(before_s, *samples, gap_s, terms))


def _samples(
    event_s: float, events: float, reading_s: float, terms: PaceTerms
) -> tuple[float, float]:
    """Return how many slowdowns a stream meets without and beside the reading of a prompt."""
    gaps = events - 1.0
    if gaps <= 0.0:
        return 0.0, 0.0
    total_s = gaps * event_s
    share = min(1.0, reading_s / (total_s * terms.reading_factor))
    samples = min(gaps, 1.0 + total_s / SLOWDOWN_DWELL_S)
    return samples * (1.0 - share), samples * share


def _longest_s(event_s: float, plain: float, reading: float, terms: PaceTerms) -> float:
    longest_s = event_s * terms.highest_of(plain) if plain else 0.0
    if reading:
        longest_s = max(longest_s, event_s * terms.reading_factor * terms.highest_of(reading))
    return longest_s


def _lateness(
    event_s: float, plain: float, reading: float, gap_s: float, terms: PaceTerms
) -> float:
    """Return the probability of a pause over `gap_s`."""
    tolerated = gap_s / event_s
    late = _exceeding(terms.slowdowns, tolerated / terms.reading_factor)
    on_time = math.pow(1.0 - late, reading)
    late = _exceeding(terms.spans or terms.slowdowns, tolerated)
    return 1.0 - on_time * math.pow(1.0 - late, plain)


def _exceeding(samples: Sequence[float], ratio: float) -> float:
    """Return the probability that a ratio is exceeded, given the error of forecasts."""
    if not samples:
        return 0.0
    below = sum(bisect_right(samples, ratio / error) for error in FORECAST_ERRORS)
    return min(PROBABILITY_MAX, 1.0 - below / (len(samples) * len(FORECAST_ERRORS)))


def choose(candidates: Sequence[tuple[Forecast, float]], rng: random.Random) -> int:
    """Return the index of a candidate of low cost, at random by cost and memory share."""
    least = min(each.cost for each, _ in candidates)
    weights = [
        math.exp((least - each.cost) / SPREAD_COST) * max(ROOM_MIN, 1.0 - memory_share)
        for each, memory_share in candidates
    ]
    mark = rng.random() * sum(weights)
    for index, weight in enumerate(weights):
        mark -= weight
        if mark <= 0.0:
            return index
    return len(weights) - 1
