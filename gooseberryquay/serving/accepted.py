"""Requests that passed routing and authorization."""

from dataclasses import dataclass, field

from gooseberryquay.ids import Fingerprint, ServiceId
from gooseberryquay.links.caller_watch import CallerWatch
from gooseberryquay.serving.call import Call
from gooseberryquay.serving.execution import Execution
from gooseberryquay.serving.final_response import FinalResponse
from gooseberryquay.serving.route import Route, Workspace

__all__ = ["AcceptedRequest"]


@dataclass(frozen=True, slots=True)
class AcceptedRequest:
    """Represent a request with its route, service, workspace and deadline.

    `part_fingerprints` identify the parts of its prompt that other requests may share.
    """

    call: Call
    route: Route
    service: ServiceId
    workspace: Workspace | None
    version: int
    until_s: float
    caller: CallerWatch
    response_writer: FinalResponse
    fingerprint: Fingerprint
    part_fingerprints: tuple[Fingerprint, ...] = ()
    execution: Execution = field(default_factory=Execution)

    @property
    def may_run_again(self) -> bool:
        """Return whether another run is allowed after those that may have happened."""
        run_count = self.execution.run_count
        if run_count == 0:
            return True
        return self.route.is_retryable and run_count < self.route.attempts_max
