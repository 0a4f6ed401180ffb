from gooseberryquay.contracts import (
    Address,
    Declaration,
    Service,
    ServiceKind,
    Site,
    UpstreamDeclaration,
    Workspace,
)
from gooseberryquay.ids import ServiceId, SiteId, UpstreamId, WorkspaceId, ZoneId
from gooseberryquay.zones.configuration_change import SetUpstreamOrder, SetZoneState
from gooseberryquay.zones.zone_state import UpstreamOrder, ZoneState

HOST = "127.0.0.1"
LONG_TIMEOUT_S = 20.0
ENTRY_NAMES = tuple(f"entry-{index}" for index in range(8))
YIELD_MODEL = ServiceId("yield-model")
ZONES = ("sask-a", "sask-b", "sask-c")

BASE_INI = """
[service:yield-model]
kind = model
[site:sask-central]
zones = sask-a, sask-b, sask-c
[workspace:clerks]
[upstream:yield-0]
service = yield-model
zone = sask-a
address = 127.0.0.1:9000
"""


def make_upstream(name, zone="sask-a", port=9000, service=YIELD_MODEL):
    address = Address(HOST, port)
    return UpstreamDeclaration(
        id=UpstreamId(name), service=service, zone=ZoneId(zone), address=address
    )


def make_declaration(upstream_count=3):
    upstreams = [
        make_upstream(f"yield-{index}", ZONES[index % 3], 9000 + index % 1000)
        for index in range(upstream_count)
    ]
    return Declaration(
        services={YIELD_MODEL: Service(id=YIELD_MODEL, kind=ServiceKind.MODEL)},
        sites={SiteId("sask-central"): Site(id=SiteId("sask-central"), zones=ZONES)},
        workspaces={WorkspaceId("clerks"): Workspace(id=WorkspaceId("clerks"))},
        upstreams={each.id: each for each in upstreams},
    )


def zone_out(*zones):
    return SetZoneState(zones=zones or ("sask-a",), state=ZoneState.OUT)


def zone_back(*zones):
    return SetZoneState(zones=zones or ("sask-a",), state=ZoneState.IN)


def drain(*upstreams):
    return SetUpstreamOrder(upstreams=upstreams, order=UpstreamOrder.DRAIN)
