"""Score of one upstream for one request by expected KV-cache memory."""

from collections.abc import Collection
from dataclasses import dataclass

from gooseberryquay.ids import UpstreamId
from gooseberryquay.machines.upstream import LoadEstimate, OwnLoad, Upstream, UpstreamView
from gooseberryquay.machines.upstream_eligibility import EligibilityFilter
from gooseberryquay.machines.upstream_peak import expected_peak_tokens
from gooseberryquay.machines.work import Work

__all__ = ["ChoiceContext", "MemoryScorer", "RequestEstimate"]

AFFINITY_MEMORY_SHARE_MAX = 0.7
GAP_SHARE_MAX = 0.95
FIXED_STEP_SHARE = 0.5
GAP_PENALTY = 0.2
REPORT_WEIGHT = 0.3
FRESH_REPORT_AGE_S = 2.0
COLD_PENALTY = 0.5
QUEUED_PENALTY = 0.5


@dataclass(frozen=True)
class RequestEstimate:
    """One request with the estimate of its output length."""

    work: Work
    expected_tokens: float
    is_quick: bool
    other_remaining_tokens: float


@dataclass(frozen=True)
class ChoiceContext:
    """Combine a request estimate with the state at the time of one choice."""

    estimate: RequestEstimate
    eligibility: EligibilityFilter
    sharing_entries: float
    fallback_memory_share: float
    now_s: float


class MemoryScorer:
    """Score upstreams for one choice; values common to all upstreams are read once."""

    __slots__ = (
        "_expected_tokens",
        "_fallback_memory_share",
        "_holders",
        "_memory_share_max",
        "_now_s",
        "_other_remaining_tokens",
        "_prompt_tokens",
        "_sharing_entries",
        "_token_gap_s",
    )

    def __init__(
        self, context: ChoiceContext, memory_share_max: float, holders: Collection[UpstreamId]
    ) -> None:
        estimate = context.estimate
        self._expected_tokens = estimate.expected_tokens
        self._other_remaining_tokens = estimate.other_remaining_tokens
        self._prompt_tokens = estimate.work.prompt_tokens
        self._token_gap_s = estimate.work.token_gap_s
        self._sharing_entries = context.sharing_entries
        self._fallback_memory_share = context.fallback_memory_share
        self._now_s = context.now_s
        self._memory_share_max = memory_share_max
        self._holders = holders

    def compute_score(self, upstream: Upstream) -> float | None:
        """Return the score (lower is better), or None if the upstream cannot take the request."""
        load_estimate = upstream.load_estimate(self._sharing_entries)
        if upstream.view is UpstreamView.COLD:
            return COLD_PENALTY + load_estimate.in_flight / upstream.declaration.cold_in_flight_max
        gap_share = self._gap_share(upstream, load_estimate)
        if gap_share > GAP_SHARE_MAX and self._has_late_tokens(upstream):
            return None
        report = upstream.report
        if report is None or report.kv_total_tokens == 0:
            memory_share = self._in_flight_share(upstream, load_estimate)
            own_count = (load_estimate.own_count + 1) * self._sharing_entries
            own_share = own_count / upstream.declaration.in_flight_max
        else:
            own = upstream.own_load(self._now_s)
            peak_tokens = self._peak_tokens(upstream, load_estimate, own)
            memory_share = self._weighted_by_age(peak_tokens / report.kv_total_tokens, upstream)
            own_peak_tokens = self._own_peak_tokens(load_estimate, own)
            own_share = self._sharing_entries * own_peak_tokens / report.kv_total_tokens
        if memory_share > self._memory_share_max:
            return None
        score = (1.0 - REPORT_WEIGHT) * own_share + REPORT_WEIGHT * memory_share
        score += GAP_PENALTY * gap_share
        if report is not None and report.queued > 0:
            score += QUEUED_PENALTY
        if self._holders and memory_share < AFFINITY_MEMORY_SHARE_MAX:
            score -= self._prefix_bonus(upstream)
        return score

    def _gap_share(self, upstream: Upstream, load_estimate: LoadEstimate) -> float:
        """Return the expected token gap with the request included, as a share of its target."""
        report = upstream.report
        if report is None:
            return upstream.token_gap_s / self._token_gap_s
        growth = (load_estimate.in_flight + 1.0) / (report.in_flight + 1.0)
        gap_s = upstream.step_s * (FIXED_STEP_SHARE + (1.0 - FIXED_STEP_SHARE) * growth)
        return gap_s / self._token_gap_s

    def _has_late_tokens(self, upstream: Upstream) -> bool:
        """Return whether own tokens arrive late; a long reported step may be a single prefill."""
        if not upstream.own_requests:
            return False
        return upstream.token_gap_s > GAP_SHARE_MAX * self._token_gap_s

    def _in_flight_share(self, upstream: Upstream, load_estimate: LoadEstimate) -> float:
        share = load_estimate.in_flight / upstream.declaration.in_flight_max
        return self._weighted_by_age(share, upstream) if upstream.report is not None else share

    def _peak_tokens(self, upstream: Upstream, load_estimate: LoadEstimate, own: OwnLoad) -> float:
        """Return the expected peak memory use with the request included, in tokens."""
        in_flight = load_estimate.in_flight
        total_remaining = (
            own.remaining_tokens + load_estimate.other_count * self._other_remaining_tokens
        )
        mean_remaining = total_remaining / max(1.0, in_flight)
        count = in_flight + 1.0
        total_held = upstream.held_tokens(load_estimate, own, self._now_s) + self._prompt_tokens
        remaining_tokens = in_flight * mean_remaining + self._expected_tokens
        return expected_peak_tokens(count, total_held / count, remaining_tokens / count)

    def _weighted_by_age(self, reported_share: float, upstream: Upstream) -> float:
        """Blend the reported share with the estimate from own requests as the report ages."""
        age_s = self._now_s - upstream.reported_at_s
        if age_s <= FRESH_REPORT_AGE_S:
            return reported_share
        freshness_weight = FRESH_REPORT_AGE_S / age_s
        return (
            freshness_weight * reported_share
            + (1.0 - freshness_weight) * self._fallback_memory_share
        )

    def _own_peak_tokens(self, load_estimate: LoadEstimate, own: OwnLoad) -> float:
        """Return the expected peak memory of own requests with this one included, in tokens.

        Unlike a report, it is never stale, so entries that balance by it do not all choose the
        same upstream.
        """
        count = load_estimate.own_count + 1
        held_tokens = self._prompt_tokens + own.held_tokens
        remaining_tokens = self._expected_tokens + own.remaining_tokens
        return expected_peak_tokens(count, held_tokens / count, remaining_tokens / count)

    def _prefix_bonus(self, upstream: Upstream) -> float:
        report = upstream.report
        if upstream.declaration.id not in self._holders:
            return 0.0
        if report is None or report.kv_total_tokens == 0:
            return 0.0
        return 0.1 + self._prompt_tokens / report.kv_total_tokens
