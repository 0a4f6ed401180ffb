"""Buffered reading and direct writing of server connections, in place of cheroot's own files."""

import io
import socket
from typing import Any

from cheroot.server import HTTPConnection

__all__ = ["ServerConnection", "SocketReader", "SocketWriter"]


class _PausableSocket(socket.SocketIO):
    """Read a socket, but bring nothing while paused."""

    is_paused = False

    def readinto(self, buffer: Any) -> int | None:
        """Read into a buffer."""
        return None if self.is_paused else super().readinto(buffer)


class SocketReader(io.BufferedReader):
    """Read a connection through the interpreter's own buffer, not through one in Python."""

    def __init__(self, connection: socket.socket, buffer_bytes: int) -> None:
        self._socket_file = _PausableSocket(connection, "rb")
        super().__init__(self._socket_file, buffer_bytes)

    def has_data(self) -> bool:
        """Tell whether bytes are buffered, without waiting for any."""
        self._socket_file.is_paused = True
        try:
            return bool(self.peek(1))
        finally:
            self._socket_file.is_paused = False


class SocketWriter:
    """Write to a connection at once, or hold bytes back for the next write."""

    def __init__(self, connection: socket.socket) -> None:
        self._connection = connection
        self._held: list[bytes] | None = None

    def write(self, data: bytes) -> int:
        """Send all bytes, or keep them while holding."""
        if self._held is None:
            self._connection.sendall(data)
        else:
            self._held.append(data)
        return len(data)

    def hold(self) -> None:
        """Keep what is written from now on."""
        self._held = []

    def release(self) -> bytes:
        """Give what was kept and send again at once."""
        held, self._held = self._held or [], None
        return b"".join(held)


class ServerConnection(HTTPConnection):
    """Hold one connection to a server with files that cost less than cheroot's."""

    def __init__(self, server: Any, connection: socket.socket, _make_file: Any = None) -> None:
        super().__init__(server, connection, self._make_file)

    def _make_file(
        self, connection: socket.socket, mode: str, buffer_bytes: int
    ) -> SocketReader | SocketWriter:
        if "r" in mode:
            return SocketReader(connection, buffer_bytes)
        return SocketWriter(connection)
