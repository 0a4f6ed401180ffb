"""Cheroot gateway that bypasses WSGI and writes directly to the socket."""

import socket
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any, Protocol

from cheroot.server import Gateway

from gooseberryquay.links.socket_timeout import set_write_timeout
from gooseberryquay.machines.caller_ledger import Exchange, Phase

__all__ = ["HEADER_CODING", "AfterResponse", "BodyWriter", "CallerDisconnected", "StreamingGateway"]

AfterResponse = Callable[[Callable[[], None]], None]

WRITE_TIMEOUT_S = 30.0
HEADER_CODING = "latin-1"
# Larger content is written in steps, without a copy; each step must be read in time.
WRITE_STEP_BYTES = 64 * 1024


class CallerDisconnected(ConnectionError):
    """Raised when the caller closed the connection or no longer reads."""


class BodyWriter(Protocol):
    """Write the body of a streamed response; raises `CallerDisconnected`."""

    @property
    def is_chunked(self) -> bool:
        """Return whether the body is sent in the chunked transfer coding."""

    def write(self, chunk: bytes) -> None:
        """Write content without buffering."""

    def write_raw_chunk(self, raw: bytes) -> None:
        """Write one complete chunk with its framing; requires a chunked response."""


class StreamingGateway(Gateway):
    """Bypass WSGI and cheroot's buffered writer, which cost more than the write itself."""

    def __init__(
        self,
        request: Any,
        handler: Callable[["StreamingGateway"], None],
        is_closing: Callable[[], bool] = lambda: False,
    ) -> None:
        super().__init__(request)
        self._handler = handler
        self._is_closing = is_closing
        self._socket: socket.socket | None = None
        self._start_lock = threading.Lock()
        self._has_started = False
        self._is_concluded = False
        self._after_response: list[Callable[[], None]] = []

    def respond(self) -> None:
        """Respond to one request and restore the socket's timeout."""
        try:
            self._handler(self)
        except CallerDisconnected:
            raise
        except TimeoutError as error:
            # cheroot responds to it with status 408, which guarantees that nothing was executed.
            if not self._is_body_awaited():
                raise RuntimeError("timeout in the handler of a request") from error
            raise
        finally:
            if self._socket is not None:
                self._socket.settimeout(self.req.server.timeout)
            if self._after_response:
                threading.Thread(target=self._run_after_response, daemon=True).start()

    def after_response(self, action: Callable[[], None]) -> None:
        """Register a callback for when the response is written or the caller has disconnected."""
        self._after_response.append(action)

    def _is_body_awaited(self) -> bool:
        """Return whether the body has not arrived completely, so that no handler has seen it."""
        if self.req.chunked_read:
            return not self.req.rfile.closed
        return int(self.req.rfile.remaining) > 0

    def _run_after_response(self) -> None:
        """Run the callbacks on a separate thread, so that the next request is not delayed."""
        for action in self._after_response:
            action()

    def start(self, status_line: str, headers: list[tuple[str, str]]) -> None:
        """Set the status and the headers, which are sent with the first bytes of the body."""
        with self._start_lock:
            if self._is_concluded:
                raise CallerDisconnected("the response was concluded by another thread")
            if self._has_started:
                raise RuntimeError("the response has already started")
            self._has_started = True
        if self._is_closing():
            self.req.close_connection = True
        self._set_head(status_line, headers)

    def conclude(self, status_line: str, headers: list[tuple[str, str]], body: bytes) -> bool:
        """Write a whole response from another thread; return False if one has started.

        From then on `start` raises `CallerDisconnected` in the request's own thread.
        """
        with self._start_lock:
            if self._has_started:
                return False
            self._has_started = self._is_concluded = True
        self.req.close_connection = True
        self._set_head(status_line, headers)
        self.write_all(body)
        return True

    def _set_head(self, status_line: str, headers: list[tuple[str, str]]) -> None:
        self.req.status = status_line.encode(HEADER_CODING)
        for name, value in headers:
            pair = (name.encode(HEADER_CODING), value.encode(HEADER_CODING))
            self.req.outheaders.append(pair)

    def write_all(self, body: bytes | Iterator[bytes]) -> None:
        """Write a body after `start`; close it if it is an iterator with a `close` method."""
        try:
            for chunk in [body] if isinstance(body, bytes) else body:
                if chunk:
                    self.write(chunk)
            self.req.ensure_headers_sent()
        finally:
            close = getattr(body, "close", None)
            if close is not None:
                close()

    def abort(self) -> None:
        """End the connection, so that a partial response cannot look complete."""
        self.req.close_connection = True
        self.req.chunked_write = False
        self.req.sent_headers = True
        self.req.conn.abort()

    @property
    def has_started(self) -> bool:
        """Return whether a response was started."""
        return self._has_started

    @property
    def connection(self) -> socket.socket:
        """Return the socket on which the request arrived."""
        opened: socket.socket = self.req.conn.socket
        return opened

    def write(self, chunk: bytes) -> None:
        """Write content without buffering."""
        try:
            head = self._take_head()
            if self.req.chunked_write:
                self.write_raw_chunk(b"%b%x\r\n%b\r\n" % (head, len(chunk), chunk))
            elif len(chunk) <= WRITE_STEP_BYTES:
                self._write_plain(head + chunk)
            else:
                self._write_plain(head)
                view = memoryview(chunk)
                for start in range(0, len(chunk), WRITE_STEP_BYTES):
                    self._write_plain(view[start : start + WRITE_STEP_BYTES])
        except OSError as error:
            raise CallerDisconnected(str(error)) from error

    def _write_plain(self, content: bytes | memoryview) -> None:
        exchange = self._begin_write()
        self.req.conn.wfile.write(content)
        if exchange is not None:
            exchange.phase = Phase.SERVING

    def _begin_write(self) -> Exchange | None:
        """Record that the caller has to read from now on."""
        exchange: Exchange | None = getattr(self.req.conn, "exchange", None)
        if exchange is not None:
            exchange.enter(Phase.RESPONSE, time.monotonic())
        return exchange

    def write_raw_chunk(self, raw: bytes) -> None:
        """Write one complete chunk with its framing."""
        exchange = self._begin_write()
        try:
            if self._socket is None:
                self._open_socket().sendall(raw)
            else:
                self._socket.sendall(raw)
        except OSError as error:
            raise CallerDisconnected(str(error)) from error
        if exchange is not None:
            exchange.phase = Phase.SERVING

    @property
    def is_chunked(self) -> bool:
        """Return whether the body is sent in the chunked transfer coding."""
        try:
            self.req.ensure_headers_sent()
        except OSError as error:
            raise CallerDisconnected(str(error)) from error
        return bool(self.req.chunked_write)

    def _take_head(self) -> bytes:
        """Return the status line and the headers the first time, then nothing."""
        if self.req.sent_headers:
            return b""
        writer = self.req.conn.wfile
        writer.cork()
        try:
            self.req.ensure_headers_sent()
        finally:
            head: bytes = writer.uncork()
        return head

    def _open_socket(self) -> socket.socket:
        opened: socket.socket = self.req.conn.socket
        set_write_timeout(opened, WRITE_TIMEOUT_S)
        self._socket = opened
        return opened
