"""Caller API for completions: new generations and resumed streams."""

import time
from collections.abc import Callable

from result import Err, Ok, Result

from gooseberryquay.contracts.service import Service, ServiceKind
from gooseberryquay.errors import (
    CallerLeft,
    Failure,
    InternalError,
    Ran,
    UnknownModel,
    WrongWorkspace,
)
from gooseberryquay.ids import RequestId, ServiceId
from gooseberryquay.links.caller_api import EntryState
from gooseberryquay.links.caller_request import (
    LAST_EVENT_ID_HEADER,
    CallerContext,
    mark_possible_earlier_run,
)
from gooseberryquay.links.completion_request import (
    DEFAULT_MAX_TOKENS,
    CompletionRequest,
    parse_completion_request,
)
from gooseberryquay.links.event_sink import BufferingSink, StreamSink
from gooseberryquay.links.generation_name import EventPosition
from gooseberryquay.links.generation_relay import GenerationRelay
from gooseberryquay.links.http_server import Request, Response
from gooseberryquay.links.refusal import error_event, refuse
from gooseberryquay.links.request_log import RequestLog, RequestRecord
from gooseberryquay.links.streaming_gateway import CallerDisconnected
from gooseberryquay.machines.work import Work
from gooseberryquay.zones.configuration import Configuration

__all__ = ["CompletionApi"]

COMPLETION_PATH = "/v1/completions"
CHAT_PATH = "/v1/chat/completions"
RESUMED_SERVICE = ServiceId("resumed")


class CompletionApi:
    """Serve completion requests, streamed or as one response."""

    def __init__(
        self,
        relay: GenerationRelay,
        configuration: Callable[[], Configuration],
        log: RequestLog,
        state: EntryState,
    ) -> None:
        self._relay = relay
        self._configuration = configuration
        self._log = log
        self._state = state

    def complete(self, request: Request, context: CallerContext) -> Response:
        """Serve one request to a completion path."""
        position = request.headers.get(LAST_EVENT_ID_HEADER)
        if position is not None:
            return self._resume(request, context, position)
        match self._read(request, context):
            case Err(failure):
                return refuse(failure, context.request_id)
            case Ok((service, completion)):
                return self._generate(request, context, service, completion)

    def _read(
        self, request: Request, context: CallerContext
    ) -> Result[tuple[Service, CompletionRequest], Failure]:
        parsed = parse_completion_request(request.body, request.path == CHAT_PATH)
        match parsed:
            case Err(failure):
                return Err(failure)
            case Ok(completion):
                service = self._configuration().declaration.services.get(
                    ServiceId(completion.model)
                )
        if service is None or service.kind is not ServiceKind.MODEL:
            return Err(UnknownModel(f"model {completion.model!r} is not declared"))
        return Ok((service, completion))

    def _generate(
        self,
        request: Request,
        context: CallerContext,
        service: Service,
        completion: CompletionRequest,
    ) -> Response:
        work = _build_work(context, service, completion)
        if failure := self._state.refusal_of(work.deadline_at_s):
            return refuse(failure, context.request_id)
        record = _start_record(context, service.id, service.token_gap_s)
        body = completion.upstream_body()
        if completion.stream:
            sink = StreamSink(request.open_stream, _headers_of(context), record)
            return self._stream(
                context, sink, lambda: self._relay.generate(work, request.path, body, sink)
            )
        return self._respond_complete(request.path, context, record, work, body)

    def _resume(self, request: Request, context: CallerContext, event_id: str) -> Response:
        match EventPosition.parse(event_id):
            case Err(failure):
                return refuse(mark_possible_earlier_run(failure, request), context.request_id)
            case Ok(position):
                pass
        if not position.generation.belongs_to(context.workspace):
            foreign = WrongWorkspace("the generation belongs to another workspace")
            return refuse(mark_possible_earlier_run(foreign, request), context.request_id)
        record = _start_record(context, RESUMED_SERVICE, float("inf"))
        sink = StreamSink(request.open_stream, _headers_of(context), record)
        return self._stream(context, sink, lambda: self._relay.resume(position, sink))

    def _stream(
        self,
        context: CallerContext,
        sink: StreamSink,
        run: Callable[[], Result[None, Failure]],
    ) -> Response:
        """Stream the events; a failure before the first one still gets its own HTTP status."""
        failure: Failure | None = InternalError("the response was interrupted", Ran.MAYBE)
        try:
            failure = run().err()
            if failure is not None and sink.has_started:
                sink.write(error_event(failure, context.request_id))
        except CallerDisconnected as gone:
            failure = CallerLeft(str(gone), Ran.MAYBE)
            raise
        finally:
            self._log.end(sink.record, failure)
        if failure is None or sink.has_started:
            return Response.sent()
        return refuse(failure, context.request_id)

    def _respond_complete(
        self, path: str, context: CallerContext, record: RequestRecord, work: Work, body: bytes
    ) -> Response:
        sink = BufferingSink(path == CHAT_PATH, record)
        match self._relay.generate(work, path, body, sink):
            case Err(failure):
                self._log.end(record, failure)
                return refuse(failure, context.request_id)
            case Ok(_):
                self._log.end(record, None)
                return Response(200, sink.response.encode(), headers=_headers_of(context))


def _headers_of(context: CallerContext) -> dict[str, str]:
    return {"X-Request-Id": context.request_id, "Cache-Control": "no-cache"}


def _build_work(context: CallerContext, service: Service, completion: CompletionRequest) -> Work:
    default_deadline_at_s = context.arrived_at_s + service.deadline_s
    return Work(
        request_id=RequestId(context.request_id),
        workspace=context.workspace,
        service=service.id,
        kind=context.kind,
        fingerprint=completion.fingerprint(),
        prompt_tokens=completion.prompt_tokens(),
        max_tokens=completion.max_tokens or DEFAULT_MAX_TOKENS,
        prefix_hash=completion.prefix_hash(),
        deadline_at_s=context.deadline_at_s or default_deadline_at_s,
        first_token_s=service.first_token_s,
        token_gap_s=service.token_gap_s,
    )


def _start_record(context: CallerContext, service: ServiceId, token_gap_s: float) -> RequestRecord:
    return RequestRecord(
        context.request_id,
        context.workspace,
        service,
        context.kind,
        time.monotonic(),
        token_gap_s,
    )
