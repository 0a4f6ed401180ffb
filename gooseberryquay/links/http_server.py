"""HTTP server on cheroot with typed requests, typed responses and path patterns."""

import logging
import re
import sys
import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from http import HTTPStatus
from typing import Any, Protocol
from urllib.parse import parse_qs, unquote

from cheroot.server import HTTPServer
from pydantic import BaseModel

from gooseberryquay.links.caller_budget import CallerBudget
from gooseberryquay.links.caller_watch import CallerWatch, NullCallerWatch, SocketCallerWatch
from gooseberryquay.links.connection_manager import OrderlyConnectionManager
from gooseberryquay.links.socket_files import ServerConnection
from gooseberryquay.links.streaming_gateway import (
    HEADER_CODING,
    AfterResponse,
    BodyWriter,
    CallerDisconnected,
    StreamingGateway,
)
from gooseberryquay.links.strict_request import BodyIncomplete, BodyRefused, read_whole_body
from gooseberryquay.links.thread_pool import GrowingThreadPool

__all__ = ["HttpServer", "LogServerError", "Request", "Response", "Router", "StreamOpener"]

logger = logging.getLogger("gooseberryquay.http")

MAX_HEADER_BYTES = 32 * 1024
MAX_BODY_BYTES = 4 * 1024 * 1024
MIN_THREADS = 8
LISTEN_BACKLOG = 1024
KEEP_ALIVE_TIMEOUT_S = 60
MAX_KEEP_ALIVE_CONNECTIONS = 4096
STACK_BYTES = 256 * 1024
SHUTDOWN_TIMEOUT_S = 5

JSON_TYPE = "application/json"
EVENT_STREAM_TYPE = "text/event-stream"


class StreamOpener(Protocol):
    """Start a streamed response and return the writer of its body."""

    def __call__(self, content_type: str, headers: dict[str, str]) -> BodyWriter:
        """Send status 200 and the headers with the first bytes of the body."""


Conclude = Callable[["Response"], bool]
Abort = Callable[[], None]


def _cannot_conclude(_response: "Response") -> bool:
    return False


