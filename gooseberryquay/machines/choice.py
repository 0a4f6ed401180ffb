"""Rules that choose an upstream for one request."""

import math
import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from gooseberryquay.contracts.settings import ChoiceRule, ChoiceSettings
from gooseberryquay.machines.choice_affinity import PrefixMemory
from gooseberryquay.machines.dispatch_gate import UpstreamGate
from gooseberryquay.machines.upstream import Upstream, UpstreamView
from gooseberryquay.machines.upstream_peak import expected_peak_tokens
from gooseberryquay.machines.work import Work

__all__ = ["Candidate", "Chooser", "Decision"]

AFFINITY_MEMORY_SHARE_MAX = 0.7
GAP_ALLOWANCE = 0.95
FIXED_STEP_SHARE = 0.5
GAP_PENALTY = 0.2
REPORT_WEIGHT = 0.3
FULL_TRUST_AGE_S = 2.0
COLD_PENALTY = 0.5
QUEUED_PENALTY = 0.5


@dataclass(frozen=True)
class Candidate:
    """Describe one request to the rules, with what is expected of its length."""

    work: Work
    expected_tokens: float
    is_quick: bool
    mix_remaining_tokens: float


@dataclass(frozen=True)
class Decision:
    """Add to a request what holds at the moment of one decision."""

    candidate: Candidate
    gate: UpstreamGate
    sharing_entries: float
    usual_memory_share: float
    now_s: float


class Chooser:
    """Choose among upstreams by one rule; the caller serialises the calls."""

    def __init__(self, settings: ChoiceSettings, random_source: random.Random) -> None:
        self._settings = settings
        self._random = random_source
        self._turn = 0
        self.prefixes = PrefixMemory()

    def choose(self, decision: Decision, upstreams: Sequence[Upstream]) -> Upstream | None:
        """Give the upstream that takes the request, or None when none can."""
        if self._settings.rule is ChoiceRule.EXPECTED_MEMORY:
            return self._by_expected_memory(decision, upstreams)
        open_upstreams = [each for each in upstreams if decision.gate.is_open(each)]
        if not open_upstreams:
            return None
        match self._settings.rule:
            case ChoiceRule.ROUND_ROBIN:
                self._turn += 1
                return open_upstreams[self._turn % len(open_upstreams)]
            case ChoiceRule.LEAST_IN_FLIGHT:
                return self._least_in_flight(open_upstreams)
            case ChoiceRule.POWER_OF_TWO:
                pair = self._random.sample(open_upstreams, min(2, len(open_upstreams)))
                return self._least_in_flight(pair)

    def _least_in_flight(self, upstreams: Sequence[Upstream]) -> Upstream:
        return min(upstreams, key=lambda each: (each.own_in_flight, self._random.random()))

    def _by_expected_memory(
        self, decision: Decision, upstreams: Sequence[Upstream]
    ) -> Upstream | None:
        candidate = decision.candidate
        best: Upstream | None = None
        best_score = math.inf
        admitted = 0
        for upstream in self._in_asking_order(candidate, upstreams):
            if not decision.gate.is_open(upstream):
                continue
            score = self._score(decision, upstream)
            if score is None:
                continue
            if score < best_score:
                best, best_score = upstream, score
            admitted += 1
            if admitted == self._settings.sample_count:
                break
        return best

    def _in_asking_order(
        self, candidate: Candidate, upstreams: Sequence[Upstream]
    ) -> Iterator[Upstream]:
        """Give upstreams that hold the prefix first, then all others at random."""
        holders = self.prefixes.holders(candidate.work.prefix_hash)
        if holders:
            yield from (each for each in upstreams if each.declaration.id in holders)
        left = list(upstreams)
        while left:
            index = int(self._random.random() * len(left))
            left[index], left[-1] = left[-1], left[index]
            upstream = left.pop()
            if upstream.declaration.id not in holders:
                yield upstream

    def _score(self, decision: Decision, upstream: Upstream) -> float | None:
        candidate = decision.candidate
        in_flight = upstream.expected_in_flight(decision.sharing_entries)
        if upstream.view is UpstreamView.COLD:
            return COLD_PENALTY + in_flight / upstream.declaration.cold_in_flight_max
        gap_share = _gap_share(candidate, upstream, in_flight)
        if gap_share > GAP_ALLOWANCE and _has_late_tokens(candidate, upstream):
            return None
        memory_share = _discounted_memory_share(decision, upstream, in_flight)
        if memory_share > self._memory_share_max(candidate):
            return None
        own_share = _own_memory_share(decision, upstream)
        score = (1.0 - REPORT_WEIGHT) * own_share + REPORT_WEIGHT * memory_share
        score += GAP_PENALTY * gap_share
        if upstream.report is not None and upstream.report.queued > 0:
            score += QUEUED_PENALTY
        has_prefix = upstream.declaration.id in self.prefixes.holders(candidate.work.prefix_hash)
        if has_prefix and memory_share < AFFINITY_MEMORY_SHARE_MAX:
            score -= _prefix_gain(candidate, upstream)
        return score

    def _memory_share_max(self, candidate: Candidate) -> float:
        if candidate.is_quick:
            return self._settings.quick_memory_share_max
        return self._settings.memory_share_max


