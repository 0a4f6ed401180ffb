"""Requests that end the upstream that runs them, and how such an upstream then looks."""

import contextlib
import socket
from enum import Enum

from gooseberryquay.links.forwarding_server import ForwardingServer

__all__ = ["CrashMode", "CrashingServer", "crash_mode_of"]


class CrashMode(Enum):
    """Say when an upstream ends, and whether its machine still resets connections."""

    AT_ARRIVAL = b"crash at arrival"
    MIDWAY = b"crash midway"
    SILENTLY = b"crash silently"


def crash_mode_of(body: bytes) -> CrashMode | None:
    """Give how a request ends its upstream, or None for a sound one."""
    return next((each for each in CrashMode if each.value in body), None)


class CrashingServer(ForwardingServer):
    """Serve until the process behind it is gone."""

    _held: tuple[socket.socket, ...] = ()

    def vanish(self, mode: CrashMode) -> None:
        """Refuse connections, or leave them without an answer."""
        with contextlib.suppress(OSError):
            self._server.socket.shutdown(socket.SHUT_RDWR)
        if mode is CrashMode.SILENTLY:
            self._held = _hold_silently(self.port)

    def release(self) -> None:
        """Free the port."""
        for each in self._held:
            each.close()


def _hold_silently(port: int) -> tuple[socket.socket, ...]:
    """Fill the queue of a listening socket, so that what opens a connection is dropped."""
    listening = socket.socket()
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening.bind(("127.0.0.1", port))
    listening.listen(0)
    waiting = []
    for _ in range(2):
        opening = socket.socket()
        opening.setblocking(False)
        opening.connect_ex(("127.0.0.1", port))
        waiting.append(opening)
    return (listening, *waiting)
