"""Upstreams that follow a script, peers that carry requests, and an entry that is cut off."""

import random
import socket
import struct
import threading
import time
from dataclasses import dataclass, field

from gooseberryquay.contracts.fields import Address
from gooseberryquay.ids import EntryId, Incarnation, RequestId, ZoneId
from gooseberryquay.links.caller_watch import NullCallerWatch
from gooseberryquay.links.connection_pool import ConnectionPool
from gooseberryquay.links.http_server import HttpServer, Router
from gooseberryquay.links.tests.scripted_server import ScriptedServer
from gooseberryquay.machines.peer import Peer
from gooseberryquay.platform.http_upstream_client import HttpUpstreamClient
from gooseberryquay.serving.call import Call
from gooseberryquay.serving.decision_log import DecisionLog
from gooseberryquay.serving.drain_state import DrainState
from gooseberryquay.serving.ports import ProbeOutcome, SendOptions
from gooseberryquay.serving.reaching_client import ReachingClient
from gooseberryquay.serving.relay_peers import RelayPeers
from gooseberryquay.serving.request_counters import RequestCounters
from gooseberryquay.serving.room_gate import RoomGate
from gooseberryquay.serving.tests.builders import (
    build_entry_counter,
    build_record,
    build_registry,
)
from gooseberryquay.serving.upstream_load import LoadTable
from gooseberryquay.serving.upstream_reach import UpstreamReach
from gooseberryquay.serving.upstream_relay import UpstreamRelay
from gooseberryquay.serving.upstream_signals import UpstreamSignals

UPSTREAM = "app-0"
BODY = b"body"
TIMEOUT_S = 3.0
LINGER_RESET = struct.pack("ii", 1, 0)


class ScriptedUpstream(ScriptedServer):
    """Record the request of each connection, and let a script answer it."""

    def __init__(self, answer):
        self._answer = answer
        self.requests = []
        self.ended = threading.Event()
        super().__init__(self._serve)

    def _serve(self, connection, _number):
        received = b""
        # A connection that is closed with unread bytes is reset.
        while not received.endswith(b"\r\n\r\n" + BODY):
            received += connection.recv(65536)
        self.requests.append(received)
        self._answer(connection)
        connection.close()
        self.ended.set()


def reset(connection):
    """End a connection by a reset."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)


class _Guard:
    def upstream_alive(self, known):
        """Ignore the answer."""

    def upstream_ended(self, known, evidence):
        """Ignore the end."""


@dataclass
class CarryingPeer:
    """Serve the route for carried requests on a port of its own."""

    name: str
    upstream: Address
    drain_state: DrainState = field(default_factory=DrainState)

    def __post_init__(self):
        log, rng = DecisionLog(), random.Random(1)
        self.is_reached = True
        self.registry = build_registry([build_record(UPSTREAM, address=self.upstream)])
        self.reach = UpstreamReach(
            upstreams=lambda: [build_record("a"), build_record("b")],
            probe=self._probe,
            log=log,
            rng=rng,
        )
        self.counters = RequestCounters()
        pool = ConnectionPool(0.5, 4.0)
        self.relay = UpstreamRelay(
            registry=self.registry,
            links=HttpUpstreamClient(pool),
            signals=UpstreamSignals(
                self.registry,
                LoadTable(),
                RoomGate(self.registry, build_entry_counter()),
                _Guard(),
                log,
            ),
            reach=self.reach,
            drain_state=self.drain_state,
            counters=self.counters,
        )
        router = Router()
        self.relay.add_routes(router)
        self.server = HttpServer("127.0.0.1", 0, router)
        self.server.start()
        self.address = Address("127.0.0.1", self.server.port)

    def _probe(self, _upstream, _timeout_s):
        return ProbeOutcome.ANSWERED if self.is_reached else ProbeOutcome.UNOPENED

    def cut_off(self):
        """Let this peer find that it is cut off, too."""
        self.is_reached = False
        for upstream in ("a", "b"):
            self.reach.record_failure(upstream)
        self.reach.check()
        assert self.reach.is_cut_off

    def peer(self):
        """Return this entry as others know it."""
        return Peer(
            id=EntryId(self.name),
            incarnation=Incarnation(1),
            zone=ZoneId("zone-a"),
            control_address=self.address,
        )


class Members:
    """Provide the entry that is cut off, and its peers."""

    def __init__(self, peers):
        self._peers = peers

    def this_entry(self):
        """Return the entry that is cut off."""
        return Peer(
            id=EntryId("cut"),
            incarnation=Incarnation(1),
            zone=ZoneId("zone-a"),
            control_address=Address("127.0.0.1", 1),
        )

    def live(self):
        """Return this entry and its peers."""
        return (self.this_entry(), *(each.peer() for each in self._peers))


def build_cut_off_client(peers):
    """Build the client of an entry that reaches no upstream itself."""
    log, rng = DecisionLog(), random.Random(1)
    reach = UpstreamReach(
        upstreams=lambda: [build_record("a"), build_record("b")],
        probe=lambda _upstream, _timeout_s: ProbeOutcome.UNOPENED,
        log=log,
        rng=rng,
    )
    for upstream in ("a", "b"):
        reach.record_failure(upstream)
    reach.check()
    direct = HttpUpstreamClient(ConnectionPool(0.5, 4.0))
    return ReachingClient(direct, reach, RelayPeers(Members(peers), "zone-a", log, rng))


def open_call(client, upstream, caller=None, timeout_s=TIMEOUT_S):
    """Send one request to an upstream and wait for the head of its answer."""
    now_s = time.monotonic()
    call = Call(
        id=RequestId("r-1"),
        method="POST",
        target="/post/1?x=%2F",
        host="site.example",
        path="/post/1",
        key=None,
        headers=(("x-attempt-id", "r-1"), ("x-own", "a, b")),
        body=BODY,
        arrived_at_s=now_s,
        deadline_at_s=now_s + timeout_s,
        resume_after=None,
        demand=None,
    )
    record = build_record(UPSTREAM, address=upstream)
    options = SendOptions(workspace=None, until_s=now_s + timeout_s)
    return client.open(record, call, options, caller or NullCallerWatch())
