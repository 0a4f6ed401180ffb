"""Requests that crash their upstream, and the behavior of its port afterwards."""

import contextlib
import socket
from dataclasses import dataclass
from enum import Enum

from gooseberryquay.links.forwarding_server import ForwardingServer

__all__ = ["CrashMode", "CrashingPart", "CrashingServer", "crash_mode_of"]


class CrashMode(Enum):
    """When a request crashes its upstream, and whether the host still resets connections."""

    AT_ARRIVAL = b"crash at arrival"
    MIDWAY = b"crash midway"
    SILENTLY = b"crash silently"


def crash_mode_of(body: bytes) -> CrashMode | None:
    """Return how a request crashes its upstream, or None if it does not."""
    return next((each for each in CrashMode if each.value in body), None)


@dataclass(frozen=True)
class CrashingPart:
    """A part of a prompt that crashes each engine once it has written some events."""

    id: str
    after_events: int = 0

    def is_in(self, prompt_prefix: str) -> bool:
        """Return whether a prompt holds the part; the last part belongs to the request itself."""
        parts = [each.partition(":")[0] for each in prompt_prefix.split(",")]
        return self.id in parts[:-1]


class CrashingServer(ForwardingServer):
    """Serve requests until a simulated crash of the process."""

    _held_sockets: tuple[socket.socket, ...] = ()

    def simulate_crash(self, mode: CrashMode) -> None:
        """Refuse new connections, or leave them unanswered after a silent crash."""
        with contextlib.suppress(OSError):
            self._server.socket.shutdown(socket.SHUT_RDWR)
        if mode is CrashMode.SILENTLY:
            self._held_sockets = _fill_backlog(self.port)

    def release(self) -> None:
        """Close the sockets that keep the port unresponsive."""
        for each in self._held_sockets:
            each.close()


def _fill_backlog(port: int) -> tuple[socket.socket, ...]:
    """Fill the backlog of a listening socket, so that further SYN packets are dropped."""
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
