"""Pool of idle connections to upstreams, most recently used first."""

import threading
import time

from gooseberryquay.contracts.fields import Address
from gooseberryquay.links.upstream_connection import UpstreamConnection
from gooseberryquay.links.work_pace import SpareWork, WorkPace

__all__ = ["ConnectionPool"]

# An upstream's slots, divided among the few entries that share it.
IDLE_PER_ADDRESS_MAX = 16
EXPIRY_CHECK_S = 1.0


class ConnectionPool:
    """Store idle connections for reuse; thread-safe."""

    def __init__(
        self, connect_timeout_s: float, idle_limit_s: float, spare: SpareWork | None = None
    ) -> None:
        self._spare = spare or SpareWork()
        self._connect_timeout_s = connect_timeout_s
        self._idle_limit_s = idle_limit_s
        # For each address, the connection that was used last at the end.
        self._idle: dict[Address, list[UpstreamConnection]] = {}
        self._checked_at_s = time.monotonic()
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

    def release(self, connection: UpstreamConnection) -> None:
        """Return a connection to the pool, or close it if it cannot be reused."""
        if not connection.is_reusable:
            connection.close()
            return
        connection.forget_request()
        with self._lock:
            idle = self._idle.setdefault(connection.address, [])
            idle.append(connection)
            dropped = self._take_expired()
            if len(idle) > IDLE_PER_ADDRESS_MAX:
                dropped.append(idle.pop(0))
        for each in dropped:
            each.close()

    def _take_expired(self) -> list[UpstreamConnection]:
        """Remove the connections to all addresses that are no longer usable, once in a while.

        Nobody asks again for the address of an upstream that has left.
        """
        now_s = time.monotonic()
        if now_s - self._checked_at_s < EXPIRY_CHECK_S:
            return []
        self._checked_at_s = now_s
        unused_since_s = now_s - self._idle_limit_s
        expired: list[UpstreamConnection] = []
        for address, idle in list(self._idle.items()):
            while idle and idle[0].last_used_at_s < unused_since_s:
                expired.append(idle.pop(0))
            if not idle:
                del self._idle[address]
        return expired

    def drop_idle(self, address: Address) -> None:
        """Close the idle connections to an address."""
        with self._lock:
            dropped = self._idle.pop(address, [])
        for each in dropped:
            each.close()
