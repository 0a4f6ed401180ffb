"""Accept or refuse each request on arrival, dispatch it and record its outcome."""

import random
import time

from gooseberryquay.ids import UpstreamId, WorkspaceId
from gooseberryquay.links.caller_watch import CallerWatch
from gooseberryquay.links.streaming_gateway import CallerDisconnected
from gooseberryquay.links.upstream_connection import CallerLeft
from gooseberryquay.serving.accepted import AcceptedRequest
from gooseberryquay.serving.call import Call
from gooseberryquay.serving.call_handler import CallHandler, WholeAnswer
from gooseberryquay.serving.decision_log import DecisionLog
from gooseberryquay.serving.drain_state import DrainState
from gooseberryquay.serving.fingerprint import fingerprint_of, part_fingerprints_of
from gooseberryquay.serving.generation_handler import GenerationHandler
from gooseberryquay.serving.ports import ResponseWriter, RoutingSource
from gooseberryquay.serving.refusal import Refusal, RefusalReason
from gooseberryquay.serving.request_counters import RequestCounters
from gooseberryquay.serving.route import Route, RouteKind, RoutingTable, Workspace

__all__ = ["RequestHandler"]

# An entry reads its configuration within this time if the store is healthy.
NOT_READY_RETRY_AFTER_S = 0.5
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

    def serve(self, call: Call, caller: CallerWatch, response_writer: ResponseWriter) -> None:
        """Serve a request up to its final response."""
        with self._counters.in_flight():
            accepted = self._accept(call, caller, response_writer)
            if isinstance(accepted, Refusal):
                self._refuse(call, None, response_writer, accepted)
                return
            try:
                self._serve_accepted(accepted)
            except CallerDisconnected:
                self._finish(accepted, "caller left")
            except Exception as error:
                self._log.error("request failed", error, request=call.id)
                refusal = Refusal(RefusalReason.INTERNAL_ERROR, "this entry failed")
                self._refuse(call, accepted, response_writer, refusal)

    def _accept(
        self, call: Call, caller: CallerWatch, response_writer: ResponseWriter
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
        if not self._drain_state.accepts(route):
            reason = RefusalReason.ENTRY_LEAVING
            return Refusal(reason, "this entry is draining", LEAVING_RETRY_AFTER_S)
        until_s = min(call.deadline_at_s, call.arrived_at_s + route.timeout_s)
        service = route.pick_service(self._rng)
        fingerprint = fingerprint_of(call, _id_of(workspace))
        return AcceptedRequest(
            call,
            route,
            service,
            workspace,
            routing.version,
            until_s,
            caller,
            response_writer,
            fingerprint,
            part_fingerprints_of(call),
        )

    def _workspace_of(
        self, routing: RoutingTable, route: Route, call: Call
    ) -> Workspace | Refusal | None:
        if not routing.workspaces:
            return None
        workspace = routing.workspace_of(call.key) if call.key is not None else None
        if workspace is None and not route.is_public:
            return Refusal(RefusalReason.UNKNOWN_KEY, f"unknown key in version {routing.version}")
        return workspace

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
                request.response_writer.send(end.status, end.headers, end.body)
                self._finish(request, f"answered {end.status}", end.upstream)
            case Refusal():
                self._refuse(request.call, request, request.response_writer, end)
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
            route=request.route.name if request is not None else None,
            version=request.version if request is not None else None,
            fingerprint=request.fingerprint if request is not None else None,
            reason=refusal.reason.code,
            detail=refusal.message,
            status=refusal.reason.status,
            retry_after_s=refusal.retry_after_s,
            took_ms=round(took_s * 1000.0),
        )
        response_writer.send(refusal.reason.status, refusal.headers(), refusal.body())


def _id_of(workspace: Workspace | None) -> WorkspaceId | None:
    return workspace.id if workspace is not None else None
