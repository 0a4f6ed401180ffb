"""Persistent HTTP connection to an upstream with strict checks of response framing."""

import contextlib
import errno
import select
import socket
import time
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

import h11
from result import Err, Ok, Result

from gooseberryquay.contracts.fields import Address
from gooseberryquay.links.caller_watch import CallerWatch, wait_readable
from gooseberryquay.links.keep_alive import enable_keepalive
from gooseberryquay.links.status_code import StatusKind, kind_of_status
from gooseberryquay.links.transport_failure import (
    ConnectionBroken,
    TransportFailure,
    TransportTimeout,
)
from gooseberryquay.links.work_pace import SMALL_BYTES, WorkPace

__all__ = [
    "ANSWERED_IDS_MAX",
    "BodyEnd",
    "BodyPart",
    "CallerLeft",
    "ResponseHead",
    "UpstreamConnection",
    "head_of",
]

READ_BYTES = 64 * 1024
SEND_STEP_BYTES = 64 * 1024
# Larger bodies are sent apart from their heads, in further system calls but without a copy.
JOINED_BYTES_MAX = 64 * 1024
# About 9 MB for all connections of an entry to 28 upstreams; a connection that is full is closed.
ANSWERED_IDS_MAX = 256
# Far more than a server announces before its answer.
INTERIM_RESPONSES_MAX = 32
MS_PER_S = 1000.0
BODYLESS_STATUSES = {204, 304}
# They tell nothing of the upstream.
OWN_LIMIT_ERRORS = {
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EADDRNOTAVAIL,
    errno.EAGAIN,
}


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Represent the status and the headers of a response; header names are lower case."""

    status: int
    headers: tuple[tuple[str, str], ...]
    is_chunked: bool = False

    def value(self, name: str) -> str | None:
        """Return the first value of a header, or None."""
        for each, value in self.headers:
            if each == name:
                return value
        return None


@dataclass(frozen=True, slots=True)
class BodyPart:
    """Represent one part of a body."""

    content: bytes


class BodyEnd(Enum):
    """Describe how a complete body was delimited: by its framing or by the close."""

    FRAMED = "framed"
    CLOSED = "closed"


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """Report that the caller disconnected during the wait for the upstream's response."""


