"""Conversion of a request to a waiter with an estimated length and a timeout."""

from gooseberryquay.contracts.settings import ChoiceSettings
from gooseberryquay.machines.choice import RequestEstimate
from gooseberryquay.machines.length_estimate import LengthEstimator
from gooseberryquay.machines.queue_waiter import Waiter
from gooseberryquay.machines.work import Work

__all__ = ["make_waiter"]

LOW_LENGTH_QUANTILE = 0.1
MIN_GAP_SHARE = 0.25


def make_waiter(
    work: Work, lengths: LengthEstimator, settings: ChoiceSettings, now_s: float
) -> Waiter:
    """Make a waiter that times out once the first-token target or deadline is missed."""
    distribution = lengths.distribution(work.workspace, work.service, work.kind, work.max_tokens)
    expected_tokens = min(distribution.mean_tokens, float(work.max_tokens))
    estimate = RequestEstimate(
        work=work,
        expected_tokens=expected_tokens,
        is_quick=expected_tokens <= settings.quick_tokens_max,
        other_remaining_tokens=lengths.service_distribution(work.service).mean_residual_tokens,
    )
    likely_min_tokens = min(
        distribution.quantile_tokens(LOW_LENGTH_QUANTILE), float(work.max_tokens)
    )
    latest_start_s = work.deadline_at_s - likely_min_tokens * work.token_gap_s * MIN_GAP_SHARE
    patience_s = work.first_token_s * settings.queue_patience
    return Waiter(estimate, now_s, min(now_s + patience_s, latest_start_s))
