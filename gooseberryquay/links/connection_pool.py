"""Pool of idle connections to upstreams, most recently used first."""

import threading
from collections import defaultdict

from gooseberryquay.contracts.fields import Address
from gooseberryquay.links.upstream_connection import UpstreamConnection
from gooseberryquay.links.work_pace import SpareWork, WorkPace

__all__ = ["ConnectionPool"]

# An upstream's slots, divided among the few entries that share it.
IDLE_PER_ADDRESS_MAX = 16


class ConnectionPool:
    """Store idle connections for reuse; thread-safe."""

    def __init__(
        self, connect_timeout_s: float, idle_limit_s: float, spare: SpareWork | None = None
    ) -> None:
        self._spare = spare or SpareWork()
        self._connect_timeout_s = connect_timeout_s
        self._idle_limit_s = idle_limit_s
        self._idle: dict[Address, list[UpstreamConnection]] = defaultdict(list)
        self._lock = threading.Lock()

    def acquire(self, address: Address) -> UpstreamConnection | None:
        """Return an idle connection that is still usable, or None."""
        while True:
            with self._lock:
                idle = self._idle.get(address)
                if not idle:
                    return None
                connection = idle.pop()
            if connection.is_idle_usable():
                return connection
            connection.close()

    def create(self, address: Address) -> UpstreamConnection:
        """Return a new connection that is not open yet."""
        return UpstreamConnection(
            address, self._connect_timeout_s, self._idle_limit_s, pace=self.new_pace()
        )

    def new_pace(self) -> WorkPace:
        """Return the pace of one connection, which shares its spare work with all others."""
        return WorkPace(self._spare)

    def can_connect(self, address: Address, timeout_s: float) -> bool:
        """Return whether a new connection opens in time, and close it."""
        connection = self.create(address)
        failure = connection.connect(timeout_s)
        connection.close()
        return failure is None

    def release(self, connection: UpstreamConnection) -> None:
        """Return a connection to the pool, or close it if it cannot be reused."""
        if not connection.is_reusable:
            connection.close()
            return
        with self._lock:
            idle = self._idle[connection.address]
            idle.append(connection)
            dropped = idle.pop(0) if len(idle) > IDLE_PER_ADDRESS_MAX else None
        if dropped is not None:
            dropped.close()

    def drop_idle(self, address: Address) -> None:
        """Close the idle connections to an address."""
        with self._lock:
            dropped = self._idle.pop(address, [])
        for each in dropped:
            each.close()
