"""How sending one operation to an upstream ended, as far as it is known."""

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
    """Hold the upstream's own whole answer."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True)
class NotExecuted:
    """Report with proof that no upstream has received the operation."""

    failure: Failure


@dataclass(frozen=True)
class RefusedByUpstream:
    """Report the upstream's own statement that it did not run the operation."""

    message: str
    retry_after_s: float | None = None


@dataclass(frozen=True)
class IndeterminateOutcome:
    """Report that the operation may have run and its answer is not known."""

    message: str


DispatchOutcome = UpstreamResponse | NotExecuted | RefusedByUpstream | IndeterminateOutcome


def join_attempts(former: DispatchOutcome, latest: DispatchOutcome) -> DispatchOutcome:
    """Give what is known of an operation after one more attempt.

    An attempt that did not run proves nothing about an earlier one that may have.
    """
    match former, latest:
        case IndeterminateOutcome(), NotExecuted() | RefusedByUpstream():
            return former
        case _:
            return latest
