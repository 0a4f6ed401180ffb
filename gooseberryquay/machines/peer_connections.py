"""Connection pools to the control APIs of other entries."""

import threading
import time
from collections.abc import Mapping
from dataclasses import dataclass

from result import Err, Ok, Result
from urllib3.util import SKIP_HEADER

from gooseberryquay.contracts.fields import Address
from gooseberryquay.links.http_client import HttpClient, Reply, TransportFailure, TransportTimeout
from gooseberryquay.machines.control_budget import ControlBudget
from gooseberryquay.machines.control_meter import count_exchange

__all__ = ["PeerConnections"]

MAX_IDLE_S = 20.0
CONNECT_TIMEOUT_S = 0.5
SHORT_HEADERS: Mapping[str, str] = {"User-Agent": SKIP_HEADER, "Accept-Encoding": SKIP_HEADER}


@dataclass
class _PooledClient:
    client: HttpClient
    used_at_s: float


class PeerConnections:
    """Send to each address through its own pool; replace a pool after a timeout."""

    def __init__(self, budget: ControlBudget | None = None) -> None:
        self._budget = budget or ControlBudget()
        self._clients: dict[Address, _PooledClient] = {}
        self._lock = threading.Lock()

    def send(
        self, to: Address, method: str, path: str, body: bytes, timeout_s: float
    ) -> Result[Reply, TransportFailure]:
        """Send one request; `timeout_s` bounds connecting and each read."""
        client = self._client_for(to, timeout_s)
        sent = client.send(method, path, body, SHORT_HEADERS, read_timeout_s=timeout_s)
        match sent:
            case Ok(reply):
                count_exchange(self._budget, path, body, reply)
            case Err(failure):
                count_exchange(self._budget, path, body, None)
                if isinstance(failure, TransportTimeout):
                    self._drop(to, client)
        return sent

    def close_idle(self) -> None:
        """Close the connections to addresses not used for `MAX_IDLE_S`."""
        oldest_s = time.monotonic() - MAX_IDLE_S
        with self._lock:
            idle = [to for to, pooled in self._clients.items() if pooled.used_at_s < oldest_s]
            pooled_clients = [self._clients.pop(to) for to in idle]
        for pooled in pooled_clients:
            pooled.client.close()

    def close(self) -> None:
        """Close all connections."""
        with self._lock:
            pooled_clients = list(self._clients.values())
            self._clients.clear()
        for pooled in pooled_clients:
            pooled.client.close()

    def _client_for(self, to: Address, timeout_s: float) -> HttpClient:
        now_s = time.monotonic()
        with self._lock:
            pooled = self._clients.get(to)
            if pooled is None:
                connect_s = min(timeout_s, CONNECT_TIMEOUT_S)
                pooled = _PooledClient(HttpClient(to.host, to.port, connect_s), now_s)
                self._clients[to] = pooled
            pooled.used_at_s = now_s
            return pooled.client

    def _drop(self, to: Address, client: HttpClient) -> None:
        with self._lock:
            pooled = self._clients.get(to)
            if pooled is not None and pooled.client is client:
                del self._clients[to]
        client.close()
