"""Caller API for plain services, with repeatable and at-most-once operations."""

import re
import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from gooseberryquay.contracts.service import RepeatPolicy, Service, ServiceKind
from gooseberryquay.errors import (
    Failure,
    IdempotencyKeyRequired,
    InvalidRequest,
    NotFound,
    Ran,
    UpstreamFailed,
)
from gooseberryquay.ids import (
    ClaimToken,
    IdempotencyKey,
    OperationName,
    RequestId,
    ServiceId,
    WorkKind,
)
from gooseberryquay.links.caller_api import EntryState
from gooseberryquay.links.caller_request import (
    CallerContext,
    is_first_attempt,
    mark_possible_earlier_run,
)
from gooseberryquay.links.dispatch_outcome import (
    DispatchOutcome,
    IndeterminateOutcome,
    NotExecuted,
    RefusedByUpstream,
    UpstreamResponse,
)
from gooseberryquay.links.http_server import Request, Response
from gooseberryquay.links.refusal import refuse
from gooseberryquay.links.request_log import RequestLog, RequestRecord
from gooseberryquay.links.service_caller import ServiceCaller
from gooseberryquay.links.service_client import ServiceCall
from gooseberryquay.links.streaming_gateway import AfterResponse
from gooseberryquay.machines.work import Work
from gooseberryquay.postings import Posting, PostingExecutor
from gooseberryquay.zones.configuration import Configuration

__all__ = ["ServiceApi"]

RETRY_AFTER_S = 1.0
TOKEN_BYTES = 12
KEY_PATTERN = re.compile(r"[\x21-\x7e]+")
CONTENT_TYPE_PATTERN = re.compile(r"[\t\x20-\x7e\x80-\xff]*")


@dataclass(frozen=True)
class _Call:
    """Describe one call of one operation."""

    context: CallerContext
    service: Service
    operation: OperationName
    body: bytes
    content_type: str
    key: IdempotencyKey | None
    after_response: AfterResponse
    is_first_attempt: bool

    @property
    def repeat(self) -> RepeatPolicy:
        """Return whether the operation may be repeated."""
        return self.service.repeat_policy_of(self.operation)

    @property
    def deadline_at_s(self) -> float:
        """Return the deadline of the response, on the monotonic clock."""
        default_s = self.context.arrived_at_s + self.service.deadline_s
        return self.context.deadline_at_s or default_s


