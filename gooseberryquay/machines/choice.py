"""Load-balancing rules that choose an upstream for one request."""

import math
import random
from collections.abc import Collection, Iterator, Sequence

from gooseberryquay.contracts.settings import ChoiceRule, ChoiceSettings
from gooseberryquay.ids import UpstreamId
from gooseberryquay.machines.memory_score import ChoiceContext, MemoryScorer, RequestEstimate
from gooseberryquay.machines.prefix_affinity import PrefixAffinity
from gooseberryquay.machines.upstream import Upstream

__all__ = ["ChoiceContext", "Chooser", "RequestEstimate"]


class Chooser:
    """Choose among upstreams by the configured rule; callers must serialize the calls."""

    def __init__(self, settings: ChoiceSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._round_robin_index = 0
        self.prefixes = PrefixAffinity()

    def choose(self, context: ChoiceContext, upstreams: Sequence[Upstream]) -> Upstream | None:
        """Return the upstream for the request, or None if no upstream is eligible."""
        if self._settings.rule is ChoiceRule.EXPECTED_MEMORY:
            return self._by_expected_memory(context, upstreams)
        eligible = [each for each in upstreams if context.eligibility.is_eligible(each)]
        if not eligible:
            return None
        match self._settings.rule:
            case ChoiceRule.ROUND_ROBIN:
                self._round_robin_index += 1
                return eligible[self._round_robin_index % len(eligible)]
            case ChoiceRule.LEAST_IN_FLIGHT:
                return self._least_in_flight(eligible)
            case ChoiceRule.POWER_OF_TWO:
                pair = self._rng.sample(eligible, min(2, len(eligible)))
                return self._least_in_flight(pair)

    def _least_in_flight(self, upstreams: Sequence[Upstream]) -> Upstream:
        return min(upstreams, key=lambda each: (each.own_in_flight, self._rng.random()))

    def _by_expected_memory(
        self, context: ChoiceContext, upstreams: Sequence[Upstream]
    ) -> Upstream | None:
        estimate = context.estimate
        holders = self.prefixes.holders(estimate.work.prefix_hash)
        score_of = MemoryScorer(context, self._memory_share_max(estimate), holders).compute_score
        is_eligible = context.eligibility.is_eligible
        best: Upstream | None = None
        best_score = math.inf
        admitted = 0
        for upstream in self._in_sampling_order(holders, upstreams):
            if not is_eligible(upstream):
                continue
            score = score_of(upstream)
            if score is None:
                continue
            if score < best_score:
                best, best_score = upstream, score
            admitted += 1
            if admitted == self._settings.sample_count:
                break
        return best

    def _in_sampling_order(
        self, holders: Collection[UpstreamId], upstreams: Sequence[Upstream]
    ) -> Iterator[Upstream]:
        """Yield upstreams that hold the prefix first, then all others in random order."""
        if holders:
            yield from (each for each in upstreams if each.declaration.id in holders)
        left = list(upstreams)
        while left:
            index = int(self._rng.random() * len(left))
            left[index], left[-1] = left[-1], left[index]
            upstream = left.pop()
            if not holders or upstream.declaration.id not in holders:
                yield upstream

    def _memory_share_max(self, estimate: RequestEstimate) -> float:
        if estimate.is_quick:
            return self._settings.quick_memory_share_max
        return self._settings.memory_share_max
