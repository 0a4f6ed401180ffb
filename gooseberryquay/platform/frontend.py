"""HTTP front end: decodes requests of the platform's clients and encodes the responses."""

import contextlib
import random
import time
from collections.abc import Callable, Mapping, Sequence
from contextlib import AbstractContextManager
from http import HTTPStatus

from gooseberryquay.ids import RequestId
from gooseberryquay.links.caller_watch import CallerWatch, SocketCallerWatch
from gooseberryquay.links.streaming_gateway import (
    HEADER_CODING,
    CallerDisconnected,
    StreamingGateway,
)
from gooseberryquay.links.strict_request import BodyIncomplete, BodyRefused, read_whole_body
from gooseberryquay.links.work_pace import SpareWork
from gooseberryquay.platform import names
from gooseberryquay.serving.call import Call, GenerationDemand, HeaderPair, PromptPart
from gooseberryquay.serving.ports import ResponseWriter
from gooseberryquay.serving.refusal import Refusal, RefusalReason

__all__ = ["Frontend"]

MS_PER_S = 1000.0
DEADLINE_DEFAULT_S = 60.0
BEARER = "bearer "
# Far more than any engine's memory.
TOKENS_MAX = 1_000_000_000
# Callers that are refused for want of memory come back spread over this span.
LIMIT_RETRY_MIN_S = 0.5
LIMIT_RETRY_SPREAD_S = 1.0
# Leaves a refused caller the time for another attempt.
ROOM_WAIT_SHARE = 1 / 3
CALLER_LEFT = Refusal(RefusalReason.OUTCOME_UNKNOWN, "the caller has ended its connection")

Serve = Callable[[Call, CallerWatch, ResponseWriter], None]
InFlight = Callable[[], AbstractContextManager[None]]


class Frontend:
    """Decode requests, pass them to the serving path and encode its responses.

    A request is in flight from the end of its head, while its body is still awaited.
    """

    def __init__(self, serve: Serve, in_flight: InFlight) -> None:
        self._serve = serve
        self._in_flight = in_flight
        self._spare_work = SpareWork()

    def forward(self, gateway: StreamingGateway) -> None:
        """Serve one request whose head was read."""
        with self._in_flight():
            self._forward(gateway)

    def _forward(self, gateway: StreamingGateway) -> None:
        arrived_at_s = time.monotonic()
        responder = _GatewayResponder(gateway)
        pairs = [
            (name.decode(HEADER_CODING).lower(), value.decode(HEADER_CODING))
            for name, value in gateway.req.inheaders.pairs
        ]
        headers = dict(pairs)
        try:
            wait_s = ROOM_WAIT_SHARE * _deadline_s(headers.get(names.DEADLINE_MS))
        except ValueError:
            # Refused as malformed once the body is read.
            wait_s = 0.0
        try:
            body = read_whole_body(gateway.req, self._spare_work, wait_s)
            responder.request_id = headers.get(names.ATTEMPT_ID)
            call = _call_of(gateway, pairs, headers, body, arrived_at_s)
        except BodyIncomplete:
            gateway.abort()
            return
        except BodyRefused as refused:
            responder.request_id = headers.get(names.ATTEMPT_ID)
            responder.refuse_body(refused)
            return
        except ValueError as error:
            responder.send(HTTPStatus.BAD_REQUEST, [("content-type", "text/plain")], _text(error))
            return
        caller = SocketCallerWatch(gateway.connection)
        # A process that was frozen finds requests that were given up meanwhile.
        if caller.is_disconnected():
            responder.abort()
            return
        self._serve(call, caller, responder)