class ServiceApi:
    """Serve calls of plain services."""

    def __init__(
        self,
        caller: ServiceCaller,
        executor: PostingExecutor,
        configuration: Callable[[], Configuration],
        log: RequestLog,
        *,
        key_length_max: int,
        state: EntryState,
    ) -> None:
        self._caller = caller
        self._executor = executor
        self._configuration = configuration
        self._log = log
        self._key_length_max = key_length_max
        self._state = state

    def call(self, request: Request, context: CallerContext) -> Response:
        """Serve one call of one operation."""
        match self._read(request, context):
            case Err(failure):
                return refuse(mark_possible_earlier_run(failure, request), context.request_id)
            case Ok(call):
                return self._run(call)

    def _read(self, request: Request, context: CallerContext) -> Result[_Call, Failure]:
        service_id = ServiceId(request.path_values["service"])
        operation = OperationName(request.path_values["operation"])
        service = self._configuration().declaration.services.get(service_id)
        if service is None or service.kind is not ServiceKind.PLAIN:
            return Err(NotFound("no such service is declared"))
        if not service.has_operation(operation):
            return Err(NotFound(f"service {service_id!r} has no such operation"))
        key = request.headers.get("idempotency-key")
        if failure := self._check_key(service.repeat_policy_of(operation), key):
            return Err(failure)
        content_type = request.headers.get("content-type", "application/json")
        if CONTENT_TYPE_PATTERN.fullmatch(content_type) is None:
            return Err(InvalidRequest("Content-Type must not have control characters"))
        own_key = None if key is None else IdempotencyKey(key)
        is_first = is_first_attempt(request)
        call = _Call(
            context,
            service,
            operation,
            request.body,
            content_type,
            own_key,
            request.after_response,
            is_first,
        )
        if failure := self._state.refusal_of(call.deadline_at_s):
            return Err(failure)
        return Ok(call)

    def _check_key(self, repeat: RepeatPolicy, key: str | None) -> Failure | None:
        if key is None:
            if repeat is RepeatPolicy.ALLOWED:
                return None
            return IdempotencyKeyRequired("this operation needs an Idempotency-Key")
        if len(key) > self._key_length_max or KEY_PATTERN.fullmatch(key) is None:
            allowed = f"1 to {self._key_length_max} printable ASCII characters without spaces"
            return IdempotencyKeyRequired(f"Idempotency-Key must be {allowed}")
        return None

    def _run(self, call: _Call) -> Response:
        context = call.context
        record = RequestRecord(
            context.request_id,
            context.workspace,
            call.service.id,
            WorkKind(call.operation),
            context.arrived_at_s,
        )
        match self._execute(call):
            case Err(failure):
                self._log.end(record, failure)
                return refuse(failure, context.request_id)
            case Ok(response):
                self._log.end(record, None)
                headers: dict[str, str] = {"X-Request-Id": context.request_id}
                return Response(response.status, response.body, response.content_type, headers)

    def _execute(self, call: _Call) -> Result[UpstreamResponse, Failure]:
        match call.repeat:
            case RepeatPolicy.NEVER:
                return self._run_at_most_once(call)
            case RepeatPolicy.ALLOWED:
                token = RequestId(secrets.token_hex(TOKEN_BYTES))
                return _to_result(
                    self._caller.send(_build_work(call), _service_call_of(call, token))
                )

    def _run_at_most_once(self, call: _Call) -> Result[UpstreamResponse, Failure]:
        assert call.key is not None
        posting = Posting(
            workspace=call.context.workspace,
            service=call.service.id,
            operation=call.operation,
            key=call.key,
            body=call.body,
            deadline_at_s=call.deadline_at_s,
            after_response=call.after_response,
            is_first_attempt=call.is_first_attempt,
        )

        def dispatch(token: ClaimToken) -> DispatchOutcome:
            return self._caller.send(_build_work(call), _service_call_of(call, RequestId(token)))

        answered = self._executor.run_once(posting, dispatch)
        return answered.map(
            lambda each: UpstreamResponse(each.status, each.content_type, each.body)
        )


def _build_work(call: _Call) -> Work:
    context = call.context
    return Work(
        request_id=context.request_id,
        workspace=context.workspace,
        service=call.service.id,
        kind=WorkKind(call.operation),
        fingerprint=context.request_id,
        prompt_tokens=0,
        max_tokens=1,
        prefix_hash="",
        deadline_at_s=call.deadline_at_s,
        first_token_s=call.service.first_token_s,
        token_gap_s=call.service.token_gap_s,
    )


def _service_call_of(call: _Call, token: RequestId) -> ServiceCall:
    return ServiceCall(
        operation=call.operation,
        request_id=token,
        body=call.body,
        repeat=call.repeat,
        timeout_s=max(0.0, call.deadline_at_s - time.monotonic()),
        idempotency_key=call.key,
        content_type=call.content_type,
    )


def _to_result(outcome: DispatchOutcome) -> Result[UpstreamResponse, Failure]:
    match outcome:
        case UpstreamResponse() as response:
            return Ok(response)
        case NotExecuted(failure):
            return Err(failure)
        case RefusedByUpstream(message, retry_after_s):
            return Err(UpstreamFailed(message, Ran.NO, retry_after_s or RETRY_AFTER_S))
        case IndeterminateOutcome(message):
            return Err(UpstreamFailed(message, Ran.MAYBE, RETRY_AFTER_S))