def _gap_share(candidate: Candidate, upstream: Upstream, in_flight: float) -> float:
    """Give the time between tokens expected with one more request, as a share of the promise."""
    report = upstream.report
    gap_s = upstream.token_gap_s
    if report is not None:
        growth = (in_flight + 1.0) / (report.in_flight + 1.0)
        gap_s = upstream.step_s * (FIXED_STEP_SHARE + (1.0 - FIXED_STEP_SHARE) * growth)
    return gap_s / candidate.work.token_gap_s


def _has_late_tokens(candidate: Candidate, upstream: Upstream) -> bool:
    """Tell whether own tokens come late there; one long prefill in a report is no sign of it."""
    if not upstream.work:
        return False
    return upstream.token_gap_s > GAP_ALLOWANCE * candidate.work.token_gap_s


def _memory_share(decision: Decision, upstream: Upstream, in_flight: float) -> float:
    candidate = decision.candidate
    report = upstream.report
    if report is None or report.kv_total_tokens == 0:
        return in_flight / upstream.declaration.in_flight_max
    held_tokens = upstream.expected_held_tokens(decision.sharing_entries, decision.now_s)
    remaining_tokens = upstream.expected_remaining_tokens(
        candidate.mix_remaining_tokens, in_flight, decision.now_s
    )
    count = in_flight + 1.0
    total_remaining = in_flight * remaining_tokens + candidate.expected_tokens
    total_held = held_tokens + candidate.work.prompt_tokens
    peak_tokens = expected_peak_tokens(count, total_held / count, total_remaining / count)
    return peak_tokens / report.kv_total_tokens


def _discounted_memory_share(decision: Decision, upstream: Upstream, in_flight: float) -> float:
    """Give the memory share, the more from all own work the older the report is."""
    reported_share = _memory_share(decision, upstream, in_flight)
    age_s = decision.now_s - upstream.reported_at_s
    if upstream.report is None or age_s <= FULL_TRUST_AGE_S:
        return reported_share
    trust = FULL_TRUST_AGE_S / age_s
    return trust * reported_share + (1.0 - trust) * decision.usual_memory_share


def _own_memory_share(decision: Decision, upstream: Upstream) -> float:
    """Give the memory share if every entry had as much work there as this one.

    Unlike the report it is never late, so that entries which balance it do not all choose the
    same upstream.
    """
    report = upstream.report
    if report is None or report.kv_total_tokens == 0:
        own_count = (upstream.own_in_flight + 1) * decision.sharing_entries
        return own_count / upstream.declaration.in_flight_max
    candidate = decision.candidate
    count = upstream.own_in_flight + 1
    own = upstream.own_load(decision.now_s)
    held_tokens = candidate.work.prompt_tokens + own.held_tokens
    remaining_tokens = candidate.expected_tokens + own.remaining_tokens
    peak_tokens = expected_peak_tokens(count, held_tokens / count, remaining_tokens / count)
    return decision.sharing_entries * peak_tokens / report.kv_total_tokens


def _prefix_gain(candidate: Candidate, upstream: Upstream) -> float:
    report = upstream.report
    if report is None or report.kv_total_tokens == 0:
        return 0.0
    return 0.1 + candidate.work.prompt_tokens / report.kv_total_tokens
