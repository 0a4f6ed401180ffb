"""How sending one operation to an upstream ended, as far as it is known."""

from dataclasses import dataclass

from gooseberryquay.errors import Failure

__all__ = ["AnsweredByUpstream", "DispatchOutcome", "NotSent", "RefusedByUpstream", "Undecided"]


@dataclass(frozen=True)
class AnsweredByUpstream:
    """Hold the upstream's own whole answer."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True)
class NotSent:
    """Report with proof that no upstream has received the operation."""

    failure: Failure


@dataclass(frozen=True)
class RefusedByUpstream:
    """Report the upstream's own statement that it did not run the operation."""

    message: str
    retry_after_s: float | None = None


@dataclass(frozen=True)
class Undecided:
    """Report that the operation may have run and its answer is not known."""

    message: str

    def after(self, later: "DispatchOutcome") -> "DispatchOutcome":
        """Give the outcome where the operation was sent once more: only an answer settles it."""
        return later if isinstance(later, AnsweredByUpstream) else self


DispatchOutcome = AnsweredByUpstream | NotSent | RefusedByUpstream | Undecided
