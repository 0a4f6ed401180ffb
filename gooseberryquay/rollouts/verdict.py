"""Judge a software version by its answers against those of the present one.

Addresses the load of one roll-out: a few dozen answers of the target over some seconds.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from gooseberryquay.ids import UpstreamId
from gooseberryquay.rollouts.answer_counts import (
    PRESENT_MIN,
    SLOW_FACTOR,
    AnswerCounts,
    EngineCounts,
    slow_bucket,
)

__all__ = ["Evidence", "Finding", "Verdict", "binomial_tail", "judge"]

# Share of bad answers that a good version may have by chance, e.g. while engines are reclaimed.
BAD_SHARE_FLOOR = 0.02
# Engines of the target may be the slower ones, which makes some more of their answers slow.
SLOW_SHARE_FLOOR = 0.06
# The estimate of the present version's share is itself uncertain.
PRESENT_MARGIN = 1.5
# Chance that a good version shows so many bad answers, at one look. There are some ten independent
# looks during a roll-out, each at all routes together and at each route.
FALSE_ALARM = 5e-4
BAD_MIN = 3
# A version is good if one with this additional share of bad answers would hardly look like it.
BAD_SHARE_EXCESS = 0.15
MISSED_ALARM = 0.1
GOOD_MIN = 8
# There are fewer answers on one route.
ROUTE_SHARE_EXCESS = 0.25
# At the end of the time, an excess below this share passes.
LAST_EXCESS = 0.08
ROUTE_LAST_EXCESS = 0.15
# Beside a single engine that is bad, the others have to be known to be sound.
OTHER_ENGINES_MIN = 3


class Verdict(Enum):
    """Enumerate what the answers say of a version."""

    OPEN = "open"
    GOOD = "good"
    BAD = "bad"


@dataclass(frozen=True, slots=True)
class Evidence:
    """Answers of the target and the present version by route, and of the target's engines."""

    target: Mapping[str, AnswerCounts]
    present: Mapping[str, AnswerCounts]
    engines: Mapping[UpstreamId, EngineCounts]


@dataclass(frozen=True, slots=True)
class Finding:
    """Verdict with the numbers behind it; `passes_at_end` applies if no time is left."""

    verdict: Verdict
    answers: int
    bad: int
    present_share: float
    reason: str = ""
    passes_at_end: bool = False


@dataclass(frozen=True, slots=True)
class _Sample:
    answers: int
    bad: int
    present_share: float
    present_answers: int
    slow: int

    def is_bad(self, false_alarm: float) -> bool:
        if self.bad < BAD_MIN:
            return False
        # With few answers of the present version, its share may well be larger than it looks.
        present_max = (self.present_share * self.present_answers + 1.0) / (self.present_answers + 2)
        usual = min(1.0, max(self._floor(), PRESENT_MARGIN * self.present_share, present_max))
        return binomial_tail(self.answers, usual, self.bad) < false_alarm

    def is_good(self, excess: float) -> bool:
        bad_share = min(1.0, self.present_share + excess)
        return 1.0 - binomial_tail(self.answers, bad_share, self.bad + 1) < MISSED_ALARM

    def passes(self, excess: float) -> bool:
        return self.bad <= (max(self._floor(), self.present_share) + excess) * self.answers

    def _floor(self) -> float:
        slow_part = self.slow / self.bad if self.bad else 0.0
        return BAD_SHARE_FLOOR + slow_part * (SLOW_SHARE_FLOOR - BAD_SHARE_FLOOR)


def binomial_tail(count: int, share: float, least: int) -> float:
    """Return the chance of at least `least` events in `count` trials."""
    if least <= 0:
        return 1.0
    below = sum(
        math.comb(count, each) * share**each * (1.0 - share) ** (count - each)
        for each in range(min(least, count + 1))
    )
    return max(0.0, 1.0 - below)


def judge(evidence: Evidence, slow_factor: float = SLOW_FACTOR) -> Finding:
    """Compare the answers on each route and on all routes together."""
    samples = {
        route: _sample(counts, evidence.present.get(route, AnswerCounts()), slow_factor)
        for route, counts in evidence.target.items()
        if counts.answers
    }
    total = _total(list(samples.values()))
    # A route that the present version answers often must have been tried.
    untried = [
        route
        for route, counts in evidence.present.items()
        if counts.answers >= PRESENT_MIN and route not in samples
    ]
    numbers = (total.answers, total.bad, round(total.present_share, 4))
    alarms = 1 + len(samples)
    for route, sample in [("", total), *samples.items()]:
        if sample.is_bad(FALSE_ALARM / alarms):
            if _is_of_one_engine(evidence.engines, total):
                return Finding(Verdict.OPEN, *numbers, "bad answers of one engine only")
            where = f"on route {route}" if route else "on all routes"
            return Finding(Verdict.BAD, *numbers, f"too many bad answers {where}")
    passes_at_end = (
        total.answers >= GOOD_MIN
        and total.passes(LAST_EXCESS)
        and all(each.passes(ROUTE_LAST_EXCESS) for each in samples.values())
    )
    open_routes = untried + [
        route for route, sample in samples.items() if not sample.is_good(ROUTE_SHARE_EXCESS)
    ]
    if total.answers >= GOOD_MIN and total.is_good(BAD_SHARE_EXCESS) and not open_routes:
        return Finding(Verdict.GOOD, *numbers, "answers like the present version", True)
    reason = f"too few good answers on {', '.join(sorted(open_routes)) or 'all routes'}"
    return Finding(Verdict.OPEN, *numbers, reason, passes_at_end)


def _sample(target: AnswerCounts, present: AnswerCounts, slow_factor: float) -> _Sample:
    slow, usual = 0, 0
    for of_target, of_present in ((target.first, present.first), (target.pace, present.pace)):
        bucket = slow_bucket(of_present, slow_factor)
        if bucket is not None:
            usual = max(usual, of_present.above(bucket))
            # The target's engines have less work, so its own usual answers may be the faster ones.
            own = slow_bucket(of_target, slow_factor) if of_target.total >= GOOD_MIN else None
            slow = max(slow, of_target.above(bucket if own is None else min(bucket, own)))
    bad = min(target.answers, target.failures + slow)
    present_bad = min(present.answers, present.failures + usual)
    return _Sample(
        target.answers, bad, present_bad / max(1, present.answers), present.answers, min(slow, bad)
    )


def _total(samples: list[_Sample]) -> _Sample:
    answers = sum(each.answers for each in samples)
    expected = sum(each.answers * each.present_share for each in samples)
    bad, slow = sum(each.bad for each in samples), sum(each.slow for each in samples)
    present_answers = sum(each.present_answers for each in samples)
    return _Sample(answers, bad, expected / max(1, answers), present_answers, slow)


def _is_of_one_engine(engines: Mapping[UpstreamId, EngineCounts], total: _Sample) -> bool:
    """Return whether the answers are like those of the present version without one engine."""
    if not engines:
        return False
    worst = max(engines, key=lambda each: engines[each].bad)
    others = [counts for each, counts in engines.items() if each != worst]
    answers = sum(each.answers for each in others)
    bad = sum(each.bad for each in others)
    if answers < OTHER_ENGINES_MIN or bad > (total.present_share + LAST_EXCESS) * answers:
        return False
    return engines[worst].bad > bad
