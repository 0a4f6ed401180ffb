"""Count of the bytes that this process sends and receives over sockets."""

import socket
import threading
from typing import Any

__all__ = ["ByteCount"]


class ByteCount:
    """Count payload bytes of all TCP sockets, including HTTP headers, from `install` on."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.sent_bytes = 0
        self.received_bytes = 0

    def install(self) -> None:
        """Patch the send and receive methods of the socket class."""
        setattr(socket.socket, "send", self._counted_send)  # noqa: B010
        setattr(socket.socket, "sendall", self._counted_sendall)  # noqa: B010
        setattr(socket.socket, "recv_into", self._counted_recv_into)  # noqa: B010

    @property
    def _counted_send(self) -> Any:
        original = socket.socket.send

        def send(sock: socket.socket, data: Any, *rest: Any) -> int:
            sent = original(sock, data, *rest)
            self._add(sent, 0)
            return sent

        return send

    @property
    def _counted_sendall(self) -> Any:
        original = socket.socket.sendall

        def sendall(sock: socket.socket, data: Any, *rest: Any) -> None:
            original(sock, data, *rest)
            self._add(len(data), 0)

        return sendall

    @property
    def _counted_recv_into(self) -> Any:
        original = socket.socket.recv_into

        def recv_into(sock: socket.socket, *rest: Any) -> int:
            received = original(sock, *rest)
            self._add(0, received)
            return received

        return recv_into

    def _add(self, sent: int, received: int) -> None:
        with self._lock:
            self.sent_bytes += sent
            self.received_bytes += received
