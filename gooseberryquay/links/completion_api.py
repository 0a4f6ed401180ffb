"""Caller API for completions: new generations and the rest of running ones."""

import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from result import Err, Ok, Result

from gooseberryquay.contracts.service import Service, ServiceKind
from gooseberryquay.errors import Failure, InternalError, Ran, UnknownModel, WrongWorkspace
from gooseberryquay.ids import RequestId, ServiceId
from gooseberryquay.links.caller_request import CallerContext
from gooseberryquay.links.completion_request import (
    DEFAULT_MAX_TOKENS,
    CompletionRequest,
    parse_completion_request,
)
from gooseberryquay.links.event_check import CheckedEvents
from gooseberryquay.links.generation_name import EventPosition
from gooseberryquay.links.generation_relay import GenerationRelay, Parts
from gooseberryquay.links.http_server import EVENT_STREAM_TYPE, Request, Response
from gooseberryquay.links.refusal import error_event, refuse
from gooseberryquay.links.request_log import RequestLog, RequestRecord
from gooseberryquay.links.whole_answer import WholeAnswer
from gooseberryquay.machines.work import Work
from gooseberryquay.zones.configuration import Configuration

__all__ = ["CompletionApi"]

COMPLETION_PATH = "/v1/completions"
CHAT_PATH = "/v1/chat/completions"
RESUMED_SERVICE = ServiceId("resumed")


@dataclass(frozen=True)
class _Answering:
    """Hold what is needed to answer one request."""

    context: CallerContext
    record: RequestRecord
    parts: Parts
    first: CheckedEvents


class CompletionApi:
    """Answer completion requests, streamed or whole."""

    def __init__(
        self, relay: GenerationRelay, configuration: Callable[[], Configuration], log: RequestLog
    ) -> None:
        self._relay = relay
        self._configuration = configuration
        self._log = log

    def complete(self, request: Request, context: CallerContext) -> Response:
        """Answer one request to a completion path."""
        position = request.headers.get("last-event-id")
        if position is not None:
            return self._resume(context, position)
        match self._read(request, context):
            case Err(failure):
                return refuse(failure, context.request_id)
            case Ok((service, wanted)):
                return self._generate(request.path, context, service, wanted)

    def _read(
        self, request: Request, context: CallerContext
    ) -> Result[tuple[Service, CompletionRequest], Failure]:
        parsed = parse_completion_request(request.body, request.path == CHAT_PATH)
        match parsed:
            case Err(failure):
                return Err(failure)
            case Ok(wanted):
                service = self._configuration().declaration.services.get(ServiceId(wanted.model))
        if service is None or service.kind is not ServiceKind.MODEL:
            return Err(UnknownModel(f"model {wanted.model!r} is not declared"))
        return Ok((service, wanted))

    def _generate(
        self, path: str, context: CallerContext, service: Service, wanted: CompletionRequest
    ) -> Response:
        work = _describe_work(context, service, wanted)
        record = _start_record(context, service.id, service.token_gap_s)
        parts = self._relay.generate(work, path, wanted.upstream_body(), not wanted.stream)
        if wanted.stream:
            return self._stream(context, record, parts)
        return self._join(context, record, parts, path == CHAT_PATH)

    def _resume(self, context: CallerContext, event_id: str) -> Response:
        match EventPosition.parse(event_id):
            case Err(failure):
                return refuse(failure, context.request_id)
            case Ok(position):
                pass
        if not position.generation.belongs_to(context.workspace):
            stranger = WrongWorkspace("the generation belongs to another workspace")
            return refuse(stranger, context.request_id)
        record = _start_record(context, RESUMED_SERVICE, float("inf"))
        return self._stream(context, record, self._relay.resume(position))

    def _stream(self, context: CallerContext, record: RequestRecord, parts: Parts) -> Response:
        """Answer with events; before the first one a failure still gets its own status."""
        match next(parts, None):
            case None:
                failure: Failure = InternalError("the relay gave no answer", Ran.MAYBE)
                return self._refuse(context, record, failure)
            case Err(failure):
                return self._refuse(context, record, failure)
            case Ok(first):
                answering = _Answering(context, record, parts, first)
        headers = {"X-Request-Id": context.request_id, "Cache-Control": "no-cache"}
        return Response(200, self._events(answering), EVENT_STREAM_TYPE, headers)

    def _events(self, answering: _Answering) -> Iterator[bytes]:
        record = answering.record
        failure: Failure | None = None
        try:
            record.saw_tokens(answering.first.token_count)
            yield answering.first.events
            for part in answering.parts:
                match part:
                    case Ok(checked):
                        record.saw_tokens(checked.token_count)
                        yield checked.events
                    case Err(failure):
                        yield error_event(failure, record.request_id)
        finally:
            self._log.end(record, failure)

    def _join(
        self, context: CallerContext, record: RequestRecord, parts: Parts, is_chat: bool
    ) -> Response:
        answer = WholeAnswer(is_chat)
        for part in parts:
            match part:
                case Err(failure):
                    return self._refuse(context, record, failure)
                case Ok(CheckedEvents(is_broken=True)):
                    answer.clear()
                case Ok(checked):
                    record.saw_tokens(checked.token_count)
                    answer.add(checked.events)
        self._log.end(record, None)
        return Response(200, answer.encode(), headers={"X-Request-Id": context.request_id})

    def _refuse(self, context: CallerContext, record: RequestRecord, failure: Failure) -> Response:
        self._log.end(record, failure)
        return refuse(failure, context.request_id)


def _describe_work(context: CallerContext, service: Service, wanted: CompletionRequest) -> Work:
    default_deadline_at_s = context.arrived_at_s + service.deadline_s
    return Work(
        request_id=RequestId(context.request_id),
        workspace=context.workspace,
        service=service.id,
        kind=context.kind,
        fingerprint=wanted.fingerprint(),
        prompt_tokens=wanted.prompt_tokens(),
        max_tokens=wanted.max_tokens or DEFAULT_MAX_TOKENS,
        prefix_hash=wanted.prefix_hash(),
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
