"""Responses that follow from the age of a key and from its recorded state."""

import time

from result import Err, Ok, Result

from gooseberryquay.contracts.posting_settings import PostingSettings
from gooseberryquay.errors import (
    AnswerNotKept,
    Failure,
    IdempotencyKeyReused,
    Ran,
    RequestTooOld,
    UnknownOutcome,
)
from gooseberryquay.postings.claim_index import KeyPhase, KeyState
from gooseberryquay.postings.posting import Posting
from gooseberryquay.postings.records import Answered

__all__ = ["answer_duplicate", "check_age"]

RETRY_AFTER_S = 1.0


def answer_duplicate(
    posting: Posting, state: KeyState, running_s: float
) -> Result[Answered, Failure]:
    """Answer a request whose key an earlier request has claimed.

    A claim counts as running until it is `running_s` seconds old.
    """
    if state.fingerprint != posting.fingerprint():
        ran = Ran.YES if state.phase is KeyPhase.ANSWERED else Ran.MAYBE
        return Err(IdempotencyKeyReused("the key was used with a different body", ran))
    match state:
        case KeyState(phase=KeyPhase.ANSWERED, answer=Answered(is_kept=True) as answer):
            return Ok(answer)
        case KeyState(phase=KeyPhase.ANSWERED):
            return Err(AnswerNotKept("it ran, but its response was too large to store", Ran.YES))
        case KeyState(phase=KeyPhase.CLAIMED) if _may_be_running(state, running_s):
            message = "an earlier request with this key is in progress"
            return Err(UnknownOutcome(message, Ran.MAYBE, RETRY_AFTER_S))
        case _:
            message = "an earlier request with this key may have run; its response is lost"
            return Err(UnknownOutcome(message, Ran.MAYBE))


def _may_be_running(state: KeyState, running_s: float) -> bool:
    return time.time() - state.claimed_at_s < running_s


def check_age(posting: Posting, settings: PostingSettings) -> Failure | None:
    """Reject keys whose records may already be deleted, and keys created in the future."""
    created_at_s = posting.created_at_s()
    if created_at_s is None:
        return None
    age_s = time.time() - created_at_s
    if age_s > settings.horizon_s - settings.clock_skew_s:
        return RequestTooOld("the key is too old: its records may already be deleted", Ran.MAYBE)
    if age_s < -settings.clock_skew_s:
        return RequestTooOld("the key's creation time lies in the future", Ran.MAYBE)
    return None
