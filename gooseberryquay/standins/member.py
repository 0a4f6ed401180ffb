"""Stand-in for an entry that takes part only in membership."""

import resource
import time

from pydantic import BaseModel

from gooseberryquay.contracts.fields import Address
from gooseberryquay.ids import EntryId, Incarnation, ZoneId
from gooseberryquay.links.http_server import HttpServer, Request, Response
from gooseberryquay.links.platform_client import PlatformClient
from gooseberryquay.machines.control_budget import ControlBudget
from gooseberryquay.machines.control_meter import MeteredRouter
from gooseberryquay.machines.member_directory import InstanceDirectory
from gooseberryquay.machines.member_timing import MembershipTiming
from gooseberryquay.machines.membership import Membership
from gooseberryquay.machines.peer import Peer
from gooseberryquay.standins.byte_count import ByteCount

__all__ = ["COST_PATH", "REPORT_PATH", "MemberCost", "MemberReport", "MemberStandIn"]

REPORT_PATH = "/report"
COST_PATH = "/cost"


class MemberReport(BaseModel):
    """Peers that a member considers live."""

    live: tuple[Peer, ...]


class MemberCost(BaseModel):
    """Resources that a member has used since its start."""

    sent_bytes: int
    received_bytes: int
    processor_s: float
    resident_kib: int


class MemberStandIn:
    """Serve a control API with membership and reports; port 0 selects a free port."""

    def __init__(
        self,
        entry: EntryId,
        address: Address,
        *,
        seeds: tuple[Address, ...],
        directory: InstanceDirectory | None,
        timing: MembershipTiming,
        budget: ControlBudget,
    ) -> None:
        self._bytes = ByteCount()
        self._bytes.install()
        self._router = MeteredRouter(budget)
        self._router.add("GET", REPORT_PATH, self._report)
        self._router.add("GET", COST_PATH, self._cost)
        self._server = HttpServer(address.host, address.port, self._router)
        self._server.start()
        this_entry = Peer(
            id=entry,
            incarnation=Incarnation(time.time_ns() // 1_000_000),
            zone=ZoneId("zone"),
            control_address=Address(address.host, self._server.port),
        )
        self._membership = Membership(
            this_entry, seeds=seeds, platform=directory, timing=timing, budget=budget
        )
        self._membership.add_routes(self._router)

    def start(self) -> None:
        """Join the membership."""
        self._membership.start()

    def stop(self) -> None:
        """Announce the leave and stop."""
        self._membership.announce_leave()
        self._membership.stop()
        self._server.stop()

    @property
    def port(self) -> int:
        """Return the bound TCP port."""
        return self._server.port

    def _report(self, _request: Request) -> Response:
        return Response.of(MemberReport(live=self._membership.live()))

    def _cost(self, _request: Request) -> Response:
        used = resource.getrusage(resource.RUSAGE_SELF)
        return Response.of(
            MemberCost(
                sent_bytes=self._bytes.sent_bytes,
                received_bytes=self._bytes.received_bytes,
                processor_s=used.ru_utime + used.ru_stime,
                resident_kib=used.ru_maxrss,
            )
        )


def platform_directory(address: Address | None) -> InstanceDirectory | None:
    """Return the platform's instance directory, or None without an address."""
    return None if address is None else PlatformClient(address)
