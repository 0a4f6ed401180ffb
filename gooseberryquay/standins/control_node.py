"""Stand-in for an entry that carries only control traffic and counts its bytes."""

from pydantic import BaseModel

from gooseberryquay.contracts.declaration import Declaration
from gooseberryquay.contracts.fields import Address
from gooseberryquay.contracts.service import Service, ServiceKind
from gooseberryquay.contracts.settings import EntrySettings, PlatformSettings, Settings
from gooseberryquay.contracts.site import Site
from gooseberryquay.contracts.upstream import UpstreamDeclaration
from gooseberryquay.daemons.cluster import Cluster
from gooseberryquay.daemons.dispatching import Dispatching
from gooseberryquay.ids import EntryId, ServiceId, SiteId, UpstreamId, ZoneId
from gooseberryquay.links.http_server import HttpServer, Request, Response
from gooseberryquay.machines.control_meter import MeteredRouter
from gooseberryquay.standins.byte_count import ByteCount

__all__ = ["CONTROL_COST_PATH", "CONTROL_ZONE", "ControlCost", "ControlNode"]

CONTROL_COST_PATH = "/cost"
CONTROL_ZONE = ZoneId("zone")
HOST = "127.0.0.1"
UPSTREAMS = 12


class ControlCost(BaseModel):
    """Bytes that a node sent and received since its start, and its current view."""

    total_bytes: int
    peers: int
    revision: int
    is_fresh: bool


class ControlNode:
    """Run membership, configuration, crash suspects and load polling, as an entry does."""

    def __init__(
        self,
        entry: EntryId,
        port: int,
        *,
        seed_ports: tuple[int, ...],
        platform_port: int,
        load_port: int,
    ) -> None:
        self._bytes = ByteCount()
        self._bytes.install()
        own = _entry(entry, port)
        seeds = [_entry(EntryId(f"seed-{each}"), each) for each in seed_ports if each != port]
        settings = Settings(
            declaration=_declaration(load_port), entries={each.id: each for each in (own, *seeds)}
        )
        platform = PlatformSettings(address=Address(HOST, platform_port))
        self._cluster = Cluster(settings, own, platform)
        self._dispatching = Dispatching(settings, self._cluster)
        router = MeteredRouter(self._cluster.budget)
        router.add("GET", CONTROL_COST_PATH, self._cost)
        self._cluster.add_routes(router)
        self._dispatching.add_routes(router)
        self._server = HttpServer(HOST, port, router)

    @property
    def port(self) -> int:
        """Return the bound TCP port."""
        return self._server.port

    def start(self) -> None:
        """Start the server and join the cluster."""
        self._server.start()
        self._cluster.start()
        self._dispatching.start()

    def stop(self) -> None:
        """Announce the leave and stop."""
        self._cluster.membership.announce_leave()
        self._dispatching.stop()
        self._cluster.stop()
        self._server.stop()

    def _cost(self, _request: Request) -> Response:
        return Response.of(
            ControlCost(
                total_bytes=self._bytes.sent_bytes + self._bytes.received_bytes,
                peers=self._cluster.entry_count(),
                revision=self._cluster.configuration_sync.revision(),
                is_fresh=self._cluster.configuration_sync.is_fresh(),
            )
        )


def _entry(name: EntryId, port: int) -> EntrySettings:
    address = Address(HOST, port)
    return EntrySettings(id=name, zone=CONTROL_ZONE, address=address, control_address=address)


def _declaration(load_port: int) -> Declaration:
    service = Service(id=ServiceId("model"), kind=ServiceKind.MODEL)
    site = Site(id=SiteId("site"), zones=(CONTROL_ZONE,))
    upstreams = [
        UpstreamDeclaration(
            id=UpstreamId(f"engine-{index}"),
            service=service.id,
            zone=CONTROL_ZONE,
            address=Address(HOST, load_port),
        )
        for index in range(UPSTREAMS)
    ]
    return Declaration(
        services={service.id: service},
        sites={site.id: site},
        upstreams={each.id: each for each in upstreams},
    )
