"""Outcomes of sending one operation to an upstream."""

from dataclasses import dataclass

from gooseberryquay.errors import Failure

__all__ = [
    "DispatchOutcome",
    "IndeterminateOutcome",
    "NotExecuted",
    "RefusedByUpstream",
    "UpstreamResponse",
    "join_attempts",
]


@dataclass(frozen=True)
class UpstreamResponse:
    """Represent the upstream's own complete response."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True)
class NotExecuted:
    """Report an operation that provably reached no upstream."""

    failure: Failure


@dataclass(frozen=True)
class RefusedByUpstream:
    """Report an operation that the upstream says it rejected without running it."""

    message: str
    retry_after_s: float | None = None


@dataclass(frozen=True)
class IndeterminateOutcome:
    """Report an operation that may have run and whose response is unknown."""

    message: str


DispatchOutcome = UpstreamResponse | NotExecuted | RefusedByUpstream | IndeterminateOutcome


def join_attempts(former: DispatchOutcome, latest: DispatchOutcome) -> DispatchOutcome:
    """Combine the outcome of earlier attempts with that of the latest one.

    A latest attempt that did not run does not rule out that an earlier one did.
    """
    match former, latest:
        case IndeterminateOutcome(), NotExecuted() | RefusedByUpstream():
            return former
        case _:
            return latest
