"""Failures reported to callers, each with its type, HTTP status and execution status."""

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
    """State whether an upstream executed the failed request."""

    NO = "no"
    MAYBE = "maybe"
    YES = "yes"


@dataclass(frozen=True)
class Failure:
    """Describe why a request got no complete response.

    `ran` is NO only if no upstream can have started the request.
    """

    type: ClassVar[str] = "failure"
    status: ClassVar[int] = 500

    message: str
    ran: Ran = Ran.NO
    retry_after_s: float | None = None


class InvalidRequest(Failure):
    """Report a request that violates the rules of the caller API."""

    type = "invalid_request"
    status = 400


class IdempotencyKeyRequired(Failure):
    """Report a non-idempotent operation without a valid idempotency key."""

    type = "idempotency_key_required"
    status = 400


class IdempotencyKeyReused(Failure):
    """Report an idempotency key that was already used with a different request."""

    type = "idempotency_key_reused"
    status = 422


class UntimedKeysFull(Failure):
    """Report that the table of idempotency keys without a creation time is full."""

    type = "untimed_keys_full"
    status = 503


class RequestTooLarge(Failure):
    """Report a request body that exceeds the configured size."""

    type = "request_too_large"
    status = 413


class UnknownModel(Failure):
    """Report a model that no declared service provides."""

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
    """Report an attempt to resume a generation of another workspace."""

    type = "wrong_workspace"
    status = 403


class DeadlineUnreachable(Failure):
    """Report a request that was abandoned because its deadline cannot be met."""

    type = "deadline_unreachable"
    status = 503


class DeadlinePast(Failure):
    """Report a request whose deadline had passed when it arrived."""

    type = "deadline_past"
    status = 400


class Overloaded(Failure):
    """Report that no upstream can accept the request soon."""

    type = "overloaded"
    status = 503


class EntryLeaving(Failure):
    """Report that this entry is draining and accepts no new work."""

    type = "entry_leaving"
    status = 503


class NotReady(Failure):
    """Report that this entry has no confirmed configuration."""

    type = "not_ready"
    status = 503


class PlatformUnavailable(Failure):
    """Report that the platform cannot store a record that the request requires."""

    type = "platform_unavailable"
    status = 503


class RequestTooOld(Failure):
    """Report an idempotency key that is older than the retention horizon."""

    type = "request_too_old"
    status = 409


class UnknownOutcome(Failure):
    """Report a request that may have run and whose response is unknown."""

    type = "unknown_outcome"
    status = 409


class AnswerNotKept(Failure):
    """Report a request that ran and whose response was too large to be stored."""

    type = "answer_not_kept"
    status = 409


class SuspectedCrash(Failure):
    """Report a request that crashed too many upstreams and is no longer run."""

    type = "suspected_crash"
    status = 422


class GenerationLost(Failure):
    """Report a generation that ended before its last token and cannot be resumed."""

    type = "generation_lost"
    status = 410


class UpstreamFailed(Failure):
    """Report an upstream that closed the connection early or sent an invalid response."""

    type = "upstream_failed"
    status = 502


class CallerLeft(Failure):
    """Record that the caller closed its connection; it is never sent as a response."""

    type = "caller_left"
    status = 400


class InternalError(Failure):
    """Report an internal fault of the entry."""

    type = "internal_error"
    status = 500
