"""TCP proxy that delays, stalls, discards, closes, resets and refuses on request."""

import contextlib
import socket
import threading
from collections.abc import Callable

from pydantic import ValidationError

from gooseberryquay.contracts.fields import Address
from gooseberryquay.links.http_server import HttpServer, Request, Response, Router
from gooseberryquay.standins.proxied_connection import LinkFaults, ProxiedConnection
from gooseberryquay.standins.proxy_messages import (
    CutConnections,
    DelayBytes,
    Direction,
    HangConnections,
    HealLink,
    LoseAnswers,
    ProxyCounts,
    ProxyFault,
    RefuseConnections,
    ResetConnections,
    ResetRequests,
    SilenceConnections,
    StallBytes,
    parse_proxy_fault,
)

__all__ = ["FaultProxy", "FaultProxyServer"]

LISTEN_BACKLOG = 1024
# They fill a queue of length 0, after which the system drops further requests to connect.
FILLER_CONNECTIONS = 2
CONNECT_TIMEOUT_S = 5.0


class FaultProxy:
    """Proxy between callers and one target, with injected faults.

    `on_forwarded` is called with the direction and the bytes after each write. With
    `breaks_by_reset`, a connection ends in an orderly way only if one of its sides closes it so.
    """

    def __init__(
        self,
        target: Address,
        host: str = "127.0.0.1",
        port: int = 0,
        on_forwarded: Callable[[Direction, bytes], None] | None = None,
        *,
        breaks_by_reset: bool = False,
    ) -> None:
        self._target = target
        self._breaks_by_reset = breaks_by_reset
        self._on_forwarded = on_forwarded
        self._address = (host, port)
        self._state = LinkFaults()
        self._lock = threading.Lock()
        self._connections: set[ProxiedConnection] = set()
        self._counts = ProxyCounts()
        self._listener: socket.socket | None = None
        # A listener that nobody accepts from, and the connections that fill its queue.
        self._hanging: list[socket.socket] = []
        self._port_holder: socket.socket | None = None

    def start(self) -> None:
        """Bind the address and forward connections in background threads."""
        listener = self._bind(LISTEN_BACKLOG)
        self._listener = listener
        threading.Thread(target=self._accept, args=(listener,), daemon=True).start()

    def _bind(self, backlog: int) -> socket.socket:
        if self._address[1] == 0:
            # A listener keeps a port beyond its shutdown only if it was bound to it by number.
            self._port_holder = self._bound_socket()
            self._address = self._port_holder.getsockname()
        listener = self._bound_socket()
        self._release_port()
        listener.listen(backlog)
        return listener

    def _bound_socket(self) -> socket.socket:
        bound = socket.socket()
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind(self._address)
        return bound

    def stop(self) -> None:
        """Close the listening socket and every connection."""
        self._refuse()
        self._end_hang()
        self._release_port()
        self._state.heal()
        self.apply_fault(CutConnections())

    @property
    def port(self) -> int:
        """Return the bound TCP port."""
        return self._address[1]

    def counts(self) -> ProxyCounts:
        """Return the counts of connections and bytes."""
        with self._lock:
            open_connections = len(self._connections)
            return self._counts.model_copy(update={"open_connections": open_connections})

    def apply_fault(self, fault: ProxyFault) -> None:
        """Inject a fault, or heal the link with `HealLink`."""
        match fault:
            case DelayBytes(delay_s=delay_s, direction=direction):
                self._state.delay(direction, delay_s)
            case StallBytes(direction=direction):
                self._state.stall(direction)
            case SilenceConnections(direction=direction):
                for connection in self._open_connections():
                    connection.silence(direction)
            case CutConnections():
                self._end_connections(is_reset=self._breaks_by_reset)
            case ResetConnections():
                self._end_connections(is_reset=True)
            case RefuseConnections():
                self._refuse()
            case HangConnections():
                self._hang()
            case LoseAnswers():
                self._state.drops_responses = True
            case ResetRequests():
                self._state.resets_requests = True
            case HealLink():
                self._heal()

    def _heal(self) -> None:
        self._state.heal()
        if self._listener is None:
            self._end_hang()
            self.start()

    def _hang(self) -> None:
        self._refuse()
        self._hanging = [self._bind(0)]
        for _ in range(FILLER_CONNECTIONS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self._address)
            self._hanging.append(filler)

    def _end_hang(self) -> None:
        if self._hanging:
            listener, *fillers = self._hanging
            self._close_listener(listener)
            for each in fillers:
                each.close()
        self._hanging = []

    def _open_connections(self) -> tuple[ProxiedConnection, ...]:
        with self._lock:
            return tuple(self._connections)

    def _end_connections(self, is_reset: bool) -> None:
        connections = self._open_connections()
        for connection in connections:
            connection.end(is_reset)
        for connection in connections:
            connection.wait_until_ended()

    def _refuse(self) -> None:
        listener, self._listener = self._listener, None
        if listener is not None:
            self._close_listener(listener)

    def _close_listener(self, listener: socket.socket) -> None:
        """Refuse connections, and keep the port from other sockets until the link is healed."""
        # A blocked accept keeps the port open until a shutdown wakes it.
        with contextlib.suppress(OSError):
            listener.shutdown(socket.SHUT_RDWR)
        self._port_holder = self._bound_socket()
        listener.close()

    def _release_port(self) -> None:
        holder, self._port_holder = self._port_holder, None
        if holder is not None:
            holder.close()

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                caller, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=self._connect, args=(caller,), daemon=True).start()

    def _connect(self, caller: socket.socket) -> None:
        try:
            target = socket.create_connection(self._target, CONNECT_TIMEOUT_S)
        except OSError:
            caller.close()
            return
        target.settimeout(None)
        connection = ProxiedConnection(
            caller,
            target,
            self._state,
            self._record_forwarded,
            self._remove,
            breaks_by_reset=self._breaks_by_reset,
        )
        with self._lock:
            self._connections.add(connection)
            self._counts.connections += 1
        connection.start()

    def _remove(self, connection: ProxiedConnection) -> None:
        with self._lock:
            self._connections.discard(connection)

    def _record_forwarded(self, direction: Direction, content: bytes) -> None:
        with self._lock:
            if direction is Direction.TO_TARGET:
                self._counts.bytes_to_target += len(content)
            else:
                self._counts.bytes_to_caller += len(content)
        if self._on_forwarded is not None:
            self._on_forwarded(direction, content)


class FaultProxyServer:
    """Serve a fault proxy and its control API."""

    def __init__(self, proxy: FaultProxy, host: str, control_port: int) -> None:
        self._proxy = proxy
        router = Router()
        router.add("POST", "/standin/faults", self._fault)
        router.add("GET", "/standin/counts", self._count)
        self._control = HttpServer(host, control_port, router)

    def start(self) -> None:
        """Start the proxy and its control API, and print the control port."""
        self._control.start()
        self._proxy.start()
        print(f"control on port {self.control_port}", flush=True)

    def stop(self) -> None:
        """Stop the proxy and its control API."""
        self._proxy.stop()
        self._control.stop()

    @property
    def port(self) -> int:
        """Return the proxy's bound TCP port."""
        return self._proxy.port

    @property
    def control_port(self) -> int:
        """Return the control API's bound TCP port."""
        return self._control.port

    def _fault(self, request: Request) -> Response:
        try:
            fault = parse_proxy_fault(request.body)
        except ValidationError:
            return Response(status=400)
        self._proxy.apply_fault(fault)
        return Response(body=b"{}")

    def _count(self, _request: Request) -> Response:
        return Response.of(self._proxy.counts())
