"""Rules that choose an upstream for one request."""

import math
import random
from collections.abc import Collection, Iterator, Sequence

from gooseberryquay.contracts.settings import ChoiceRule, ChoiceSettings
from gooseberryquay.ids import UpstreamId
from gooseberryquay.machines.memory_score import Candidate, Decision, MemoryScore
from gooseberryquay.machines.prefix_affinity import PrefixMemory
from gooseberryquay.machines.upstream import Upstream

__all__ = ["Candidate", "Chooser", "Decision"]


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
        holders = self.prefixes.holders(candidate.work.prefix_hash)
        score_of = MemoryScore(decision, self._memory_share_max(candidate), holders).of
        is_open = decision.gate.is_open
        best: Upstream | None = None
        best_score = math.inf
        admitted = 0
        for upstream in self._in_asking_order(holders, upstreams):
            if not is_open(upstream):
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

    def _in_asking_order(
        self, holders: Collection[UpstreamId], upstreams: Sequence[Upstream]
    ) -> Iterator[Upstream]:
        """Give upstreams that hold the prefix first, then all others at random."""
        if holders:
            yield from (each for each in upstreams if each.declaration.id in holders)
        left = list(upstreams)
        while left:
            index = int(self._random.random() * len(left))
            left[index], left[-1] = left[-1], left[index]
            upstream = left.pop()
            if not holders or upstream.declaration.id not in holders:
                yield upstream

    def _memory_share_max(self, candidate: Candidate) -> float:
        if candidate.is_quick:
            return self._settings.quick_memory_share_max
        return self._settings.memory_share_max
