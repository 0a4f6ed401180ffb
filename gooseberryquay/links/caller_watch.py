"""Notice when the caller of an open request closes its connection."""

import select
import socket
import time
from typing import Protocol

__all__ = ["CallerWatch", "NullCallerWatch", "SocketWatch", "wait_readable"]

MS_PER_S = 1000.0


class CallerWatch(Protocol):
    """Tell whether the caller of a request is still there."""

    def descriptor(self) -> int | None:
        """Give a descriptor that turns readable when the caller leaves, if there is one."""

    def is_disconnected(self) -> bool:
        """Tell whether the caller has closed its connection."""


class NullCallerWatch:
    """Stand for a caller that is never seen to leave."""

    def descriptor(self) -> int | None:
        """Give no descriptor."""
        return None

    def is_disconnected(self) -> bool:
        """Tell that the caller is there."""
        return False


class SocketWatch:
    """Watch the connection that a request came on.

    A caller that sends its next request early can no longer be told apart from one that left
    without reading that request, so it is taken as present.
    """

    def __init__(self, connection: socket.socket) -> None:
        self._connection = connection
        self._has_left = False
        self._has_more = False

    def descriptor(self) -> int | None:
        """Give the connection's descriptor while its end can be seen on it."""
        return None if self._has_more or self._has_left else self._connection.fileno()

    def is_disconnected(self) -> bool:
        """Look at the connection without waiting."""
        if self._has_more or self._has_left:
            return self._has_left
        poller = select.poll()
        poller.register(self._connection, select.POLLIN)
        # A socket with a timeout waits in Python even where the call itself would not.
        if not poller.poll(0):
            return False
        try:
            self._has_left = not self._connection.recv(1, socket.MSG_PEEK)
            self._has_more = not self._has_left
        except OSError:
            self._has_left = True
        return self._has_left


def wait_readable(connection: socket.socket, caller: CallerWatch, until_s: float) -> bool:
    """Wait until a connection is readable or the caller has left; False when time runs out."""
    while True:
        poller = select.poll()
        poller.register(connection, select.POLLIN)
        descriptor = caller.descriptor()
        if descriptor is not None and descriptor >= 0:
            poller.register(descriptor, select.POLLIN)
        timeout_s = until_s - time.monotonic()
        ready = poller.poll(max(0.0, timeout_s * MS_PER_S))
        if not ready:
            if timeout_s <= 0.0:
                return False
            continue
        if any(each == connection.fileno() for each, _ in ready):
            return True
        if caller.is_disconnected():
            return True
