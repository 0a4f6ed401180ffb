"""HTTP exchange that is repeated on new connections while no attempt is answered."""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from gooseberryquay.contracts.fields import Address
from gooseberryquay.links.connection_pool import ConnectionPool
from gooseberryquay.links.exchange import (
    BufferedReply,
    BufferedRequest,
    Interrupt,
    begin_exchange,
    exchange,
    finish_exchange,
)
from gooseberryquay.links.transport_failure import TransportFailure, TransportTimeout
from gooseberryquay.links.upstream_connection import CallerLeft

__all__ = ["Hedge", "HedgedClient"]


@dataclass(frozen=True, slots=True)
class Hedge:
    """Configure the further attempts of an exchange.

    `request` is sent on a new connection after `first_after_s`, and again each `interval_s`, which
    also bounds how long a connection may take to open.
    """

    request: BufferedRequest
    first_after_s: float
    interval_s: float


class HedgedClient:
    """Exchange requests that may be repeated with one server, one at a time.

    A connection may be silent for good while new ones work, and a server that was silent does not
    answer what it received before. `on_silence` is called when a further attempt was answered and
    the first one was not.
    """

    def __init__(
        self, pool: ConnectionPool, address: Address, on_silence: Callable[[], None]
    ) -> None:
        self._pool = pool
        self._address = address
        self._on_silence = on_silence
        self._interrupt = Interrupt()

    def interrupt(self) -> None:
        """End the exchange in progress, or else the next one, with `CallerLeft`."""
        self._interrupt.set()

    def exchange(
        self, request: BufferedRequest, until_s: float, hedge: Hedge
    ) -> Result[BufferedReply, TransportFailure | CallerLeft]:
        """Send a request, and send it again while no attempt is answered."""
        hedges = _Hedges(self._pool, self._address, hedge.request, until_s, self._interrupt)
        began_at_s = time.monotonic()
        hedge_at_s = began_at_s + hedge.first_after_s
        begun = begin_exchange(
            self._pool, self._address, request, began_at_s + hedge.interval_s, until_s
        )
        if isinstance(begun, Err):
            return begun
        connection = begun.ok_value
        while True:
            match connection.read_head(self._interrupt, min(hedge_at_s, until_s)):
                case Ok(head):
                    hedges.end()
                    return finish_exchange(self._pool, connection, head, until_s)
                case Err(TransportTimeout()) if time.monotonic() < until_s:
                    hedges.start_another()
                    hedge_at_s += hedge.interval_s
                case Err(failure):
                    connection.close()
                    return self._end(hedges, failure)

    def _end(
        self, hedges: "_Hedges", failure: TransportFailure | CallerLeft
    ) -> Result[BufferedReply, TransportFailure | CallerLeft]:
        reply = hedges.end()
        if isinstance(failure, CallerLeft):
            self._interrupt.clear()
        if reply is None:
            return Err(failure)
        self._on_silence()
        return Ok(reply)


class _Hedges:
    """Further attempts of one exchange, each in a thread; the first reply counts."""

    def __init__(
        self,
        pool: ConnectionPool,
        address: Address,
        request: BufferedRequest,
        until_s: float,
        interrupt: Interrupt,
    ) -> None:
        self._pool = pool
        self._address = address
        self._request = request
        self._until_s = until_s
        self._interrupt = interrupt
        self._reply: BufferedReply | None = None
        self._has_ended = False
        self._lock = threading.Lock()

    def start_another(self) -> None:
        """Send the request once more."""
        # Idle connections may be as silent as the one in use.
        self._pool.drop_idle(self._address)
        threading.Thread(target=self._attempt, name="hedge", daemon=True).start()

    def end(self) -> BufferedReply | None:
        """Ignore all further replies; return the first one, if there was one."""
        with self._lock:
            self._has_ended = True
            if self._reply is not None:
                self._interrupt.clear()
            return self._reply

    def _attempt(self) -> None:
        replied = exchange(self._pool, self._address, self._request, self._until_s)
        with self._lock:
            if isinstance(replied, Ok) and self._reply is None and not self._has_ended:
                self._reply = replied.ok_value
                self._interrupt.set()
