"""Caller API: checks common to all requests, and the paths of each kind of request."""

import logging
from collections.abc import Callable
from typing import Protocol

from result import Err, Ok

from gooseberryquay.errors import (
    EntryLeaving,
    Failure,
    InternalError,
    NotFound,
    NotReady,
    Ran,
    RequestTooLarge,
)
from gooseberryquay.ids import RequestId
from gooseberryquay.links.caller_request import (
    CallerContext,
    allow_for_earlier_run,
    read_context,
    request_id_of,
)
from gooseberryquay.links.http_server import Request, Response, Router
from gooseberryquay.links.in_flight import InFlightCounter
from gooseberryquay.links.refusal import refuse
from gooseberryquay.links.streaming_gateway import CallerDisconnected
from gooseberryquay.zones.configuration import Configuration

__all__ = ["Answer", "CallerApi", "EntryState"]

RETRY_ELSEWHERE_S = 1.0

Answer = Callable[[Request, CallerContext], Response]
logger = logging.getLogger("gooseberryquay.caller")


class EntryState(Protocol):
    """Tell whether the entry may take new work."""

    def readiness(self) -> Failure | None:
        """Give the reason why a balancer should turn away, if there is one."""

    def refusal(self) -> Failure | None:
        """Give the reason not to take new work, if there is one."""


class CallerApi(Router):
    """Route caller requests, counting those that are open."""

    def __init__(
        self,
        configuration: Callable[[], Configuration],
        state: EntryState,
        in_flight: InFlightCounter,
        body_bytes_max: int,
    ) -> None:
        super().__init__()
        self._configuration = configuration
        self._state = state
        self._in_flight = in_flight
        self._body_bytes_max = body_bytes_max

    def add_work(self, method: str, path: str, answer: Answer) -> None:
        """Register a path whose requests are work: counted, and refused during a drain."""
        self.add(method, path, lambda request: self._answer_counted(request, answer))

    def _answer_counted(self, request: Request, answer: Answer) -> Response:
        self._in_flight.enter()
        try:
            return self._answer(request, answer)
        finally:
            self._in_flight.leave()

    def _answer(self, request: Request, answer: Answer) -> Response:
        request_id = request_id_of(request)
        failure = self._check(request)
        if failure is not None:
            return refuse(allow_for_earlier_run(failure, request), request_id)
        match read_context(request, request_id, self._configuration()):
            case Err(failure):
                return refuse(allow_for_earlier_run(failure, request), request_id)
            case Ok(context):
                return self._call(answer, request, context)

    def _check(self, request: Request) -> Failure | None:
        if len(request.body) > self._body_bytes_max:
            return RequestTooLarge(f"the body is over {self._body_bytes_max} bytes")
        is_resume = "last-event-id" in request.headers
        match self._state.refusal():
            case EntryLeaving() if is_resume:
                return None
            case NotReady() if is_resume:
                return None
            case refusal:
                return refusal

    def _call(self, answer: Answer, request: Request, context: CallerContext) -> Response:
        try:
            return answer(request, context)
        except CallerDisconnected:
            raise
        except Exception:
            logger.exception("request failed", extra={"request_id": context.request_id})
            fault = InternalError("the entry failed", Ran.MAYBE, RETRY_ELSEWHERE_S)
            return refuse(fault, RequestId(context.request_id))

    def _missing(self, request: Request, status: int) -> Response:
        failure = NotFound(f"no such path or method: {request.method} {request.path[:200]}")
        refused = refuse(failure, request_id_of(request))
        return Response(status, refused.body, headers=refused.headers)