@dataclass(frozen=True)
class Request:
    """Represent an HTTP request; header names are lower case.

    `after_response` registers a callback to run after the response or the disconnect of the caller.
    `conclude` writes a response from another thread, unless one has started. `abort` ends the
    connection, so that a response that has started cannot look complete.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    open_stream: StreamOpener
    after_response: AfterResponse
    path_values: dict[str, str] = field(default_factory=dict)
    conclude: Conclude = _cannot_conclude
    abort: Abort = lambda: None
    caller: CallerWatch = field(default_factory=NullCallerWatch)


@dataclass(frozen=True)
class Response:
    """Represent an HTTP response; an iterator body is sent in chunks as it yields them."""

    status: int = 200
    body: bytes | Iterator[bytes] = b""
    content_type: str = JSON_TYPE
    headers: dict[str, str] = field(default_factory=dict)
    is_closing: bool = False
    is_sent: bool = False

    @staticmethod
    def sent() -> "Response":
        """Signal that the handler has written the whole response through `open_stream`."""
        return Response(is_sent=True)

    @staticmethod
    def of(message: BaseModel, status: int = 200) -> "Response":
        """Encode a message as a JSON response."""
        return Response(status=status, body=message.model_dump_json().encode())


Handler = Callable[[Request], Response]
# Called with a message and the exception of a thread that serves connections.
LogServerError = Callable[[str, BaseException | None], None]


@dataclass(frozen=True)
class _Route:
    method: str
    pattern: re.Pattern[str]
    handler: Handler


class Router:
    """Dispatch requests by method and path pattern; `{name}` matches one segment."""

    def __init__(self) -> None:
        self._routes: list[_Route] = []

    def add(self, method: str, path: str, handler: Handler) -> None:
        """Register a handler for a method and a path pattern."""
        pattern = re.sub(r"\{(\w+)\}", r"(?P<\1>[^/]+)", path)
        self._routes.append(_Route(method, re.compile(f"^{pattern}$"), handler))

    def handle(self, request: Request) -> Response:
        """Call the matching handler, or respond with status 404 or 405."""
        is_path_known = False
        for route in self._routes:
            match = route.pattern.match(request.path)
            if match is None:
                continue
            is_path_known = True
            if route.method == request.method:
                return route.handler(_with_path_values(request, match.groupdict()))
        status = HTTPStatus.METHOD_NOT_ALLOWED if is_path_known else HTTPStatus.NOT_FOUND
        return self._unmatched(request, status)

    def _unmatched(self, request: Request, status: HTTPStatus) -> Response:
        return Response(status=status, body=b"{}")


def _with_path_values(request: Request, values: dict[str, str]) -> Request:
    decoded = {name: unquote(value) for name, value in values.items()}
    return replace(request, path_values=decoded)


class _Server(HTTPServer):
    """Close connections in good order."""

    # Limits what callers have in flight, if set.
    caller_budget: CallerBudget | None = None
    # Whether connections and threads are limited, too: those of callers, not of other entries.
    limits_connections = False
    descriptors_max: int | None = None
    _connections: OrderlyConnectionManager

    def prepare(self) -> None:
        """Bind the address and start the threads."""
        super().prepare()
        self._connections = OrderlyConnectionManager(self)

    def finish(self, until_s: float) -> bool:
        """Accept no more, answer what arrives for a while, then end and close all connections."""
        return self._connections.finish(until_s)

    def linger(self, connection: ServerConnection) -> bool:
        """Discard what the caller still sends; return False if the connection must be closed."""
        return self._connections.linger(connection)

    def forget(self, connection: ServerConnection) -> None:
        """Stop counting a connection whose socket is closed."""
        self._connections.forget(connection)


class HttpServer:
    """Serve a router on one TCP address, with one thread per open request."""

    def __init__(
        self,
        host: str,
        port: int,
        router: Router,
        *,
        max_threads: int = 2048,
        max_body_bytes: int = MAX_BODY_BYTES,
        min_threads: int = MIN_THREADS,
        log_error: LogServerError | None = None,
        budget: CallerBudget | None = None,
    ) -> None:
        threading.stack_size(STACK_BYTES)
        self._router = router
        self._log_error = log_error or _write_to_log
        self._server = _Server((host, port), self._open_gateway)
        self._server.caller_budget = budget
        self._server.request_queue_size = LISTEN_BACKLOG
        self._server.timeout = KEEP_ALIVE_TIMEOUT_S
        self._server.shutdown_timeout = SHUTDOWN_TIMEOUT_S
        self._server.ConnectionClass = ServerConnection
        self._server.requests = GrowingThreadPool(self._server, min_threads, max_threads)
        self._server.max_request_header_size = MAX_HEADER_BYTES
        self._server.max_request_body_size = max_body_bytes
        self._server.keep_alive_conn_limit = MAX_KEEP_ALIVE_CONNECTIONS
        setattr(self._server, "error_log", self._report_error)  # noqa: B010
        self._is_closing_connections = threading.Event()
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Bind the address and serve in the background."""
        self._server.prepare()
        self._thread = threading.Thread(target=self._server.serve, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Close the listening socket and stop the worker threads."""
        self._server.stop()

    def finish(self, timeout_s: float) -> bool:
        """Refuse new connections, answer what arrives, and close all connections.

        Return whether all were closed before the timeout.
        """
        self._is_closing_connections.set()
        return self._server.finish(time.monotonic() + timeout_s)

    def close_connections_after_responses(self) -> None:
        """Send `Connection: close` with every response from now on."""
        self._is_closing_connections.set()

    @property
    def port(self) -> int:
        """Return the bound TCP port."""
        return int(self._server.bind_addr[1])

    def _report_error(self, message: object = "", *_args: Any, **_options: Any) -> None:
        """Log an error of cheroot, unless the caller has closed its connection."""
        error = sys.exc_info()[1]
        if not isinstance(error, CallerDisconnected):
            self._log_error(str(message), error)

    def _open_gateway(self, request: Any) -> StreamingGateway:
        return StreamingGateway(request, self._respond, self._is_closing_connections.is_set)

    def _respond(self, gateway: StreamingGateway) -> None:
        def open_stream(content_type: str, headers: dict[str, str]) -> BodyWriter:
            gateway.start(_status_line(HTTPStatus.OK), self._header_list(content_type, headers))
            return gateway

        def conclude(response: Response) -> bool:
            body = response.body if isinstance(response.body, bytes) else b"".join(response.body)
            headers = self._headers_of(replace(response, body=body))
            return gateway.conclude(_status_line(response.status), headers, body)

        try:
            request = replace(
                _read_request(gateway.req, open_stream, gateway.after_response, conclude),
                abort=gateway.abort,
                caller=SocketCallerWatch(gateway.connection),
            )
        except BodyIncomplete:
            gateway.req.close_connection = True
            response = Response(HTTPStatus.BAD_REQUEST, b"{}")
        except BodyRefused as refused:
            gateway.req.close_connection = True
            response = Response(refused.status, b"{}", is_closing=True)
        else:
            response = self._router.handle(request)
        if response.is_sent:
            return
        gateway.start(_status_line(response.status), self._headers_of(response))
        gateway.write_all(response.body)

    def _headers_of(self, response: Response) -> list[tuple[str, str]]:
        headers = self._header_list(response.content_type, response.headers, response.is_closing)
        if isinstance(response.body, bytes):
            headers.append(("Content-Length", str(len(response.body))))
        return headers

    def _header_list(
        self, content_type: str, headers: dict[str, str], is_closing: bool = False
    ) -> list[tuple[str, str]]:
        pairs = [("Content-Type", content_type), *headers.items()]
        if is_closing:
            pairs.append(("Connection", "close"))
        return pairs


def _write_to_log(message: str, error: BaseException | None) -> None:
    logger.error("HTTP server error: %s", message, exc_info=error)


def _status_line(status: int) -> str:
    return f"{status} {HTTPStatus(status).phrase}"


def _read_request(
    request: Any, open_stream: StreamOpener, after_response: AfterResponse, conclude: Conclude
) -> Request:
    headers = {
        name.decode(HEADER_CODING).lower().replace("_", "-"): value.decode(HEADER_CODING)
        for name, value in request.inheaders.items()
    }
    headers.pop("content-length", None)
    return Request(
        method=request.method.decode(HEADER_CODING),
        path=request.path.decode(HEADER_CODING),
        query=_read_query(request.qs),
        headers=headers,
        body=read_whole_body(request),
        open_stream=open_stream,
        after_response=after_response,
        conclude=conclude,
    )


def _read_query(text: bytes) -> dict[str, str]:
    if not text:
        return {}
    return {key: values[-1] for key, values in parse_qs(text.decode(HEADER_CODING)).items()}
