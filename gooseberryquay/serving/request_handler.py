"""Accept or refuse each request on arrival, dispatch it and record its outcome."""

import random
import time

from gooseberryquay.ids import UpstreamId, WorkspaceId
from gooseberryquay.links.caller_watch import CallerWatch
from gooseberryquay.links.streaming_gateway import CallerDisconnected
from gooseberryquay.links.upstream_connection import CallerLeft
from gooseberryquay.serving.accepted import AcceptedRequest
from gooseberryquay.serving.call import Call
from gooseberryquay.serving.call_handler import CallHandler
from gooseberryquay.serving.decision_log import DecisionLog
from gooseberryquay.serving.drain_state import DrainState
from gooseberryquay.serving.final_refusal import final_refusal, guaranteed_refusal
from gooseberryquay.serving.final_response import FinalResponse
from gooseberryquay.serving.fingerprint import fingerprint_of, part_fingerprints_of
from gooseberryquay.serving.generation_handler import GenerationHandler
from gooseberryquay.serving.ports import ResponseWriter, RoutingSource
from gooseberryquay.serving.refusal import Refusal, RefusalReason
from gooseberryquay.serving.request_counters import RequestCounters
from gooseberryquay.serving.route import KeyCheck, Route, RouteKind, RoutingTable, Workspace
from gooseberryquay.serving.whole_answer import WholeAnswer

__all__ = ["RequestHandler"]

# An entry reads its configuration within this time if the store is healthy.
NOT_READY_RETRY_AFTER_S = 0.5
# Only another configuration can help.
NO_SERVICE_RETRY_AFTER_S = 2.0
# Another entry can accept the request immediately.
LEAVING_RETRY_AFTER_S = 0.05


