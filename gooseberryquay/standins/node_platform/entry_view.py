"""What one entry sees of a site: the store, and upstreams behind links of the entry's own."""

import json
import threading
from enum import Enum
from typing import Any

from gooseberryquay.contracts.fields import Address, parse_address
from gooseberryquay.links.http_server import HttpServer, Request, Response
from gooseberryquay.standins.fault_proxy import FaultProxy
from gooseberryquay.standins.node_platform.store import ObjectStore
from gooseberryquay.standins.proxy_messages import (
    HangConnections,
    HealLink,
    ProxyFault,
    RefuseConnections,
    ResetConnections,
    ResetRequests,
    StallBytes,
)

__all__ = ["CutManner", "EntryView"]

UPSTREAM_KIND = "servers"


class CutManner(Enum):
    """Manner in which an entry is cut off from all upstreams."""

    # Open connections carry no bytes, and new ones hang.
    HANG = "hang"
    # Open connections are reset, and new ones refused.
    RESET = "reset"
    # Open connections live on, and new ones are refused.
    REFUSE_NEW = "refuse new"
    # New connections are accepted, and none carries bytes.
    ACCEPT_SILENT = "accept, stay silent"
    # New connections are accepted, and each one is reset at the bytes of a request.
    ACCEPT_RESET = "accept, reset"

    @property
    def faults(self) -> tuple[ProxyFault, ...]:
        """Return the faults of each link."""
        match self:
            case CutManner.HANG:
                return StallBytes(), HangConnections()
            case CutManner.RESET:
                return RefuseConnections(), ResetConnections()
            case CutManner.REFUSE_NEW:
                return (RefuseConnections(),)
            case CutManner.ACCEPT_SILENT:
                return (StallBytes(),)
            case CutManner.ACCEPT_RESET:
                return (ResetRequests(),)


class EntryView:
    """Serve the store to one entry, with each upstream at the address of a link of its own."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store
        self._links: dict[Address, FaultProxy] = {}
        self._manner: CutManner | None = None
        self._lock = threading.Lock()
        self._server = HttpServer("127.0.0.1", 0, store.build_router(self._rewritten))

    def start(self) -> None:
        """Start serving in the background."""
        self._server.start()

    def stop(self) -> None:
        """Stop serving, and end all links."""
        self.heal()
        for each in self._links.values():
            each.stop()
        threading.Thread(target=self._server.stop, daemon=True).start()

    @property
    def port(self) -> int:
        """Return the TCP port of this view of the store."""
        return self._server.port

    def cut(self, manner: CutManner) -> None:
        """Cut the entry off from all upstreams, also from those that it has not seen yet."""
        with self._lock:
            self._manner = manner
            links = list(self._links.values())
        for link in links:
            for fault in manner.faults:
                link.apply_fault(fault)

    def heal(self) -> None:
        """End the cut."""
        with self._lock:
            self._manner = None
            links = list(self._links.values())
        for link in links:
            link.apply_fault(HealLink())

    def port_of_link(self, port: int) -> int:
        """Return the port at which this entry reaches what listens at a port of this machine."""
        return self._link_to(Address("127.0.0.1", port)).port

    def apply_fault(self, upstream: Address, fault: ProxyFault) -> None:
        """Inject a fault into the link to one upstream."""
        self._link_to(upstream).apply_fault(fault)

    def connection_count(self) -> int:
        """Return how many connections to upstreams this entry has opened."""
        return sum(each.counts().connections for each in self._links.values())

    def _rewritten(self, request: Request, response: Response) -> Response:
        if request.path_values.get("kind") != UPSTREAM_KIND or request.method != "GET":
            return response
        if not isinstance(response.body, bytes) or response.status != 200:
            return response
        document = json.loads(response.body)
        for each in document.get("items", ()):
            self._relink(each)
        for each in document.get("events", ()):
            self._relink(each["object"])
        return Response(body=json.dumps(document).encode(), headers=response.headers)

    def _relink(self, stored: dict[str, Any]) -> None:
        try:
            address = parse_address(stored["spec"]["address"])
        except (KeyError, TypeError, ValueError):
            return
        stored["spec"] = {**stored["spec"], "address": f"127.0.0.1:{self._link_to(address).port}"}

    def _link_to(self, address: Address) -> FaultProxy:
        with self._lock:
            link = self._links.get(address)
            if link is None:
                link = self._links[address] = FaultProxy(address, breaks_by_reset=True)
                link.start()
                for fault in self._manner.faults if self._manner is not None else ():
                    link.apply_fault(fault)
            return link
