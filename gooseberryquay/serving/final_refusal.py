"""The final refusal of a request, with the guarantees that hold for what is known of it."""

import time

from gooseberryquay.serving.accepted import AcceptedRequest
from gooseberryquay.serving.refusal import Refusal, RefusalReason

__all__ = ["final_refusal", "guaranteed_refusal"]


def final_refusal(request: AcceptedRequest, message: str, retry_after_s: float) -> Refusal:
    """Return the refusal of a request that is not tried any further."""
    is_late = time.monotonic() >= request.until_s
    if request.execution.may_have_run:
        return Refusal(
            RefusalReason.TIMED_OUT if is_late else RefusalReason.OUTCOME_UNKNOWN, message
        )
    reason = RefusalReason.DEADLINE_PAST if is_late else RefusalReason.NOT_RUN
    return Refusal(reason, message, retry_after_s)


def guaranteed_refusal(request: AcceptedRequest, refusal: Refusal) -> Refusal:
    """Return a refusal, or one that promises nothing if the request may have run."""
    if refusal.reason.promises_not_run and request.execution.may_have_run:
        return Refusal(RefusalReason.OUTCOME_UNKNOWN, refusal.message)
    return refusal
