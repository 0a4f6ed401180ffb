"""Decide which waiting generation goes first, and which waits or is refused at once.

Addresses the load of generations that contend for the engines of one service: those that wait at
this entry, and the sums that other entries report. Has no threads, clock or I/O.
"""

import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

import xxhash

from gooseberryquay.ids import UpstreamId
from gooseberryquay.serving.room_forecast import RoomForecast

__all__ = [
    "Claim",
    "Contention",
    "Demand",
    "Outlook",
    "Refuse",
    "ReturnTimes",
    "ServedShares",
    "Wait",
    "is_blocked",
]

# Counts of what was asked and served lately lose half of their weight in this time, about the
# period in which demand varies.
HALF_LIFE_S = 10.0
# Every class is to be served a quarter as often as all; the rest allows for late counts.
STARVED_SHARE = 0.35
# Fewer requests say nothing about a share.
ASKED_MIN = 3.0
# A late generation yields for this share of the time for which it is still of use.
YIELD_SHARE = 0.5
# A workspace yields if it used this many times its share.
OVER_SHARE = 1.25
# Entries learn of each other's load about as often.
EXCHANGE_PERIOD_S = 0.4
DRAWS = 1 << 32
# An engine is kept for a generation that is this many times as large as others that wait, once it
# has waited for this long: others would take each place before there is room for it.
LARGE_RATIO = 1.5
BLOCKED_AFTER_S = 1.0
# A forecast is that much too long at times; a refusal must be certain.
CERTAIN_SHARE = 0.7
RETRY_AFTER_MIN_S = 0.1
RETRY_AFTER_MAX_S = 30.0
# Bounds how far the returns are spread beyond the first free place.
SPREAD_MAX_S = 10.0
RETURN_STEP_MIN_S = 0.02
# Half octaves.
SIZES_PER_OCTAVE = 2


@dataclass(frozen=True, slots=True)
class Claim:
    """Describe a waiting generation; it is of no use to its caller if begun after `useful_until_s`.

    Late generations, which are past `late_at_s`, are worth little.
    """

    sequence: int
    arrived_at_s: float
    rank: int
    workspace: int
    tokens: float
    run_s: float
    late_at_s: float
    useful_until_s: float


@dataclass(frozen=True, slots=True)
class Demand:
    """Sum the generations of one rank and workspace that wait and are not late, and recent use.

    `blocked_tokens` is the size of the largest one that has waited for long, late ones included.
    """

    rank: int
    workspace: int
    waiting: int
    waiting_tokens: float
    served_tokens: float
    blocked_tokens: float = 0.0


@dataclass(frozen=True, slots=True)
class Outlook:
    """Describe when a claim is expected to get a place.

    `step_s` is the time between the places of all entries that refuse callers now.
    """

    wait_s: float
    ahead: int
    step_s: float
    is_idle: bool
    never_fits: bool = False


