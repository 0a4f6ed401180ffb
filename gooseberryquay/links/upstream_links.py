"""Links to all upstreams of the configuration, made when first needed."""

import threading
from collections.abc import Callable

from gooseberryquay.contracts.fields import Address
from gooseberryquay.ids import UpstreamId
from gooseberryquay.links.engine_link import EngineLink
from gooseberryquay.zones.configuration import Configuration

__all__ = ["EngineLinks"]


class EngineLinks:
    """Keep one link for each declared engine, and replace it when its address changes."""

    def __init__(self, configuration: Callable[[], Configuration]) -> None:
        self._configuration = configuration
        self._lock = threading.Lock()
        self._links: dict[UpstreamId, tuple[Address, EngineLink]] = {}

    def link_to(self, upstream: UpstreamId) -> EngineLink | None:
        """Give the link to an upstream, or None where it is not declared."""
        declaration = self._configuration().declaration.upstreams.get(upstream)
        if declaration is None:
            return None
        with self._lock:
            kept = self._links.get(upstream)
            if kept is not None and kept[0] == declaration.address:
                return kept[1]
            link = EngineLink(declaration)
            self._links[upstream] = (declaration.address, link)
            return link
