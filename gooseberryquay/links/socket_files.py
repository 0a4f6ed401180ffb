"""Connections of a server, with cheaper file objects than cheroot's and an orderly close."""

import contextlib
import io
import socket
from typing import Any

from cheroot.server import HTTPConnection

__all__ = ["ServerConnection", "SocketReader", "SocketWriter"]

DISCARD_BYTES = 64 * 1024

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


class ServerConnection(HTTPConnection):
    """Represent a server connection whose close does not lose the last response.

    The kernel resets a connection that is closed with unread bytes, and the caller then loses what
    it has not read yet. `linger_until_s` is set once only such bytes are awaited.
    """

    server: Any
    socket: _Socket
    rfile: SocketReader
    last_used: float
    linger_until_s: float | None = None

    def __init__(self, server: Any, connection: _Socket, _make_file: Any = None) -> None:
        super().__init__(server, connection, self._make_file)

    def close(self) -> None:
        """End the stream to the caller, and close the socket once the caller has ended its own."""
        if self.linger_until_s is not None:
            self.release()
            return
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)
        if self.has_ended() or not self.server.linger(self):
            self.release()

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
