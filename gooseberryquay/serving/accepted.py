"""Requests that passed routing and authorization."""

from dataclasses import dataclass

from gooseberryquay.ids import Fingerprint, ServiceId
from gooseberryquay.links.caller_watch import CallerWatch
from gooseberryquay.serving.call import Call
from gooseberryquay.serving.ports import ResponseWriter
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
    response_writer: ResponseWriter
    fingerprint: Fingerprint
    part_fingerprints: tuple[Fingerprint, ...] = ()
