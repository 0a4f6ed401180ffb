"""Score of one upstream for one request by expected memory."""

from collections.abc import Collection
from dataclasses import dataclass

from gooseberryquay.ids import UpstreamId
from gooseberryquay.machines.upstream import LoadTerms, OwnLoad, Upstream, UpstreamView
from gooseberryquay.machines.upstream_eligibility import UpstreamGate
from gooseberryquay.machines.upstream_peak import expected_peak_tokens
from gooseberryquay.machines.work import Work

__all__ = ["Candidate", "Decision", "MemoryScore"]

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


class MemoryScore:
    """Score upstreams for one decision, with what is the same for all of them read once."""

    __slots__ = (
        "_expected_tokens",
        "_holders",
        "_memory_share_max",
        "_mix_remaining_tokens",
        "_now_s",
        "_prompt_tokens",
        "_sharing_entries",
        "_token_gap_s",
        "_usual_memory_share",
    )

    def __init__(
        self, decision: Decision, memory_share_max: float, holders: Collection[UpstreamId]
    ) -> None:
        candidate = decision.candidate
        self._expected_tokens = candidate.expected_tokens
        self._mix_remaining_tokens = candidate.mix_remaining_tokens
        self._prompt_tokens = candidate.work.prompt_tokens
        self._token_gap_s = candidate.work.token_gap_s
        self._sharing_entries = decision.sharing_entries
        self._usual_memory_share = decision.usual_memory_share
        self._now_s = decision.now_s
        self._memory_share_max = memory_share_max
        self._holders = holders

    def of(self, upstream: Upstream) -> float | None:
        """Give the score, the lower the better, or None where the request may not go there."""
        terms = upstream.load_terms(self._sharing_entries)
        if upstream.view is UpstreamView.COLD:
            return COLD_PENALTY + terms.in_flight / upstream.declaration.cold_in_flight_max
        gap_share = self._gap_share(upstream, terms)
        if gap_share > GAP_ALLOWANCE and self._has_late_tokens(upstream):
            return None
        report = upstream.report
        if report is None or report.kv_total_tokens == 0:
            memory_share = self._count_share(upstream, terms)
            own_count = (terms.own_count + 1) * self._sharing_entries
            own_share = own_count / upstream.declaration.in_flight_max
        else:
            own = upstream.own_load(self._now_s)
            peak_tokens = self._peak_tokens(upstream, terms, own)
            memory_share = self._discounted(peak_tokens / report.kv_total_tokens, upstream)
            own_peak_tokens = self._own_peak_tokens(terms, own)
            own_share = self._sharing_entries * own_peak_tokens / report.kv_total_tokens
        if memory_share > self._memory_share_max:
            return None
        score = (1.0 - REPORT_WEIGHT) * own_share + REPORT_WEIGHT * memory_share
        score += GAP_PENALTY * gap_share
        if report is not None and report.queued > 0:
            score += QUEUED_PENALTY
        if self._holders and memory_share < AFFINITY_MEMORY_SHARE_MAX:
            score -= self._prefix_gain(upstream)
        return score

    def _gap_share(self, upstream: Upstream, terms: LoadTerms) -> float:
        """Give the expected time between tokens with the request, as a share of the promise."""
        report = upstream.report
        if report is None:
            return upstream.token_gap_s / self._token_gap_s
        growth = (terms.in_flight + 1.0) / (report.in_flight + 1.0)
        gap_s = upstream.step_s * (FIXED_STEP_SHARE + (1.0 - FIXED_STEP_SHARE) * growth)
        return gap_s / self._token_gap_s

    def _has_late_tokens(self, upstream: Upstream) -> bool:
        """Tell whether own tokens come late; one long prefill in a report is no sign of it."""
        if not upstream.work:
            return False
        return upstream.token_gap_s > GAP_ALLOWANCE * self._token_gap_s

    def _count_share(self, upstream: Upstream, terms: LoadTerms) -> float:
        share = terms.in_flight / upstream.declaration.in_flight_max
        return self._discounted(share, upstream) if upstream.report is not None else share

    def _peak_tokens(self, upstream: Upstream, terms: LoadTerms, own: OwnLoad) -> float:
        """Give the expected peak of the memory in use with the request included."""
        in_flight = terms.in_flight
        total_remaining = own.remaining_tokens + terms.other_count * self._mix_remaining_tokens
        mean_remaining = total_remaining / max(1.0, in_flight)
        count = in_flight + 1.0
        total_held = upstream.held_tokens(terms, own, self._now_s) + self._prompt_tokens
        remaining_tokens = in_flight * mean_remaining + self._expected_tokens
        return expected_peak_tokens(count, total_held / count, remaining_tokens / count)

    def _discounted(self, reported_share: float, upstream: Upstream) -> float:
        """Give the memory share, the more from all own work the older the report is."""
        age_s = self._now_s - upstream.reported_at_s
        if age_s <= FULL_TRUST_AGE_S:
            return reported_share
        trust = FULL_TRUST_AGE_S / age_s
        return trust * reported_share + (1.0 - trust) * self._usual_memory_share

    def _own_peak_tokens(self, terms: LoadTerms, own: OwnLoad) -> float:
        """Give the expected peak of own requests with this one included.

        Unlike a report it is never late, so that entries which balance it do not all choose the
        same upstream.
        """
        count = terms.own_count + 1
        held_tokens = self._prompt_tokens + own.held_tokens
        remaining_tokens = self._expected_tokens + own.remaining_tokens
        return expected_peak_tokens(count, held_tokens / count, remaining_tokens / count)

    def _prefix_gain(self, upstream: Upstream) -> float:
        report = upstream.report
        if upstream.declaration.id not in self._holders:
            return 0.0
        if report is None or report.kv_total_tokens == 0:
            return 0.0
        return 0.1 + self._prompt_tokens / report.kv_total_tokens
