"""Complete HTTP exchange on a pooled connection, with an interruptible wait."""

import socket
import threading
import time
from collections.abc import Sequence
from dataclasses import dataclass

from result import Err, Ok, Result

from gooseberryquay.contracts.fields import Address
from gooseberryquay.links.caller_watch import CallerWatch, NullCallerWatch
from gooseberryquay.links.connection_pool import ConnectionPool
from gooseberryquay.links.transport_failure import ConnectionBroken, TransportFailure
from gooseberryquay.links.upstream_connection import (
    BodyEnd,
    BodyPart,
    CallerLeft,
    ResponseHead,
    UpstreamConnection,
)

__all__ = [
    "BufferedReply",
    "BufferedRequest",
    "Interrupt",
    "begin_exchange",
    "exchange",
    "finish_exchange",
]

# A large response may outlast the timeout of its head as long as it keeps making progress.
PROGRESS_TIMEOUT_S = 1.0
# Several times the transfer time of the largest object on a slow connection.
READ_TIMEOUT_MAX_S = 20.0
# Room for many pages of the store's largest objects.
REPLY_BYTES_MAX = 16 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class BufferedRequest:
    """Represent a request that is fully buffered before it is sent."""

    method: str
    target: str
    body: bytes = b""
    reply_bytes_max: int = REPLY_BYTES_MAX
    # On a kept connection, a late copy of an earlier response could be taken for the reply.
    needs_new_connection: bool = False


@dataclass(frozen=True, slots=True)
class BufferedReply:
    """Represent a response that was read to its end."""

    status: int
    body: bytes
    headers: Sequence[tuple[str, str]] = ()


class Interrupt:
    """Wake a thread that waits for a response, as if its caller had disconnected."""

    def __init__(self) -> None:
        self._reader, self._writer = socket.socketpair()
        self._reader.setblocking(False)
        self._is_set = False
        self._lock = threading.Lock()

    def set(self) -> None:
        """Wake the waiting thread, or the next one that waits."""
        with self._lock:
            if not self._is_set:
                self._is_set = True
                self._writer.send(b"x")

    def clear(self) -> None:
        """Reset the interrupt so that the next thread waits."""
        with self._lock:
            if self._is_set:
                self._is_set = False
                self._reader.recv(1)

    def descriptor(self) -> int | None:
        """Return a file descriptor that is readable while the interrupt is set."""
        return self._reader.fileno()

    def is_disconnected(self) -> bool:
        """Return whether the interrupt is set."""
        return self._is_set


def exchange(
    pool: ConnectionPool,
    address: Address,
    request: BufferedRequest,
    until_s: float,
    watch: CallerWatch | None = None,
) -> Result[BufferedReply, TransportFailure | CallerLeft]:
    """Send a request and read the complete response.

    `until_s`, on the monotonic clock, bounds the wait for the response head. Only this wait can
    be interrupted through `watch`.
    """
    begun = begin_exchange(pool, address, request, until_s, until_s)
    if isinstance(begun, Err):
        return begun
    connection = begun.ok_value
    opened = connection.read_head(watch or NullCallerWatch(), until_s)
    if isinstance(opened, Err):
        connection.close()
        return opened
    return finish_exchange(pool, connection, opened.ok_value, until_s, request.reply_bytes_max)


def begin_exchange(
    pool: ConnectionPool,
    address: Address,
    request: BufferedRequest,
    connect_until_s: float,
    until_s: float,
) -> Result[UpstreamConnection, TransportFailure]:
    """Send a request on an idle connection, or on a new one if that is open in time."""
    connection = None if request.needs_new_connection else pool.acquire(address)
    if connection is None:
        connection = pool.create(address)
        failed = connection.connect(max(0.0, min(connect_until_s, until_s) - time.monotonic()))
        if failed is not None:
            return Err(failed)
    failed = connection.send(
        request.method, request.target, _headers_of(address, request.body), request.body, until_s
    )
    if failed is not None:
        connection.close()
        return Err(failed)
    return Ok(connection)


def _headers_of(address: Address, body: bytes) -> Sequence[tuple[str, str]]:
    headers = [("host", str(address)), ("content-length", str(len(body)))]
    if body:
        headers.append(("content-type", "application/json"))
    return headers


def finish_exchange(
    pool: ConnectionPool,
    connection: UpstreamConnection,
    head: ResponseHead,
    until_s: float,
    bytes_max: int = REPLY_BYTES_MAX,
) -> Result[BufferedReply, TransportFailure | CallerLeft]:
    """Read the body of a response and return its connection to the pool."""
    read = _read_body(connection, until_s, bytes_max)
    if isinstance(read, Err):
        connection.close()
        return read
    pool.release(connection)
    return Ok(BufferedReply(head.status, read.ok_value, head.headers))


def _read_body(
    connection: UpstreamConnection, until_s: float, bytes_max: int
) -> Result[bytes, TransportFailure | CallerLeft]:
    content = bytearray()
    read_until_s = time.monotonic() + READ_TIMEOUT_MAX_S
    while True:
        part_until_s = min(read_until_s, max(until_s, time.monotonic() + PROGRESS_TIMEOUT_S))
        match connection.read_body(NullCallerWatch(), part_until_s):
            case Err(failure):
                return Err(failure)
            case Ok(BodyPart(part)):
                content += part
                if len(content) > bytes_max:
                    return Err(ConnectionBroken("the response is too large", was_sent=True))
            case Ok(BodyEnd()):
                return Ok(bytes(content))
