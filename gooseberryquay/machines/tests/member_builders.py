"""Builders of members, peers and upstreams."""

import random
import time

from result import Err

from gooseberryquay.contracts import Address
from gooseberryquay.contracts.upstream import UpstreamDeclaration
from gooseberryquay.ids import EntryId, Incarnation, ServiceId, UpstreamId, ZoneId
from gooseberryquay.links.http_client import TransportTimeout
from gooseberryquay.links.http_server import HttpServer, Router
from gooseberryquay.machines.control_budget import CONTROL_BYTES_PER_S, ControlBudget
from gooseberryquay.machines.member_timing import MembershipTiming
from gooseberryquay.machines.membership import Membership
from gooseberryquay.machines.peer import Peer
from gooseberryquay.machines.peer_connections import PeerConnections
from gooseberryquay.machines.suspect_list import SuspectList


def build_peer(name, port=1, incarnation=1):
    return Peer(
        id=EntryId(name),
        incarnation=Incarnation(incarnation),
        zone=ZoneId("sask-a"),
        control_address=Address("127.0.0.1", port),
    )


def build_declaration(name, port=1, checks_fencing=True):
    return UpstreamDeclaration(
        id=UpstreamId(name),
        service=ServiceId("yield-model"),
        zone=ZoneId("sask-a"),
        address=Address("127.0.0.1", port),
        checks_fencing=checks_fencing,
    )


FAST = MembershipTiming(
    period_s=0.1,
    probe_timeout_s=0.5,
    relay_timeout_s=1.5,
    suspicion_s=1.0,
    seed_period_s=0.5,
    pull_min_s=0.5,
)
WAIT_TIMEOUT_S = 40.0
# These members use periods ten times shorter than the default ones.
FAST_BYTES_PER_S = 10 * CONTROL_BYTES_PER_S


class PartitionablePeerLinks(PeerConnections):
    """Peer connections on which single addresses can be made unresponsive."""

    def __init__(self, budget=None):
        super().__init__(budget)
        self.cut = set()

    def send(self, to, method, path, body, timeout_s):
        if to in self.cut:
            return Err(TransportTimeout("cut", was_sent=True))
        return super().send(to, method, path, body, timeout_s)


class Member:
    """Membership of one entry with its control API, on threads of the test process."""

    def __init__(self, name, seeds=(), incarnation=1, **options):
        self.suspects = None
        options.setdefault("budget", ControlBudget(FAST_BYTES_PER_S))
        self.connections = PartitionablePeerLinks(options["budget"])
        self.router = Router()
        self.server = HttpServer("127.0.0.1", 0, self.router)
        self.server.start()
        self.peer = build_peer(name, self.server.port, incarnation)
        self.membership = Membership(
            self.peer,
            seeds=seeds,
            timing=FAST,
            rng=random.Random(name),
            connections=self.connections,
            **options,
        )
        self.membership.add_routes(self.router)
        self.membership.start()

    @property
    def address(self):
        return self.peer.control_address

    def names(self):
        return sorted(peer.id for peer in self.membership.live())

    def add_suspects(self, platform, crash_count_max=2, **options):
        self.suspects = SuspectList(
            self.membership,
            platform,
            crash_count_max=crash_count_max,
            rng=random.Random(self.peer.id),
            **options,
        )
        self.suspects.add_routes(self.router)
        self.suspects.start()
        return self.suspects

    def stop(self):
        if self.suspects is not None:
            self.suspects.stop()
        self.membership.stop()
        self.server.stop()


def wait_until(condition):
    deadline_s = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline_s, "condition did not hold before the timeout"
        time.sleep(0.05)
