"""Turn a request into a waiter with what is expected of its length and patience."""

from gooseberryquay.contracts.settings import ChoiceSettings
from gooseberryquay.machines.choice import Candidate
from gooseberryquay.machines.length_estimate import LengthEstimator
from gooseberryquay.machines.queue_waiter import Waiter
from gooseberryquay.machines.work import Work

__all__ = ["make_waiter"]

SURE_LENGTH_SHARE = 0.1
SURE_GAP_SHARE = 0.25


def make_waiter(
    work: Work, lengths: LengthEstimator, settings: ChoiceSettings, now_s: float
) -> Waiter:
    """Make a waiter that is given up where first token or deadline can't be met any more."""
    curve = lengths.curve(work.workspace, work.service, work.kind, work.max_tokens)
    expected_tokens = min(curve.mean_tokens, float(work.max_tokens))
    candidate = Candidate(
        work=work,
        expected_tokens=expected_tokens,
        is_quick=expected_tokens <= settings.quick_tokens_max,
        mix_remaining_tokens=lengths.service_curve(work.service).residual_tokens,
    )
    sure_tokens = min(curve.quantile_tokens(SURE_LENGTH_SHARE), float(work.max_tokens))
    latest_start_s = work.deadline_at_s - sure_tokens * work.token_gap_s * SURE_GAP_SHARE
    patience_s = work.first_token_s * settings.queue_patience
    return Waiter(candidate, now_s, min(now_s + patience_s, latest_start_s))