class _GatewayResponder:
    """Write a response through the server's gateway."""

    def __init__(self, gateway: StreamingGateway) -> None:
        self._gateway = gateway
        self.request_id: str | None = None

    def send(self, status: int, headers: Sequence[HeaderPair], body: bytes) -> None:
        """Send a complete response."""
        kept = [pair for pair in headers if pair[0] != "content-length"]
        if self.request_id is not None and all(name != names.ATTEMPT_ID for name, _ in kept):
            kept.append((names.ATTEMPT_ID, self.request_id))
        self._gateway.start(_status_line(status), [*kept, ("Content-Length", str(len(body)))])
        self._gateway.write_all(body)

    def refuse_body(self, refused: BodyRefused) -> None:
        """Refuse a request whose body is not read; nothing of it was sent on."""
        self._gateway.req.close_connection = True
        headers = [("content-type", "text/plain")]
        if refused.status == HTTPStatus.SERVICE_UNAVAILABLE:
            retry_s = LIMIT_RETRY_MIN_S + LIMIT_RETRY_SPREAD_S * random.random()
            headers.append(("retry-after", f"{retry_s:.2f}"))
        self.send(refused.status, headers, f"{refused}\n".encode())

    def start_stream(self, status: int, headers: Sequence[HeaderPair]) -> None:
        """Set the head, which is sent with the first part of the body."""
        self._gateway.start(_status_line(status), list(headers))

    def write(self, content: bytes) -> None:
        """Send a part of the body without buffering."""
        self._gateway.write(content)

    def end_stream(self) -> None:
        """Do nothing: the server marks the body as complete."""

    def abort(self) -> None:
        """Shut down the connection; if no response was begun, say first that none will come.

        A caller that has ended only its sending side waits for one.
        """
        if not self._gateway.has_started:
            with contextlib.suppress(CallerDisconnected, RuntimeError):
                self.send(CALLER_LEFT.reason.status, CALLER_LEFT.headers(), CALLER_LEFT.body())
        self._gateway.abort()


def _call_of(
    gateway: StreamingGateway,
    pairs: Sequence[HeaderPair],
    headers: Mapping[str, str],
    body: bytes,
    arrived_at_s: float,
) -> Call:
    target = gateway.req.uri.decode(HEADER_CODING)
    if any(character <= " " or character == "\x7f" for character in target):
        raise ValueError("the request target contains a control character")
    request_id = headers.get(names.ATTEMPT_ID, "")
    if not request_id:
        raise ValueError("the X-Attempt-Id header is missing")
    hop_by_hop_names = names.HOP_BY_HOP_HEADERS | _named_by_connection(headers)
    passed_on = tuple(
        pair
        for pair in pairs
        if pair[0] not in hop_by_hop_names
        and pair[0] not in names.SYSTEM_HEADERS
        and pair[0] not in {"host", names.LAST_EVENT_ID}
    )
    return Call(
        id=RequestId(request_id),
        method=gateway.req.method.decode(HEADER_CODING),
        target=target,
        host=headers["host"],
        path=target.partition("?")[0],
        key=_key_of(headers.get("authorization")),
        headers=passed_on,
        body=body,
        arrived_at_s=arrived_at_s,
        deadline_at_s=arrived_at_s + _deadline_s(headers.get(names.DEADLINE_MS)),
        resume_after=headers.get(names.LAST_EVENT_ID),
        resumes=RequestId(headers[names.RESUMES]) if names.RESUMES in headers else None,
        demand=_demand_of(headers),
    )


def _named_by_connection(headers: Mapping[str, str]) -> frozenset[str]:
    named = headers.get("connection", "").lower().split(",")
    return frozenset(each.strip() for each in named) - {names.ATTEMPT_ID}


def _key_of(authorization: str | None) -> str | None:
    if authorization is None or not authorization.lower().startswith(BEARER):
        return None
    return authorization[len(BEARER) :].strip()


def _deadline_s(text: str | None) -> float:
    if text is None:
        return DEADLINE_DEFAULT_S
    try:
        return max(0.0, float(text) / MS_PER_S)
    except ValueError:
        raise ValueError("the X-Deadline-Ms header is not a number") from None


def _demand_of(headers: Mapping[str, str]) -> GenerationDemand | None:
    usage = headers.get(names.TOKEN_USAGE)
    if usage is None:
        return None
    try:
        prompt_tokens, output_tokens_max = (int(each) for each in usage.split(","))
        parts = tuple(
            _part_of(each) for each in headers.get(names.PROMPT_PREFIX, "").split(",") if each
        )
        hint = headers.get(names.LENGTH_HINT)
        hint_tokens = int(float(hint)) if hint else None
        if not all(0 <= each <= TOKENS_MAX for each in (prompt_tokens, output_tokens_max)):
            raise ValueError("out of range")
    except (ValueError, OverflowError):
        raise ValueError("the headers on the size of the generation are malformed") from None
    model = headers.get(names.MODEL, "")
    return GenerationDemand(model, prompt_tokens, output_tokens_max, hint_tokens, parts)


def _part_of(text: str) -> PromptPart:
    name, _, tokens = text.strip().rpartition(":")
    return PromptPart(name, int(tokens))


def _status_line(status: int) -> str:
    try:
        return f"{status} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Unknown"


def _text(error: ValueError) -> bytes:
    return f"{error}\n".encode()
