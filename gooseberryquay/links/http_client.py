"""HTTP client on urllib3 that reports every failure as a type."""

import socket
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from io import BufferedReader

import urllib3
from result import Err, Ok, Result
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)

from gooseberryquay.links.chunk_decoder import BrokenChunk, ChunkDecoder
from gooseberryquay.links.socket_timeout import set_read_timeout

__all__ = ["HttpClient", "LinkBroken", "LinkFailure", "LinkTimeout", "Reply", "ReplyStream"]

DEFAULT_CONNECT_TIMEOUT_S = 0.5
DEFAULT_READ_TIMEOUT_S = 2.0
MAX_POOLED_CONNECTIONS = 256
READ_BYTES = 64 * 1024


@dataclass(frozen=True)
class LinkBroken:
    """Report a connection that was refused, reset or closed; `was_sent` is False with proof."""

    message: str
    was_sent: bool


@dataclass(frozen=True)
class LinkTimeout:
    """Report an answer that did not come in time; `was_sent` is False with proof."""

    message: str
    was_sent: bool


LinkFailure = LinkBroken | LinkTimeout


@dataclass(frozen=True)
class Reply:
    """Hold one whole HTTP answer; header names are lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class ReplyStream:
    """Read the body of one HTTP answer as it comes."""

    def __init__(self, response: urllib3.BaseHTTPResponse, read_timeout_s: float) -> None:
        self._response = response
        self._read_timeout_s = read_timeout_s
        self.status = response.status
        self.headers: Mapping[str, str] = {
            name.lower(): value for name, value in response.headers.items()
        }

    def buffers(self) -> Iterator[Result[bytes, LinkFailure]]:
        """Yield what has arrived, or one failure at the end.

        The body of a chunked answer is read from the socket itself: through urllib3 and
        http.client each token costs several times the system call.
        """
        connection = self._response.connection
        sock: socket.socket | None = getattr(connection, "sock", None)
        original = getattr(self._response, "_original_response", None)
        if sock is None or original is None or not getattr(self._response, "chunked", False):
            yield from self._plain_buffers()
            return
        yield from _chunked_buffers(sock, original.fp, self._read_timeout_s)

    def _plain_buffers(self) -> Iterator[Result[bytes, LinkFailure]]:
        while True:
            try:
                buffer = self._response.read1(READ_BYTES)
            except (HTTPError, OSError) as error:
                yield Err(_failure_of(error))
                return
            if not buffer:
                return
            yield Ok(buffer)

    def close(self) -> None:
        """Close the connection without reading the rest."""
        self._response.close()

    def release(self) -> None:
        """Give the connection back to the pool after the whole body was read."""
        self._response.release_conn()


def _chunked_buffers(
    sock: socket.socket, buffered: BufferedReader, read_timeout_s: float
) -> Iterator[Result[bytes, LinkFailure]]:
    decoder = ChunkDecoder()
    sock_recv: Callable[[int], bytes] = sock.recv
    # The bytes that came together with the headers are in the buffered reader.
    read: Callable[[int], bytes] = buffered.read1
    while True:
        try:
            raw = read(READ_BYTES)
            content = decoder.decode(raw)
        except (BlockingIOError, TimeoutError):
            yield Err(LinkTimeout("no bytes in time", was_sent=True))
            return
        except (OSError, BrokenChunk) as error:
            yield Err(LinkBroken(str(error), was_sent=True))
            return
        if not raw:
            yield Err(LinkBroken("closed before the last chunk", was_sent=True))
            return
        if content:
            yield Ok(content)
        if decoder.is_ended:
            return
        if read is not sock_recv:
            set_read_timeout(sock, read_timeout_s)
            read = sock_recv


class HttpClient:
    """Send requests to one address through a pool of kept connections."""

    def __init__(
        self,
        host: str,
        port: int,
        connect_timeout_s: float = DEFAULT_CONNECT_TIMEOUT_S,
        read_timeout_s: float = DEFAULT_READ_TIMEOUT_S,
    ) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._read_timeout_s = read_timeout_s
        self._pool = urllib3.HTTPConnectionPool(
            host, port, maxsize=MAX_POOLED_CONNECTIONS, retries=False, block=False
        )

    def send(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        read_timeout_s: float | None = None,
    ) -> Result[Reply, LinkFailure]:
        """Send a request and read the whole answer."""
        opened = self.open(method, path, body, headers, read_timeout_s)
        match opened:
            case Err(failure):
                return Err(failure)
            case Ok(stream):
                return _read_whole(stream)

    def open(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        read_timeout_s: float | None = None,
    ) -> Result[ReplyStream, LinkFailure]:
        """Send a request and leave the answer's body to be read as it comes.

        The read timeout bounds each wait for bytes, not the whole answer.
        """
        timeout = urllib3.Timeout(
            connect=self._connect_timeout_s, read=read_timeout_s or self._read_timeout_s
        )
        try:
            response = self._pool.urlopen(
                method,
                path,
                body=body,
                headers=dict(headers or {}),
                timeout=timeout,
                preload_content=False,
                redirect=False,
            )
        except (HTTPError, OSError) as error:
            return Err(_failure_of(error))
        return Ok(ReplyStream(response, read_timeout_s or self._read_timeout_s))

    def close(self) -> None:
        """Close all kept connections."""
        self._pool.close()


def _read_whole(stream: ReplyStream) -> Result[Reply, LinkFailure]:
    parts = []
    for buffer in stream.buffers():
        match buffer:
            case Err(failure):
                stream.close()
                return Err(failure)
            case Ok(part):
                parts.append(part)
    stream.release()
    return Ok(Reply(stream.status, stream.headers, b"".join(parts)))


def _failure_of(error: Exception) -> LinkFailure:
    if isinstance(error, ConnectTimeoutError):
        return LinkTimeout(str(error), was_sent=False)
    if isinstance(error, NewConnectionError):
        return LinkBroken(str(error), was_sent=False)
    if isinstance(error, urllib3.exceptions.TimeoutError):
        return LinkTimeout(str(error), was_sent=True)
    return LinkBroken(str(error), was_sent=True)
