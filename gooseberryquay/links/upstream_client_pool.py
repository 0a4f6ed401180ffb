"""Clients of the configured upstreams, created on first use."""

import threading
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

from gooseberryquay.contracts.fields import Address
from gooseberryquay.contracts.upstream import UpstreamDeclaration
from gooseberryquay.ids import UpstreamId
from gooseberryquay.zones.configuration import Configuration

__all__ = ["ClosableClient", "UpstreamClientPool"]


class ClosableClient(Protocol):
    """Describe a client that can be closed."""

    def close(self) -> None:
        """Close all pooled connections."""


ClientT = TypeVar("ClientT", bound=ClosableClient)


class UpstreamClientPool(Generic[ClientT]):
    """Cache one client for each declared upstream; replace it when the address changes."""

    def __init__(
        self,
        configuration: Callable[[], Configuration],
        make_client: Callable[[UpstreamDeclaration], ClientT],
    ) -> None:
        self._configuration = configuration
        self._make_client = make_client
        self._lock = threading.Lock()
        self._clients: dict[UpstreamId, tuple[Address, ClientT]] = {}

    def client_for(self, upstream: UpstreamId) -> ClientT | None:
        """Return the client of an upstream, or None if it is not declared."""
        declaration = self._configuration().declaration.upstreams.get(upstream)
        if declaration is None:
            return None
        with self._lock:
            cached = self._clients.get(upstream)
            if cached is not None and cached[0] == declaration.address:
                return cached[1]
            client = self._make_client(declaration)
            self._clients[upstream] = (declaration.address, client)
        if cached is not None:
            cached[1].close()
        return client
