"""HTTP client of one plain service that checks each response for completeness and request id."""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok

from gooseberryquay.contracts.fields import Address
from gooseberryquay.contracts.service import RepeatPolicy
from gooseberryquay.errors import Ran, UpstreamFailed
from gooseberryquay.ids import IdempotencyKey, OperationName, RequestId
from gooseberryquay.links.dispatch_outcome import (
    DispatchOutcome,
    IndeterminateOutcome,
    NotExecuted,
    RefusedByUpstream,
    UpstreamResponse,
    join_attempts,
)
from gooseberryquay.links.execution_proof import (
    PROMISES_NOT_EXECUTED,
    answers_request,
    proves_not_executed,
    was_never_sent,
)
from gooseberryquay.links.http_client import HttpClient, ReplyStream, TransportFailure

__all__ = ["ServiceCall", "ServiceClient"]

DEFAULT_CONNECT_TIMEOUT_S = 0.5
DEFAULT_IDLE_TIMEOUT_S = 5.0
RETRY_AFTER_S = 1.0


@dataclass(frozen=True)
class ServiceCall:
    """Describe one operation to send; the complete response is due within `timeout_s`."""

    operation: OperationName
    request_id: RequestId
    body: bytes
    repeat: RepeatPolicy
    timeout_s: float
    idempotency_key: IdempotencyKey | None = None
    content_type: str = "application/json"


class ServiceClient:
    """Send operations to one upstream; thread-safe.

    An operation that must not be repeated gets a new connection. A pooled connection may have
    become unresponsive, which leaves the outcome unknown, whereas a failed connect proves that
    nothing was sent. Repeatable operations share pooled connections, all of which are closed
    after a failure.
    """

    def __init__(
        self,
        address: Address,
        connect_timeout_s: float = DEFAULT_CONNECT_TIMEOUT_S,
        idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S,
    ) -> None:
        self._address = address
        self._connect_timeout_s = connect_timeout_s
        self._idle_timeout_s = idle_timeout_s
        self._lock = threading.Lock()
        self._shared = self._new_client()

    def send(
        self, call: ServiceCall, may_send_again: Callable[[], bool] = lambda: True
    ) -> DispatchOutcome:
        """Send an operation; retry once if it is repeatable and the first exchange failed."""
        deadline_at_s = time.monotonic() + call.timeout_s
        match call.repeat:
            case RepeatPolicy.NEVER:
                return self._send_alone(call, deadline_at_s)
            case RepeatPolicy.ALLOWED:
                return self._send_repeatable(call, deadline_at_s, may_send_again)

    def close(self) -> None:
        """Close all pooled connections."""
        self._shared.close()

    def _send_alone(self, call: ServiceCall, deadline_at_s: float) -> DispatchOutcome:
        client = self._new_client()
        try:
            return self._exchange(client, call, deadline_at_s)
        finally:
            client.close()

    def _send_repeatable(
        self, call: ServiceCall, deadline_at_s: float, may_send_again: Callable[[], bool]
    ) -> DispatchOutcome:
        client = self._shared
        outcome = self._exchange(client, call, deadline_at_s)
        if not isinstance(outcome, IndeterminateOutcome):
            return outcome
        self._replace_shared(client)
        if time.monotonic() >= deadline_at_s or not may_send_again():
            return outcome
        return join_attempts(outcome, self._send_alone(call, deadline_at_s))

    def _replace_shared(self, failed: HttpClient) -> None:
        with self._lock:
            if self._shared is failed:
                self._shared = self._new_client()
        failed.close()

    def _new_client(self) -> HttpClient:
        return HttpClient(
            self._address.host, self._address.port, self._connect_timeout_s, self._idle_timeout_s
        )

    def _exchange(
        self, client: HttpClient, call: ServiceCall, deadline_at_s: float
    ) -> DispatchOutcome:
        remaining_s = deadline_at_s - time.monotonic()
        if remaining_s <= 0:
            return _not_executed("the deadline passed before the operation was sent")
        opened = client.open(
            "POST",
            f"/operations/{call.operation}",
            call.body,
            _headers_of(call),
            min(remaining_s, self._idle_timeout_s),
        )
        match opened:
            case Err(failure):
                return _outcome_of(failure)
            case Ok(stream):
                return _read_response(stream, call, deadline_at_s)


def _headers_of(call: ServiceCall) -> dict[str, str]:
    headers = {"X-Request-Id": call.request_id, "Content-Type": call.content_type}
    if call.idempotency_key is not None:
        headers["Idempotency-Key"] = call.idempotency_key
    return headers


def _outcome_of(failure: TransportFailure) -> DispatchOutcome:
    if was_never_sent(failure):
        return _not_executed(failure.message)
    return IndeterminateOutcome(failure.message)


def _not_executed(message: str) -> NotExecuted:
    return NotExecuted(UpstreamFailed(message, Ran.NO, RETRY_AFTER_S))


def _read_response(stream: ReplyStream, call: ServiceCall, deadline_at_s: float) -> DispatchOutcome:
    if not answers_request(stream.headers, call.request_id):
        stream.close()
        return IndeterminateOutcome("the response does not match the request id")
    parts: list[bytes] = []
    while True:
        match stream.body.read():
            case Err(failure):
                stream.close()
                return IndeterminateOutcome(failure.message)
            case Ok(b""):
                break
            case Ok(part):
                parts.append(part)
        if time.monotonic() >= deadline_at_s:
            stream.close()
            return IndeterminateOutcome("the response was not complete before the deadline")
    body = b"".join(parts)
    if not _is_whole(stream, body):
        stream.close()
        return IndeterminateOutcome("the response is incomplete")
    stream.release()
    return _to_outcome(stream, body, call)


def _is_whole(stream: ReplyStream, body: bytes) -> bool:
    if "chunked" in stream.headers.get("transfer-encoding", ""):
        return True
    return stream.headers.get("content-length") == str(len(body))


def _to_outcome(stream: ReplyStream, body: bytes, call: ServiceCall) -> DispatchOutcome:
    if proves_not_executed(stream.status, stream.headers, call.request_id):
        return RefusedByUpstream("the upstream did not run the operation", _retry_after_s(stream))
    if stream.status in PROMISES_NOT_EXECUTED and call.repeat is RepeatPolicy.NEVER:
        message = f"the upstream's status {stream.status} does not prove that it did not run"
        return IndeterminateOutcome(message)
    content_type = stream.headers.get("content-type", "application/json")
    return UpstreamResponse(stream.status, content_type, body)


def _retry_after_s(stream: ReplyStream) -> float | None:
    text = stream.headers.get("retry-after", "")
    return float(text) if text.isdigit() else None
