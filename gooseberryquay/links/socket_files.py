"""Connections of a server, with cheaper file objects than cheroot's and an orderly close."""

import contextlib
import io
import socket
import struct
from http import HTTPStatus
from typing import Any

from cheroot.server import HTTPConnection, HTTPRequest

from gooseberryquay.machines.caller_ledger import Exchange

__all__ = ["FramedRequest", "ServerConnection", "SocketReader", "SocketWriter"]

DISCARD_BYTES = 64 * 1024
BODILESS_STATUSES = {
    HTTPStatus.NO_CONTENT,
    HTTPStatus.RESET_CONTENT,
    HTTPStatus.NOT_MODIFIED,
}
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
ORDERLY_CLOSE = struct.pack("ii", 0, 0)

# `ServerConnection` has an attribute of the module's name.
_Socket = socket.socket


class _PausableSocket(socket.SocketIO):
    """Read a socket, but report that no data is available while paused."""

    is_paused = False

    def readinto(self, buffer: Any) -> int | None:
        """Read into a buffer; return None while paused."""
        return None if self.is_paused else super().readinto(buffer)


class SocketReader(io.BufferedReader):
    """Read a connection through CPython's `BufferedReader` instead of cheroot's Python one."""

    def __init__(self, connection: socket.socket, buffer_bytes: int) -> None:
        self._socket_file = _PausableSocket(connection, "rb")
        super().__init__(self._socket_file, buffer_bytes)

    def has_data(self) -> bool:
        """Return whether bytes are buffered, without blocking."""
        self._socket_file.is_paused = True
        try:
            return bool(self.peek(1))
        finally:
            self._socket_file.is_paused = False


class SocketWriter:
    """Write to a connection directly, or buffer writes while corked."""

    def __init__(self, connection: socket.socket) -> None:
        self._connection = connection
        self._corked: list[bytes] | None = None

    def write(self, data: bytes) -> int:
        """Send all bytes, or buffer them while corked."""
        if self._corked is None:
            self._connection.sendall(data)
        else:
            self._corked.append(data)
        return len(data)

    def cork(self) -> None:
        """Buffer all further writes."""
        self._corked = []

    def uncork(self) -> bytes:
        """Return the buffered bytes and stop buffering."""
        corked, self._corked = self._corked or [], None
        return b"".join(corked)


class FramedRequest(HTTPRequest):
    """Represent a request whose response looks complete only if it is, also without framing."""

    conn: Any

    def respond(self) -> None:
        """Respond; an exception leaves the response incomplete."""
        super().respond()
        self.conn.complete()

    def send_headers(self) -> None:
        """Send the status line and the headers."""
        if self._is_delimited_by_close():
            self.conn.reset_unless_completed()
        super().send_headers()

    def _is_delimited_by_close(self) -> bool:
        """Return whether only the end of the connection will show where the body ends."""
        status = int(self.status[:3])
        if self.response_protocol == "HTTP/1.1" or self.method == b"HEAD":
            return False
        if status < HTTPStatus.OK or status in BODILESS_STATUSES:
            return False
        return all(name.lower() != b"content-length" for name, _ in self.outheaders)


class ServerConnection(HTTPConnection):
    """Represent a server connection whose close does not lose the last response.

    The kernel resets a connection that is closed with unread bytes, and the caller then loses what
    it has not read yet. `linger_until_s` is set once only such bytes are awaited.

    While a response that only the close delimits is incomplete, every close is a reset, also that
    of a process that is killed.
    """

    RequestHandlerClass = FramedRequest

    server: Any
    socket: _Socket
    rfile: SocketReader
    last_used: float
    linger_until_s: float | None = None
    # The request that is being read or answered, where callers are limited.
    exchange: Exchange | None = None
    _is_reset_on_close = False
    _is_aborted = False

    def __init__(self, server: Any, connection: _Socket, _make_file: Any = None) -> None:
        super().__init__(server, connection, self._make_file)

    def communicate(self) -> bool:
        """Serve the requests that have arrived; return whether to keep the connection."""
        budget = self.server.caller_budget
        if budget is None:
            return bool(super().communicate())  # type: ignore[no-untyped-call]
        self.exchange = budget.begin(self.remote_addr or "", self)
        try:
            return bool(super().communicate())  # type: ignore[no-untyped-call]
        finally:
            budget.end(self.exchange)

    def end_wait(self, is_writing: bool) -> None:
        """Let a read that waits for the caller end, or a write that the caller does not read."""
        if is_writing:
            self.abort()
            return
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RD)

    def close(self) -> None:
        """End the stream to the caller, and close the socket once the caller has ended its own."""
        if self.linger_until_s is not None or self._is_reset_on_close:
            self.release()
            return
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)
        if self.has_ended() or not self.server.linger(self):
            self.release()

    def reset_unless_completed(self) -> None:
        """Let every close before `complete` reset the connection."""
        self._is_reset_on_close = True
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    def complete(self) -> None:
        """Close in good order from now on, unless the response was aborted."""
        if self._is_reset_on_close and not self._is_aborted:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ORDERLY_CLOSE)
            self._is_reset_on_close = False

    def abort(self) -> None:
        """End the connection, so that an incomplete response cannot look complete.

        The request's thread closes the socket, whose descriptor other threads may watch.
        """
        self._is_aborted = True
        # The end of the sending side would look like the end of a body without framing.
        how = socket.SHUT_RD if self._is_reset_on_close else socket.SHUT_RDWR
        with contextlib.suppress(OSError):
            self.socket.shutdown(how)

    def has_ended(self) -> bool:
        """Discard bytes that have arrived; return whether the caller sends no more."""
        try:
            self.socket.setblocking(False)
            return not self.socket.recv(DISCARD_BYTES)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def release(self) -> None:
        """Close the socket."""
        with contextlib.suppress(OSError):
            self.rfile.close()
            self.socket.close()
        self.server.forget(self)

    def _make_file(
        self, connection: _Socket, mode: str, buffer_bytes: int
    ) -> SocketReader | SocketWriter:
        if "r" in mode:
            return SocketReader(connection, buffer_bytes)
        return SocketWriter(connection)
