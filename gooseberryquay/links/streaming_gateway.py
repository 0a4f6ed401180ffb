"""Cheroot gateway that writes the chunks of a streamed answer straight to the socket."""

import socket
import threading
from collections.abc import Callable
from typing import Any, Protocol, cast

import cheroot.wsgi

from gooseberryquay.links.socket_timeout import set_write_timeout

__all__ = [
    "AfterAnswer",
    "BodyWriter",
    "CallerGone",
    "StreamingGateway",
    "after_answer_of",
    "writer_of",
]

AfterAnswer = Callable[[Callable[[], None]], None]

WRITE_TIMEOUT_S = 30.0
WRITER_KEY = "gooseberryquay.writer"
AFTER_ANSWER_KEY = "gooseberryquay.after_answer"


class CallerGone(ConnectionError):
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


class StreamingGateway(cheroot.wsgi.Gateway_10):
    """Skip cheroot's buffered writer, which costs more than the write itself."""

    _socket: socket.socket | None = None
    _after_answer: list[Callable[[], None]]

    def get_environ(self) -> Any:
        """Give the WSGI environment with the writer of this answer."""
        environ: dict[str, Any] = cast(Any, super()).get_environ()
        environ[WRITER_KEY] = self
        self._after_answer = []
        environ[AFTER_ANSWER_KEY] = self._after_answer.append
        return environ

    def respond(self) -> None:
        """Answer one request and leave the socket's timeout as it was."""
        try:
            super().respond()
        finally:
            if self._socket is not None:
                self._socket.settimeout(self.req.server.timeout)
            if self._after_answer:
                threading.Thread(target=self._do_after_answer, daemon=True).start()

    def _do_after_answer(self) -> None:
        """Do what waited for the answer; the connection's next request does not wait for it."""
        for action in self._after_answer:
            action()

    def write(self, chunk: bytes) -> None:
        """Write content at once."""
        if self.remaining_bytes_out is None and self.is_chunked:
            self.write_raw_chunk(b"%x\r\n%b\r\n" % (len(chunk), chunk))
            return
        try:
            super().write(chunk)
        except OSError as error:
            raise CallerGone(str(error)) from error

    def write_raw_chunk(self, raw: bytes) -> None:
        """Write one whole chunk with its framing."""
        try:
            if self._socket is None:
                self._open_socket().sendall(raw)
            else:
                self._socket.sendall(raw)
        except OSError as error:
            raise CallerGone(str(error)) from error

    @property
    def is_chunked(self) -> bool:
        """Tell whether the body goes out in the chunked transfer coding."""
        try:
            self.req.ensure_headers_sent()
        except OSError as error:
            raise CallerGone(str(error)) from error
        return bool(self.req.chunked_write)

    def _open_socket(self) -> socket.socket:
        opened: socket.socket = self.req.conn.socket
        set_write_timeout(opened, WRITE_TIMEOUT_S)
        self._socket = opened
        return opened


def writer_of(environ: dict[str, Any]) -> BodyWriter:
    """Give the writer of the answer that a WSGI environment belongs to."""
    return cast(BodyWriter, environ[WRITER_KEY])


def after_answer_of(environ: dict[str, Any]) -> AfterAnswer:
    """Give what takes actions to be done once the answer has been written."""
    return cast(AfterAnswer, environ[AFTER_ANSWER_KEY])
