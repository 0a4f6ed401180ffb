"""Links to the upstreams of the configuration, made when first needed."""

import threading
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

from gooseberryquay.contracts.fields import Address
from gooseberryquay.contracts.upstream import UpstreamDeclaration
from gooseberryquay.ids import UpstreamId
from gooseberryquay.zones.configuration import Configuration

__all__ = ["ClosableLink", "UpstreamClientPool"]


class ClosableLink(Protocol):
    """Close all kept connections of a link."""

    def close(self) -> None:
        """Close them."""


LinkT = TypeVar("LinkT", bound=ClosableLink)


class UpstreamClientPool(Generic[LinkT]):
    """Keep one link for each declared upstream, and replace it when its address changes."""

    def __init__(
        self,
        configuration: Callable[[], Configuration],
        make_link: Callable[[UpstreamDeclaration], LinkT],
    ) -> None:
        self._configuration = configuration
        self._make_link = make_link
        self._lock = threading.Lock()
        self._links: dict[UpstreamId, tuple[Address, LinkT]] = {}

    def client_for(self, upstream: UpstreamId) -> LinkT | None:
        """Give the link to an upstream, or None where it is not declared."""
        declaration = self._configuration().declaration.upstreams.get(upstream)
        if declaration is None:
            return None
        with self._lock:
            kept = self._links.get(upstream)
            if kept is not None and kept[0] == declaration.address:
                return kept[1]
            link = self._make_link(declaration)
            self._links[upstream] = (declaration.address, link)
        if kept is not None:
            kept[1].close()
        return link
