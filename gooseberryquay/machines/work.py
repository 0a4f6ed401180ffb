"""Requests as seen by the dispatcher, and their placements."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from result import Result

from gooseberryquay.contracts.upstream import UpstreamDeclaration
from gooseberryquay.errors import Failure
from gooseberryquay.ids import RequestId, ServiceId, UpstreamId, WorkKind, WorkspaceId
from gooseberryquay.machines.load_report import LoadReport

__all__ = ["Dispatcher", "Outcome", "Placement", "Work"]


@dataclass(frozen=True)
class Work:
    """Describe one request to place; `deadline_at_s` is monotonic clock time.

    Equal requests have equal fingerprints.
    """

    request_id: RequestId
    workspace: WorkspaceId
    service: ServiceId
    kind: WorkKind
    fingerprint: str
    prompt_tokens: int
    max_tokens: int
    prefix_hash: str
    deadline_at_s: float
    first_token_s: float
    token_gap_s: float
    excluded: frozenset[UpstreamId] = frozenset()


class Outcome(Enum):
    """Outcome of a placed request at its upstream."""

    FINISHED = "finished"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"


class Placement(Protocol):
    """Occupy capacity at an upstream for one request until `finish` is called."""

    @property
    def upstream(self) -> UpstreamDeclaration:
        """Return the chosen upstream."""

    @property
    def priority(self) -> int:
        """Return the engine priority; 0 is the most urgent."""

    def record_report(self, report: LoadReport) -> None:
        """Process a load report that came with the response."""

    def record_tokens(self, count: int) -> None:
        """Record that tokens arrived."""

    def finish(self, outcome: Outcome) -> None:
        """Release the placement; later calls have no effect."""


class Dispatcher(Protocol):
    """Choose upstreams and queue requests until an upstream is available."""

    def place(self, work: Work) -> Result[Placement, Failure]:
        """Wait for a placement; fail immediately if none can be expected."""
