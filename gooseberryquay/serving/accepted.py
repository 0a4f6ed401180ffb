"""A request that its route and key allow."""

from dataclasses import dataclass

from gooseberryquay.ids import Fingerprint, ServiceId
from gooseberryquay.links.caller_watch import CallerWatch
from gooseberryquay.serving.call import Call
from gooseberryquay.serving.ports import ResponseWriter
from gooseberryquay.serving.route import Route, Workspace

__all__ = ["AcceptedRequest"]


@dataclass(frozen=True, slots=True)
class AcceptedRequest:
    """Hold a request with what was decided about it on arrival."""

    call: Call
    route: Route
    service: ServiceId
    workspace: Workspace | None
    version: int
    until_s: float
    caller: CallerWatch
    answer: ResponseWriter
    fingerprint: Fingerprint