class RequestHandler:
    """Handle requests, each in its calling thread."""

    def __init__(
        self,
        *,
        routing: RoutingSource,
        drain_state: DrainState,
        call_handler: CallHandler,
        generation_handler: GenerationHandler,
        counters: RequestCounters,
        log: DecisionLog,
        rng: random.Random,
    ) -> None:
        self._routing = routing
        self._drain_state = drain_state
        self._call_handler = call_handler
        self._generation_handler = generation_handler
        self._counters = counters
        self._log = log
        self._rng = rng
        self._open: dict[int, AcceptedRequest] = {}

    def serve(self, call: Call, caller: CallerWatch, response_writer: ResponseWriter) -> None:
        """Serve a request up to its final response."""
        response = FinalResponse(response_writer)
        routed = self._route(call, caller, response)
        if isinstance(routed, Refusal):
            self._refuse(call, None, response, routed)
            return
        # Registered before the check, so that a drain that begins now finds it in either place.
        self._open[id(routed)] = routed
        try:
            self._serve_routed(routed)
        finally:
            del self._open[id(routed)]

    def refuse_unsent(self) -> None:
        """Refuse at once the requests that were not sent yet and cannot end before the exit."""
        for request in list(self._open.values()):
            if not self._drain_state.can_end(request.until_s):
                request.execution.withdraw_unsent()
                if request.execution.is_withdrawn:
                    self._end_open(request, _entry_leaving())

    def end_open(self) -> int:
        """Answer the requests that are still open as the process exits, and return their number.

        Streams that have begun cannot get another response.
        """
        requests = list(self._open.values())
        for request in requests:
            request.execution.withdraw()
            message = "this entry exited before the response was complete"
            self._end_open(request, final_refusal(request, message, LEAVING_RETRY_AFTER_S))
        return len(requests)

    def _end_open(self, request: AcceptedRequest, refusal: Refusal) -> None:
        status, body = refusal.reason.status, refusal.body()
        try:
            is_answered = request.response_writer.try_send(status, refusal.headers(), body)
        except CallerDisconnected:
            is_answered = False
        if is_answered:
            # Wakes the request's thread, which then finds its caller disconnected.
            request.response_writer.abort()
        self._log.failure(
            "request ended by the drain",
            request.call.id,
            route=request.route.name,
            runs=request.execution.run_count,
            until_ms=round((request.until_s - time.monotonic()) * 1000.0),
            status=status if is_answered else None,
        )

    def _serve_routed(self, request: AcceptedRequest) -> None:
        call = request.call
        try:
            if not self._drain_state.accepts(request.until_s):
                self._refuse(call, None, request.response_writer, _entry_leaving())
                return
            self._serve_accepted(request)
        except CallerDisconnected:
            self._finish(request, "caller left")
        except Exception as error:
            self._log.error("request failed", error, request=call.id)
            if request.response_writer.is_begun:
                request.response_writer.abort()
                return
            refusal = Refusal(RefusalReason.INTERNAL_ERROR, "this entry failed")
            self._refuse(call, request, request.response_writer, refusal)

    def _route(
        self, call: Call, caller: CallerWatch, response: FinalResponse
    ) -> AcceptedRequest | Refusal:
        routing = self._routing.current()
        if routing is None:
            reason = RefusalReason.NO_CONFIGURATION
            return Refusal(reason, "no configuration has been read yet", NOT_READY_RETRY_AFTER_S)
        route = routing.route_of(call.host, call.path)
        if route is None:
            return Refusal(RefusalReason.NOT_FOUND, f"no route in version {routing.version}")
        workspace = self._workspace_of(routing, route, call)
        if isinstance(workspace, Refusal):
            return workspace
        service = route.pick_service(self._rng)
        if service is None:
            message = f"route {route.name} has no service in version {routing.version}"
            return Refusal(RefusalReason.NO_UPSTREAM, message, NO_SERVICE_RETRY_AFTER_S)
        return AcceptedRequest(
            call,
            route,
            service,
            workspace,
            routing.version,
            min(call.deadline_at_s, call.arrived_at_s + route.timeout_s),
            caller,
            response,
            fingerprint_of(call, _id_of(workspace)),
            part_fingerprints_of(call),
        )

    def _workspace_of(
        self, routing: RoutingTable, route: Route, call: Call
    ) -> Workspace | Refusal | None:
        found = routing.check_key(call.key, route)
        self._counters.record_key(found)
        if found is KeyCheck.UNKNOWN:
            return Refusal(RefusalReason.UNKNOWN_KEY, f"unknown key in version {routing.version}")
        return routing.workspace_of(call.key)

    def _serve_accepted(self, request: AcceptedRequest) -> None:
        end: WholeAnswer | Refusal | CallerLeft | None
        match request.route.kind:
            case RouteKind.STREAMING:
                end = self._generation_handler.serve(request)
            case RouteKind.IDEMPOTENT | RouteKind.NON_IDEMPOTENT:
                end = self._call_handler.serve(request)
        match end:
            case None:
                self._finish(request, "streamed")
            case WholeAnswer():
                try:
                    request.response_writer.send(end.status, end.headers, end.body)
                finally:
                    end.release()
                self._finish(request, f"answered {end.status}", end.upstream)
            case Refusal():
                refusal = guaranteed_refusal(request, end)
                self._refuse(request.call, request, request.response_writer, refusal)
            case CallerLeft():
                self._finish(request, "caller left")
                request.response_writer.abort()

    def _finish(
        self, request: AcceptedRequest, outcome: str, upstream: UpstreamId | None = None
    ) -> None:
        took_s = time.monotonic() - request.call.arrived_at_s
        self._counters.record_end(request.route.kind, outcome, took_s)
        self._log.request(
            "request ended",
            request.call.id,
            route=request.route.name,
            service=request.service,
            workspace=_id_of(request.workspace),
            version=request.version,
            fingerprint=request.fingerprint,
            upstream=upstream,
            outcome=outcome,
            took_ms=round(took_s * 1000.0),
        )

    def _refuse(
        self,
        call: Call,
        request: AcceptedRequest | None,
        response_writer: ResponseWriter,
        refusal: Refusal,
    ) -> None:
        took_s = time.monotonic() - call.arrived_at_s
        kind = request.route.kind if request is not None else None
        self._counters.record_end(kind, refusal.reason.code, took_s)
        self._log.failure(
            "request refused",
            call.id,
            # First, as readers may cut long lines.
            reason=refusal.reason.code,
            status=refusal.reason.status,
            detail=refusal.message,
            route=request.route.name if request is not None else None,
            version=request.version if request is not None else None,
            fingerprint=request.fingerprint if request is not None else None,
            retry_after_s=refusal.retry_after_s,
            took_ms=round(took_s * 1000.0),
        )
        response_writer.send(refusal.reason.status, refusal.headers(), refusal.body())


def _entry_leaving() -> Refusal:
    return Refusal(RefusalReason.ENTRY_LEAVING, "this entry is draining", LEAVING_RETRY_AFTER_S)


def _id_of(workspace: Workspace | None) -> WorkspaceId | None:
    return workspace.id if workspace is not None else None
