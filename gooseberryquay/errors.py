"""Failures that reach a caller, each with its type, HTTP status and what is known of the run."""

from dataclasses import dataclass
from enum import Enum
from typing import ClassVar

__all__ = [
    "AnswerNotKept",
    "CallerLeft",
    "DeadlinePast",
    "DeadlineUnreachable",
    "EntryLeaving",
    "Failure",
    "GenerationLost",
    "IdempotencyKeyRequired",
    "IdempotencyKeyReused",
    "InternalError",
    "InvalidRequest",
    "NotFound",
    "NotReady",
    "Overloaded",
    "PlatformUnavailable",
    "Ran",
    "RequestTooLarge",
    "RequestTooOld",
    "SuspectedCrash",
    "UnknownModel",
    "UnknownOutcome",
    "UnknownWorkspace",
    "UntimedKeysFull",
    "UpstreamFailed",
    "WrongWorkspace",
]


class Ran(Enum):
    """Say whether the refused request was run by an upstream."""

    NO = "no"
    MAYBE = "maybe"
    YES = "yes"


@dataclass(frozen=True)
class Failure:
    """Describe why a request got no full answer.

    `ran` is NO only where no upstream can have started the request.
    """

    type: ClassVar[str] = "failure"
    status: ClassVar[int] = 500

    message: str
    ran: Ran = Ran.NO
    retry_after_s: float | None = None


class InvalidRequest(Failure):
    """Report a request that breaks the caller API's rules."""

    type = "invalid_request"
    status = 400


class IdempotencyKeyRequired(Failure):
    """Report an operation that may not be repeated and came without a usable key."""

    type = "idempotency_key_required"
    status = 400


class IdempotencyKeyReused(Failure):
    """Report an idempotency key that was used before with a different request."""

    type = "idempotency_key_reused"
    status = 422


class UntimedKeysFull(Failure):
    """Report that no more idempotency keys without a creation time can be kept."""

    type = "untimed_keys_full"
    status = 503


class RequestTooLarge(Failure):
    """Report a body over the configured size."""

    type = "request_too_large"
    status = 413


class UnknownModel(Failure):
    """Report a model that no declared service carries."""

    type = "unknown_model"
    status = 404


class NotFound(Failure):
    """Report a path, service or operation that does not exist."""

    type = "not_found"
    status = 404


class UnknownWorkspace(Failure):
    """Report a missing or undeclared workspace."""

    type = "unknown_workspace"
    status = 403


class WrongWorkspace(Failure):
    """Report a resume of a generation that belongs to another workspace."""

    type = "wrong_workspace"
    status = 403


class DeadlineUnreachable(Failure):
    """Report a request given up because its deadline cannot be met."""

    type = "deadline_unreachable"
    status = 503


class DeadlinePast(Failure):
    """Report a request whose deadline was past when it arrived."""

    type = "deadline_past"
    status = 400


class Overloaded(Failure):
    """Report that no upstream can take the request soon."""

    type = "overloaded"
    status = 503


class EntryLeaving(Failure):
    """Report that this entry is draining and takes no new work."""

    type = "entry_leaving"
    status = 503


class NotReady(Failure):
    """Report that this entry holds no confirmed configuration yet."""

    type = "not_ready"
    status = 503


class PlatformUnavailable(Failure):
    """Report that the platform cannot record a request that needs a record."""

    type = "platform_unavailable"
    status = 503


class RequestTooOld(Failure):
    """Report an idempotency key from before the retained horizon."""

    type = "request_too_old"
    status = 409


class UnknownOutcome(Failure):
    """Report a request that may have run and whose answer is not known."""

    type = "unknown_outcome"
    status = 409


class AnswerNotKept(Failure):
    """Report a request that ran and whose answer was too large to be recorded."""

    type = "answer_not_kept"
    status = 409


class SuspectedCrash(Failure):
    """Report a request that crashed too many upstreams."""

    type = "suspected_crash"
    status = 422


class GenerationLost(Failure):
    """Report a generation that ended before its last token and cannot be resumed."""

    type = "generation_lost"
    status = 410


class UpstreamFailed(Failure):
    """Report an upstream that broke off or answered wrongly."""

    type = "upstream_failed"
    status = 502


class CallerLeft(Failure):
    """Record that the caller closed its connection; nobody is answered with it."""

    type = "caller_left"
    status = 400


class InternalError(Failure):
    """Report a fault of the entry itself."""

    type = "internal_error"
    status = 500
