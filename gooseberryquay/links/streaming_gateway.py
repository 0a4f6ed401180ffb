"""Cheroot gateway that hands requests over without WSGI and writes straight to the socket."""

import contextlib
import socket
import threading
from collections.abc import Callable, Iterator
from typing import Any, Protocol

from cheroot.server import Gateway

from gooseberryquay.links.socket_timeout import set_write_timeout

__all__ = ["HEADER_CODING", "AfterResponse", "BodyWriter", "CallerDisconnected", "StreamingGateway"]

AfterResponse = Callable[[Callable[[], None]], None]

WRITE_TIMEOUT_S = 30.0
HEADER_CODING = "latin-1"


class CallerDisconnected(ConnectionError):
    """Report that the other side closed the connection or no longer reads."""


class BodyWriter(Protocol):
    """Write the body of a streamed answer; errors are `CallerGone`."""

    @property
    def is_chunked(self) -> bool:
        """Tell whether the body goes out in the chunked transfer coding."""

    def write(self, chunk: bytes) -> None:
        """Write content at once."""

    def write_raw_chunk(self, raw: bytes) -> None:
        """Write one whole chunk with its framing, where the answer is chunked."""


class StreamingGateway(Gateway):
    """Skip WSGI and cheroot's buffered writer, which cost more than the write itself."""

    def __init__(
        self,
        request: Any,
        answer: Callable[["StreamingGateway"], None],
        is_closing: Callable[[], bool] = lambda: False,
    ) -> None:
        super().__init__(request)
        self._answer = answer
        self._is_closing = is_closing
        self._socket: socket.socket | None = None
        self._has_started = False
        self._after_answer: list[Callable[[], None]] = []

    def respond(self) -> None:
        """Answer one request and leave the socket's timeout as it was."""
        try:
            self._answer(self)
        finally:
            if self._socket is not None:
                self._socket.settimeout(self.req.server.timeout)
            if self._after_answer:
                threading.Thread(target=self._do_after_answer, daemon=True).start()

    def after_response(self, action: Callable[[], None]) -> None:
        """Have an action done once the answer has been written or its caller is gone."""
        self._after_answer.append(action)

    def _do_after_answer(self) -> None:
        """Do what waited for the answer; the connection's next request does not wait for it."""
        for action in self._after_answer:
            action()

    def start(self, status_line: str, headers: list[tuple[str, str]]) -> None:
        """Set the status and the headers, which go out with the first bytes of the body."""
        if self._has_started:
            raise RuntimeError("an answer may start only once")
        self._has_started = True
        if self._is_closing():
            self.req.close_connection = True
        self.req.status = status_line.encode(HEADER_CODING)
        for name, value in headers:
            pair = (name.encode(HEADER_CODING), value.encode(HEADER_CODING))
            self.req.outheaders.append(pair)

    def write_all(self, body: bytes | Iterator[bytes]) -> None:
        """Write a body after `start`, and close an iterator that can be closed."""
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
        """Break the connection, so that an answer cannot look complete."""
        self.req.close_connection = True
        self.req.chunked_write = False
        self.req.sent_headers = True
        with contextlib.suppress(OSError):
            self.req.conn.socket.shutdown(socket.SHUT_RDWR)

    @property
    def connection(self) -> socket.socket:
        """Give the connection that the request came on."""
        opened: socket.socket = self.req.conn.socket
        return opened

    def write(self, chunk: bytes) -> None:
        """Write content at once."""
        try:
            head = self._take_head()
            if self.req.chunked_write:
                self.write_raw_chunk(b"%b%x\r\n%b\r\n" % (head, len(chunk), chunk))
            else:
                self.req.conn.wfile.write(head + chunk)
        except OSError as error:
            raise CallerDisconnected(str(error)) from error

    def write_raw_chunk(self, raw: bytes) -> None:
        """Write one whole chunk with its framing."""
        try:
            if self._socket is None:
                self._open_socket().sendall(raw)
            else:
                self._socket.sendall(raw)
        except OSError as error:
            raise CallerDisconnected(str(error)) from error

    @property
    def is_chunked(self) -> bool:
        """Tell whether the body goes out in the chunked transfer coding."""
        try:
            self.req.ensure_headers_sent()
        except OSError as error:
            raise CallerDisconnected(str(error)) from error
        return bool(self.req.chunked_write)

    def _take_head(self) -> bytes:
        """Give the status line and the headers, once."""
        if self.req.sent_headers:
            return b""
        writer = self.req.conn.wfile
        writer.hold()
        try:
            self.req.ensure_headers_sent()
        finally:
            head: bytes = writer.release()
        return head

    def _open_socket(self) -> socket.socket:
        opened: socket.socket = self.req.conn.socket
        set_write_timeout(opened, WRITE_TIMEOUT_S)
        self._socket = opened
        return opened
