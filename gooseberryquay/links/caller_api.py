"""Caller API: routing of caller requests and the checks that all of them share."""

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
    UpstreamFailed,
)
from gooseberryquay.ids import RequestId
from gooseberryquay.links.caller_request import (
    LAST_EVENT_ID_HEADER,
    CallerContext,
    mark_possible_earlier_run,
    read_context,
    request_id_of,
)
from gooseberryquay.links.http_server import Request, Response, Router
from gooseberryquay.links.in_flight import InFlightCounter
from gooseberryquay.links.refusal import refuse
from gooseberryquay.links.streaming_gateway import CallerDisconnected
from gooseberryquay.zones.configuration import Configuration

__all__ = ["CallerApi", "CallerRequestHandler", "EntryState"]

RETRY_ELSEWHERE_S = 1.0

CallerRequestHandler = Callable[[Request, CallerContext], Response]
logger = logging.getLogger("gooseberryquay.caller")


class EntryState(Protocol):
    """Report whether the entry accepts new work."""

    def refusal_of(self, deadline_at_s: float) -> Failure | None:
        """Return why the entry rejects a request with this deadline, or None."""

    def readiness(self) -> Failure | None:
        """Return why a load balancer should not route to this entry, or None."""

    def refusal(self) -> Failure | None:
        """Return why the entry rejects new work, or None."""


class CallerApi(Router):
    """Route caller requests and count those in flight."""

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

    def add_work(self, method: str, path: str, handler: CallerRequestHandler) -> None:
        """Register a path whose requests are counted as in flight and refused while draining."""
        self.add(method, path, lambda request: self._handle_counted(request, handler))

    def _handle_counted(self, request: Request, handler: CallerRequestHandler) -> Response:
        request_id = request_id_of(request)
        with self._in_flight.track(lambda: _end_unfinished(request, request_id)):
            return self._handle(request, request_id, handler)

    def _handle(
        self, request: Request, request_id: RequestId, handler: CallerRequestHandler
    ) -> Response:
        failure = self._check(request)
        if failure is not None:
            return refuse(mark_possible_earlier_run(failure, request), request_id)
        match read_context(request, request_id, self._configuration()):
            case Err(failure):
                return refuse(mark_possible_earlier_run(failure, request), request_id)
            case Ok(context):
                return self._call(handler, request, context)

    def _check(self, request: Request) -> Failure | None:
        if len(request.body) > self._body_bytes_max:
            return RequestTooLarge(f"the body is over {self._body_bytes_max} bytes")
        is_resume = LAST_EVENT_ID_HEADER in request.headers
        match self._state.refusal():
            case EntryLeaving() if is_resume:
                return None
            case NotReady() if is_resume:
                return None
            case refusal:
                return refusal

    def _call(
        self, handler: CallerRequestHandler, request: Request, context: CallerContext
    ) -> Response:
        try:
            return handler(request, context)
        except CallerDisconnected:
            raise
        except Exception:
            logger.exception("request failed", extra={"request_id": context.request_id})
            fault = InternalError("the entry failed", Ran.MAYBE, RETRY_ELSEWHERE_S)
            return refuse(fault, RequestId(context.request_id))

    def _unmatched(self, request: Request, status: int) -> Response:
        failure = NotFound(f"no such path or method: {request.method} {request.path[:200]}")
        refused = refuse(failure, request_id_of(request))
        return Response(status, refused.body, headers=refused.headers)


def _end_unfinished(request: Request, request_id: RequestId) -> None:
    """Give a request that is open at the entry's exit a final response, unless one has started."""
    message = "the entry stopped before the response was complete"
    response = refuse(UpstreamFailed(message, Ran.MAYBE, RETRY_ELSEWHERE_S), request_id)
    try:
        is_answered = request.conclude(response)
    except CallerDisconnected:
        is_answered = False
    logger.warning(message, extra={"request_id": request_id, "is_answered": is_answered})
