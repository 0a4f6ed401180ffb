"""One request as upstream choice sees it, and the place it was given."""

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
    """Describe one request to be placed; times are of the monotonic clock.

    `priority` 0 is the most urgent; `fingerprint` is equal for equal requests.
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
    """Say how a placed request ended at its upstream."""

    FINISHED = "finished"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"


class Placement(Protocol):
    """Hold a request's place at an upstream until `finish` is called."""

    @property
    def upstream(self) -> UpstreamDeclaration:
        """Give the chosen upstream."""

    @property
    def priority(self) -> int:
        """Give the engine priority, 0 the most urgent."""

    def record_report(self, report: LoadReport) -> None:
        """Take in a load report that came with the answer."""

    def record_tokens(self, count: int) -> None:
        """Take in that tokens arrived."""

    def finish(self, outcome: Outcome) -> None:
        """Give the place back; later calls do nothing."""


class Dispatcher(Protocol):
    """Choose upstreams and hold requests until one can take them."""

    def place(self, work: Work) -> Result[Placement, Failure]:
        """Wait for a place, or give the final refusal at once when there will be none."""
