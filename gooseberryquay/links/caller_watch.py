"""Detection of callers that disconnect while their request is in flight."""

import select
import socket
import time
from typing import Protocol

__all__ = ["CallerWatch", "NullCallerWatch", "SocketCallerWatch", "wait_readable"]

MS_PER_S = 1000.0


class CallerWatch(Protocol):
    """Detect whether the caller of a request is still connected."""

    def descriptor(self) -> int | None:
        """Return a file descriptor that becomes readable when the caller disconnects, or None."""

    def is_disconnected(self) -> bool:
        """Return whether the caller has closed its connection."""


class NullCallerWatch:
    """Represent a caller whose disconnect is never detected."""

    def descriptor(self) -> int | None:
        """Return None: there is nothing to poll."""
        return None

    def is_disconnected(self) -> bool:
        """Return False."""
        return False


class SocketCallerWatch:
    """Watch the connection on which a request arrived.

    Once a caller has pipelined its next request, a later disconnect cannot be detected without
    reading that request, so such a caller counts as connected.
    """

    def __init__(self, connection: socket.socket) -> None:
        self._connection = connection
        self._has_left = False
        self._has_unread_data = False

    def descriptor(self) -> int | None:
        """Return the connection's descriptor while a disconnect can be detected on it."""
        return None if self._has_unread_data or self._has_left else self._connection.fileno()

    def is_disconnected(self) -> bool:
        """Check the connection without blocking."""
        if self._has_unread_data or self._has_left:
            return self._has_left
        poller = select.poll()
        poller.register(self._connection, select.POLLIN)
        # Polled first, since Python's `recv` blocks on a socket that has a timeout.
        if not poller.poll(0):
            return False
        try:
            self._has_left = not self._connection.recv(1, socket.MSG_PEEK)
            self._has_unread_data = not self._has_left
        except OSError:
            self._has_left = True
        return self._has_left


def wait_readable(connection: socket.socket, caller: CallerWatch, until_s: float) -> bool:
    """Wait until a connection is readable or the caller disconnects; return False on timeout."""
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
