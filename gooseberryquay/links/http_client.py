"""HTTP client on urllib3 that returns failures as typed values."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

import urllib3
from result import Err, Ok, Result
from urllib3.exceptions import HTTPError

from gooseberryquay.links.body_reader import BodyReader
from gooseberryquay.links.coalescing_connection import CoalescingConnection
from gooseberryquay.links.transport_failure import (
    ConnectionBroken,
    TransportFailure,
    TransportTimeout,
    classify_error,
)

__all__ = [
    "ConnectionBroken",
    "HttpClient",
    "Reply",
    "ReplyStream",
    "TransportFailure",
    "TransportTimeout",
]

DEFAULT_CONNECT_TIMEOUT_S = 0.5
DEFAULT_READ_TIMEOUT_S = 2.0
MAX_POOLED_CONNECTIONS = 256
NO_RETRIES = urllib3.Retry(False, redirect=False)


@dataclass(frozen=True)
class Reply:
    """Represent a complete HTTP response; header names are lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class ReplyStream:
    """Represent an HTTP response whose body is still to be read."""

    def __init__(self, response: urllib3.BaseHTTPResponse, read_timeout_s: float) -> None:
        self._response = response
        self.status = response.status
        self.headers: Mapping[str, str] = {
            name.lower(): value for name, value in response.headers.items()
        }
        self.body = BodyReader(response, read_timeout_s)

    def buffers(self) -> Iterator[Result[bytes, TransportFailure]]:
        """Yield parts of the body as they arrive; a failure ends the iteration."""
        while (part := self.body.read()) != Ok(b""):
            yield part
            if part.is_err():
                return

    def close(self) -> None:
        """Close the connection without reading the rest."""
        self._response.close()

    def release(self) -> None:
        """Return the connection to the pool after the whole body was read."""
        self._response.release_conn()


class HttpClient:
    """Send requests to one address through a connection pool."""

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
            host, port, maxsize=MAX_POOLED_CONNECTIONS, retries=NO_RETRIES, block=False
        )
        self._pool.ConnectionCls = CoalescingConnection

    def send(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        read_timeout_s: float | None = None,
    ) -> Result[Reply, TransportFailure]:
        """Send a request and read the complete response."""
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
    ) -> Result[ReplyStream, TransportFailure]:
        """Send a request and return the response with its body unread.

        The read timeout bounds each wait for data, not the whole response.
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
            return Err(classify_error(error))
        return Ok(ReplyStream(response, read_timeout_s or self._read_timeout_s))

    def close(self) -> None:
        """Close all pooled connections."""
        self._pool.close()


def _read_whole(stream: ReplyStream) -> Result[Reply, TransportFailure]:
    parts: list[bytes] = []
    while True:
        match stream.body.read():
            case Err(failure):
                stream.close()
                return Err(failure)
            case Ok(b""):
                stream.release()
                return Ok(Reply(stream.status, stream.headers, b"".join(parts)))
            case Ok(part):
                parts.append(part)