@dataclass
class UpstreamConnection:
    """Send one request at a time and read its response; not thread-safe."""

    address: Address
    connect_timeout_s: float
    idle_limit_s: float
    last_used_at_s: float = 0.0
    response_count: int = 0
    is_reusable: bool = False
    pace: WorkPace = field(default_factory=WorkPace)
    # Requests whose responses were read last; a copy of one of them may still arrive.
    answered_ids: deque[str] = field(default_factory=lambda: deque(maxlen=ANSWERED_IDS_MAX))
    _socket: socket.socket | None = None
    _protocol: h11.Connection = field(default_factory=lambda: h11.Connection(h11.CLIENT))
    _request: list[h11.Event] = field(default_factory=list)
    _was_fully_sent: bool = True
    _is_framed: bool = True

    def connect(self, timeout_s: float) -> TransportFailure | None:
        """Open the connection; a failure proves that nothing was sent."""
        limit_s = min(self.connect_timeout_s, timeout_s)
        if limit_s <= 0.0:
            return TransportTimeout("no time is left to connect", was_sent=False)
        try:
            opened = socket.create_connection(self.address, limit_s)
        except TimeoutError as error:
            return TransportTimeout(str(error), was_sent=False)
        except OSError as error:
            if error.errno in OWN_LIMIT_ERRORS:
                return TransportTimeout(f"this process cannot connect: {error}", was_sent=False)
            return ConnectionBroken(str(error), was_sent=False)
        opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        enable_keepalive(opened)
        self._socket = opened
        return None

    def is_idle_usable(self) -> bool:
        """Return whether an idle connection is open, not expired and has no unread data."""
        if self._socket is None or time.monotonic() - self.last_used_at_s > self.idle_limit_s:
            return False
        poller = select.poll()
        poller.register(self._socket, select.POLLIN)
        return not poller.poll(0)

    def send(
        self, method: str, target: str, headers: Sequence[tuple[str, str]], body: bytes,
        until_s: float,
    ) -> TransportFailure | None:  # fmt: skip
        """Send a request until `until_s`; stop early if the response starts before the end."""
        if len(body) <= JOINED_BYTES_MAX:
            return self.send_raw(self._encode(method, target, headers, body), until_s=until_s)
        # The body has a length, so that it is sent as it is; joining it would copy it.
        parts = self._encode_parts(method, target, headers, body)
        return self.send_raw(*parts, until_s=until_s)

    def _encode(
        self, method: str, target: str, headers: Sequence[tuple[str, str]], body: bytes
    ) -> bytes:
        return b"".join(self._encode_parts(method, target, headers, body))

    def _encode_parts(
        self, method: str, target: str, headers: Sequence[tuple[str, str]], body: bytes
    ) -> list[bytes]:
        if self.response_count:
            self._protocol.start_next_cycle()
        self.is_reusable = False
        request: list[h11.Event] = [
            h11.Request(method=method, target=target, headers=list(headers)),
        ]
        if body:
            request.append(h11.Data(data=body))
        request.append(h11.EndOfMessage())
        self._request = request
        return [self._protocol.send(each) or b"" for each in request]

    def send_raw(self, *parts: bytes, until_s: float) -> TransportFailure | None:
        """Send the bytes of a request until `until_s`; stop early if the response starts."""
        try:
            self._was_fully_sent = all(self._send_all(each, until_s) for each in parts)
        except TimeoutError as error:
            return TransportTimeout(str(error), was_sent=True)
        except OSError as error:
            return ConnectionBroken(str(error), was_sent=True)
        return None

    def receive_raw(
        self, caller: CallerWatch, until_s: float
    ) -> Result[bytes, TransportFailure | CallerLeft]:
        """Wait for the next bytes of a response; none stand for the regular end of all."""
        assert self._socket is not None
        try:
            if time.monotonic() >= until_s or not wait_readable(self._socket, caller, until_s):
                return Err(TransportTimeout("no response before the deadline", was_sent=True))
            if caller.is_disconnected():
                return Err(CallerLeft())
            received = self._receive() or b""
            if len(received) < SMALL_BYTES:
                self.pace.spend(1, caller, until_s)
            return Ok(received)
        except OSError as error:
            return Err(ConnectionBroken(str(error), was_sent=True))

    def _send_all(self, data: bytes, until_s: float) -> bool:
        assert self._socket is not None
        self._socket.setblocking(False)
        view = memoryview(data)
        while view:
            try:
                view = view[self._socket.send(view[:SEND_STEP_BYTES]) :]
                continue
            except BlockingIOError:
                pass
            poller = select.poll()
            poller.register(self._socket, select.POLLIN | select.POLLOUT)
            ready = poller.poll(max(0.0, (until_s - time.monotonic()) * MS_PER_S))
            if not ready:
                raise TimeoutError("the upstream does not read the request")
            if ready[0][1] & select.POLLIN:
                return False
        return True

    def read_head(
        self, caller: CallerWatch, until_s: float
    ) -> Result[ResponseHead, TransportFailure | CallerLeft]:
        """Wait for the response head, at most until `until_s` on the monotonic clock."""
        for _ in range(INTERIM_RESPONSES_MAX):
            match self._next_event(caller, until_s):
                case Err(failure):
                    return Err(failure)
                case Ok(h11.Response() as response):
                    head = head_of(response)
                    if head is None:
                        reason = f"status {response.status_code} is none of HTTP's"
                        return Err(ConnectionBroken(reason, was_sent=True))
                    self._is_framed = self._has_framing(head)
                    return Ok(head)
                case Ok(h11.InformationalResponse(status_code=status)) if (
                    kind_of_status(status) is StatusKind.INTERIM
                ):
                    continue
                case Ok(other):
                    return Err(
                        ConnectionBroken(f"{type(other).__name__} before the response head", True)
                    )
        return Err(ConnectionBroken("too many interim responses", was_sent=True))

    def read_body(
        self, caller: CallerWatch, until_s: float
    ) -> Result[BodyPart | BodyEnd, TransportFailure | CallerLeft]:
        """Wait for the next part of the body or its end."""
        match self._next_event(caller, until_s):
            case Err(failure):
                return Err(failure)
            case Ok(h11.Data(data=data)):
                if len(data) < SMALL_BYTES:
                    self.pace.spend(1, caller, until_s)
                return Ok(BodyPart(bytes(data)))
            case Ok(h11.EndOfMessage()):
                return Ok(self._end())
            case Ok(other):
                return Err(
                    ConnectionBroken(f"{type(other).__name__} within the response body", True)
                )

    def expect_another_response(self) -> None:
        """Prepare to read another response after one that belongs to a different request."""
        leftover, is_closed = self._protocol.trailing_data
        self._protocol = h11.Connection(h11.CLIENT)
        for each in self._request:
            self._protocol.send(each)
        if leftover:
            self._protocol.receive_data(leftover)
        if is_closed:
            self._protocol.receive_data(b"")

    def forget_request(self) -> None:
        """Release the body of the last request, whose response was read."""
        self._request = []

    def close(self) -> None:
        """Close the connection."""
        self.is_reusable = False
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def shut_down(self) -> None:
        """End the connection; a thread that waits for its bytes finds it closed."""
        opened = self._socket
        if opened is not None:
            with contextlib.suppress(OSError):
                opened.shutdown(socket.SHUT_RDWR)

    def _has_framing(self, head: ResponseHead) -> bool:
        """Return whether a response shows its own end, not only the end of its connection."""
        request = self._request[0]
        is_bodyless = head.status in BODYLESS_STATUSES or (
            isinstance(request, h11.Request) and request.method == b"HEAD"
        )
        return head.is_chunked or is_bodyless or head.value("content-length") is not None

    def _end(self) -> BodyEnd:
        self.response_count += 1
        self.last_used_at_s = time.monotonic()
        leftover, is_closed = self._protocol.trailing_data
        is_kept = self._protocol.their_state is h11.DONE and not is_closed and not leftover
        self.is_reusable = self._was_fully_sent and is_kept
        return BodyEnd.FRAMED if self._is_framed else BodyEnd.CLOSED

    def _next_event(
        self, caller: CallerWatch, until_s: float
    ) -> Result[h11.Event, TransportFailure | CallerLeft]:
        assert self._socket is not None
        try:
            while True:
                event = self._protocol.next_event()
                if isinstance(event, h11.Event):
                    return Ok(event)
                if event is h11.PAUSED:
                    return Err(
                        ConnectionBroken("unexpected bytes after the end of the response", True)
                    )
                if self._take_end():
                    self._protocol.receive_data(b"")
                    continue
                # Without this check a continuous flow of bytes would be read past the deadline.
                is_over = time.monotonic() >= until_s
                if is_over or not wait_readable(self._socket, caller, until_s):
                    return Err(TransportTimeout("no response before the deadline", was_sent=True))
                if caller.is_disconnected():
                    return Err(CallerLeft())
                received = self._receive()
                if received is not None:
                    self._protocol.receive_data(received)
        except h11.RemoteProtocolError as error:
            return Err(ConnectionBroken(str(error), was_sent=True))
        except OSError as error:
            return Err(ConnectionBroken(str(error), was_sent=True))

    def _take_end(self) -> bool:
        """Return, once, whether the end of all bytes is known without reading the socket."""
        return False

    def _receive(self) -> bytes | None:
        """Return what has arrived, empty at the end, or None if none of it is of the response."""
        assert self._socket is not None
        try:
            return self._socket.recv(READ_BYTES)
        except BlockingIOError:
            # It was the caller's connection that became readable.
            raise ConnectionAbortedError("the upstream connection has no data to read") from None


def head_of(response: h11.Response) -> ResponseHead | None:
    """Return the head that h11 has parsed, or None if its status is none of HTTP's."""
    if kind_of_status(response.status_code) is not StatusKind.FINAL:
        return None
    headers = tuple((name.decode(), value.decode("latin-1")) for name, value in response.headers)
    is_chunked = any(
        name == "transfer-encoding" and "chunked" in value.lower() for name, value in headers
    )
    return ResponseHead(response.status_code, headers, is_chunked)