@dataclass(frozen=True, slots=True)
class Wait:
    """Keep a generation waiting that is expected to get a place in `wait_s`."""

    wait_s: float


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse a generation; its caller may return after `retry_after_s`."""

    wait_s: float
    retry_after_s: float


_Class = tuple[str, int]


class ServedShares:
    """Track which share of recent generations of each rank, workspace and size was served."""

    def __init__(self) -> None:
        self._asked: dict[_Class, float] = {}
        self._served: dict[_Class, float] = {}
        self._decayed_at_s = 0.0

    def record(self, claim: Claim, is_served: bool, now_s: float) -> None:
        """Record that a generation was placed or refused."""
        self._decay(now_s)
        for each in (_ALL, *_classes_of(claim)):
            self._asked[each] = self._asked.get(each, 0.0) + 1.0
            self._served[each] = self._served.get(each, 0.0) + is_served

    def starved(self, claims: Iterable[Claim]) -> set[int]:
        """Return the sequence numbers of claims of a class that was served far less than all."""
        bound = STARVED_SHARE * self._share(_ALL)
        classes = {
            each
            for each, asked in self._asked.items()
            if asked >= ASKED_MIN and self._share(each) < bound
        }
        if not classes:
            return set()
        return {each.sequence for each in claims if classes.intersection(_classes_of(each))}

    def of_rank(self, rank: int) -> float:
        """Return the share of a rank that was served, 1 if nothing was asked."""
        return self._share(("rank", rank))

    def _share(self, each: _Class) -> float:
        asked = self._asked.get(each, 0.0)
        return self._served[each] / asked if asked else 1.0

    def _decay(self, now_s: float) -> None:
        factor = 0.5 ** (max(0.0, now_s - self._decayed_at_s) / HALF_LIFE_S)
        self._decayed_at_s = now_s
        for each in list(self._asked):
            self._asked[each] *= factor
            self._served[each] *= factor
            if self._asked[each] < 0.01:
                del self._asked[each], self._served[each]


_ALL: _Class = ("all", 0)


def _classes_of(claim: Claim) -> tuple[_Class, ...]:
    size = round(SIZES_PER_OCTAVE * math.log2(max(1.0, claim.tokens)))
    return ("rank", claim.rank), ("workspace", claim.workspace), ("size", size)


class Contention:
    """Rank the claims of one service at one moment, in view of what other entries report."""

    def __init__(
        self,
        *,
        claims: Sequence[Claim],
        told: Sequence[Demand],
        used_tokens: Mapping[int, float],
        shares: ServedShares,
        now_s: float,
        draw_seed: int = 0,
    ) -> None:
        self._draw_seed = draw_seed
        self._told = [each for each in told if each.waiting > 0]
        blocked = [each.tokens for each in claims if is_blocked(each, now_s)]
        self._blocked_tokens = max([*blocked, *(each.blocked_tokens for each in told)], default=0.0)
        self._used_tokens = used_tokens
        self._shares = shares
        self._now_s = now_s
        self._starved = shares.starved(claims)
        self.ordered = sorted(claims, key=self._order)

    def _order(self, claim: Claim) -> tuple[bool, bool, int, float, float, int]:
        return (
            claim.sequence not in self._starved,
            self._now_s > claim.late_at_s,
            claim.rank,
            self._used_tokens.get(claim.workspace, 0.0),
            claim.late_at_s,
            claim.sequence,
        )

    def remove(self, claim: Claim) -> None:
        """Take a claim out that was placed."""
        self.ordered = [each for each in self.ordered if each is not claim]

    def may_pass(self, claim: Claim, blocked: Sequence[Claim]) -> bool:
        """Return whether a claim may go before others that do not fit on any engine.

        A less urgent rank may not be served more often than a more urgent one that is kept waiting.
        """
        if claim.sequence in self._starved:
            return True
        share = self._shares.of_rank(claim.rank)
        return all(
            each.rank >= claim.rank or share <= self._shares.of_rank(each.rank) for each in blocked
        )

    def kept_engine(self, claim: Claim, engines: Iterable[UpstreamId]) -> UpstreamId | None:
        """Return the engine that is kept for a generation much larger than a claim, if one waits.

        All entries choose the same one. Runs that end sooner than large work could wait are let in.
        """
        is_long = claim.run_s > BLOCKED_AFTER_S
        if not is_long or claim.tokens * LARGE_RATIO > self._blocked_tokens:
            return None
        return min(engines, key=lambda each: xxhash.xxh32_intdigest(each.encode()), default=None)

    def _is_kept_for(self, claim: Claim) -> bool:
        """Return whether an engine is kept for a claim, which then yields to nobody."""
        usual_tokens = _mean_tokens(self._told)
        is_large = claim.tokens > LARGE_RATIO * usual_tokens
        is_largest = claim.tokens >= self._blocked_tokens
        return is_large and is_largest and is_blocked(claim, self._now_s)

    def must_yield(self, claim: Claim, forecast: Callable[[], RoomForecast]) -> bool:
        """Return whether a place is left to generations at other entries for now.

        Nothing yields while there is room for those as well, nor for longer than it can afford.
        """
        if not self._told or claim.sequence in self._starved or self._is_kept_for(claim):
            return False
        before = self._told_before(claim)
        waiting = sum(each.waiting for each in before)
        if before and forecast().free_places(_mean_tokens(before)) <= waiting:
            return self._now_s < self._yields_until_s(claim)
        return self._loses_draw(claim, forecast())

    def _yields_until_s(self, claim: Claim) -> float:
        if self._now_s > claim.late_at_s:
            left_s = claim.useful_until_s - claim.late_at_s
            return claim.late_at_s + YIELD_SHARE * left_s
        return claim.late_at_s

    def _told_before(self, claim: Claim) -> list[Demand]:
        """Return the demand of other entries that a claim yields to."""
        if self._now_s > claim.late_at_s:
            return self._told
        is_over = self._is_over_share(claim.workspace)
        return [
            each
            for each in self._told
            if each.rank < claim.rank
            or (each.rank == claim.rank and is_over and not self._is_over_share(each.workspace))
        ]

    def _loses_draw(self, claim: Claim, forecast: RoomForecast) -> bool:
        """Return whether places that all entries see are left to others of the same rank.

        Each entry takes its share of them by chance, once for each exchange of loads; all would
        take the same places otherwise.
        """
        is_over = self._is_over_share(claim.workspace)
        waiting = sum(
            each.waiting
            for each in self._told
            if each.rank == claim.rank and (is_over or not self._is_over_share(each.workspace))
        )
        free = max(1, forecast.places_within(claim.tokens, claim.run_s, EXCHANGE_PERIOD_S))
        if free > waiting or self._now_s > claim.late_at_s:
            return False
        period = int(self._now_s / EXCHANGE_PERIOD_S)
        seed = f"{self._draw_seed} {claim.sequence} {period}".encode()
        draw = xxhash.xxh32_intdigest(seed) / DRAWS
        return draw * (waiting + 1) > free

    def _is_over_share(self, workspace: int) -> bool:
        contenders = {each.workspace for each in self._told} | {workspace}
        contenders |= {each.workspace for each in self.ordered}
        used = {each: self._used_tokens.get(each, 0.0) for each in contenders}
        return used[workspace] * len(used) > OVER_SHARE * sum(used.values())

    def outlooks(self, forecast: RoomForecast) -> Iterable[tuple[Claim, Outlook]]:
        """Yield each claim in order with the time at which it is expected to get a place."""
        ahead_tokens = 0.0
        told_waiting = sum(each.waiting for each in self._told)
        waiting = len(self.ordered)
        crowd = (waiting + told_waiting) / max(1, waiting)
        is_idle = forecast.is_half_free and waiting + told_waiting <= 1
        for ahead, claim in enumerate(self.ordered):
            told_tokens, told_count = self._told_ahead(claim)
            count = 1 + math.ceil((ahead_tokens + told_tokens) / max(1.0, claim.tokens))
            wait_s = forecast.wait_s(claim.tokens, count, claim.run_s)
            next_s = forecast.wait_s(claim.tokens, count + waiting, claim.run_s)
            step_s = (next_s - wait_s) / waiting * crowd if next_s < math.inf else 0.0
            never_fits = forecast.never_fits(claim.tokens)
            yield claim, Outlook(wait_s, ahead + told_count, step_s, is_idle, never_fits)
            ahead_tokens += claim.tokens

    def _told_ahead(self, claim: Claim) -> tuple[float, int]:
        """Return tokens and number of generations elsewhere that go first.

        Of those of the same rank half are taken to have come earlier.
        """
        tokens, count = 0.0, 0.0
        is_late = self._now_s > claim.late_at_s
        for each in self._told:
            weight = 1.0 if is_late or each.rank < claim.rank else 0.5
            if is_late or each.rank <= claim.rank:
                tokens += weight * each.waiting_tokens
                count += weight * each.waiting
        return tokens, round(count)


def is_blocked(claim: Claim, now_s: float) -> bool:
    """Return whether a claim has waited for so long that, if large, an engine is kept for it."""
    return now_s - claim.arrived_at_s >= BLOCKED_AFTER_S


def _mean_tokens(demands: Sequence[Demand]) -> float:
    waiting = sum(each.waiting for each in demands)
    return sum(each.waiting_tokens for each in demands) / max(1, waiting)


class ReturnTimes:
    """Give refused callers times to return that follow each other as places become free."""

    def __init__(self) -> None:
        self._last_at_s = -math.inf

    def verdict(self, claim: Claim, outlook: Outlook, now_s: float, noise: float) -> Wait | Refuse:
        """Return whether a claim waits; `noise` from 0 to 1 tells entries apart."""
        if outlook.never_fits:
            return Refuse(math.inf, RETRY_AFTER_MAX_S)
        left_s = claim.useful_until_s - now_s
        is_certain = not math.isinf(outlook.wait_s) and CERTAIN_SHARE * outlook.wait_s > left_s
        if outlook.is_idle or not is_certain:
            return Wait(outlook.wait_s)
        return Refuse(outlook.wait_s, self.next_s(outlook, now_s, noise))

    def next_s(self, outlook: Outlook, now_s: float, noise: float) -> float:
        """Return the seconds after which the next refused caller is to return."""
        wait_s = outlook.wait_s if not math.isinf(outlook.wait_s) else 0.0
        first_at_s = now_s + wait_s
        step_s = max(RETURN_STEP_MIN_S, outlook.step_s)
        at_s = max(first_at_s, self._last_at_s + step_s)
        self._last_at_s = at_s = min(at_s, first_at_s + SPREAD_MAX_S)
        return min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, at_s - now_s + noise * step_s))
