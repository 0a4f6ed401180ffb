"""Kept connections to upstreams, the most recently used first."""

import threading
from collections import defaultdict

from gooseberryquay.contracts.fields import Address
from gooseberryquay.links.upstream_connection import UpstreamConnection

__all__ = ["ConnectionPool"]

# An upstream's slots, shared by a few entries.
IDLE_PER_ADDRESS_MAX = 16


class ConnectionPool:
    """Hold idle connections; safe for use by many threads."""

    def __init__(self, connect_timeout_s: float, idle_limit_s: float) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._idle_limit_s = idle_limit_s
        self._idle: dict[Address, list[UpstreamConnection]] = defaultdict(list)
        self._lock = threading.Lock()

    def take(self, address: Address) -> UpstreamConnection | None:
        """Give a sound idle connection, if there is one."""
        while True:
            with self._lock:
                idle = self._idle.get(address)
                if not idle:
                    return None
                connection = idle.pop()
            if connection.is_idle_sound():
                return connection
            connection.close()

    def new(self, address: Address) -> UpstreamConnection:
        """Give a connection that is still to be opened."""
        return UpstreamConnection(address, self._connect_timeout_s, self._idle_limit_s)

    def give_back(self, connection: UpstreamConnection) -> None:
        """Keep a connection whose answer was read to its end, or close it."""
        if not connection.is_reusable:
            connection.close()
            return
        with self._lock:
            idle = self._idle[connection.address]
            idle.append(connection)
            dropped = idle.pop(0) if len(idle) > IDLE_PER_ADDRESS_MAX else None
        if dropped is not None:
            dropped.close()
