"""Builders and test doubles for the tests of at-most-once execution."""

import threading
import time
import uuid
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from result import Err, Ok

from gooseberryquay.contracts import Address
from gooseberryquay.ids import EntryId, Incarnation, ZoneId
from gooseberryquay.links.dispatch_outcome import UpstreamResponse
from gooseberryquay.links.http_client import ConnectionBroken, HttpClient
from gooseberryquay.links.http_server import HttpServer, Router
from gooseberryquay.links.platform_client import OutcomeUnknown, PlatformClient, PlatformUnreachable
from gooseberryquay.machines.peer import Peer
from gooseberryquay.postings import Posting, PostingExecutor, PostingSettings
from gooseberryquay.postings.records import Claimed, Released
from gooseberryquay.postings.sharded_claim_registry import ShardedClaimRegistry
from gooseberryquay.standins.platform import PlatformStandIn

TIMEOUT_S = 20.0


def build_key(age_s=0.0, rng=None):
    """Build a UUIDv7 key that was created some seconds ago."""
    bits = rng.getrandbits(74) if rng else uuid.uuid4().int >> 54
    time_ms = int((time.time() - age_s) * 1000)
    high, low = bits >> 62, bits & ((1 << 62) - 1)
    return str(uuid.UUID(int=time_ms << 80 | 7 << 76 | (high & 0xFFF) << 64 | 2 << 62 | low))


def build_posting(key=None, body=b"{}", timeout_s=TIMEOUT_S, after_response=None, **fields):
    """Build a posting; by default its `after_response` runs the action immediately."""
    return Posting(
        workspace="plant-1",
        service="ledger-app",
        operation="post-weight",
        key=key or build_key(),
        body=body,
        deadline_at_s=time.monotonic() + timeout_s,
        after_response=after_response or (lambda action: action()),
        **fields,
    )


def build_settings(**fields):
    defaults = {
        "write_interval_s": 0.0,
        # With a clock skew, entries that have just started could not rule out earlier runs.
        "clock_skew_s": 0.0,
        "claim_timeout_s": TIMEOUT_S,
        "record_timeout_s": TIMEOUT_S,
        "witness_timeout_s": TIMEOUT_S,
    }
    return PostingSettings(**(defaults | fields))


class FixedPeers:
    """Peers from a fixed list, without a membership protocol."""

    def __init__(self, this_entry, live):
        self._this_entry, self.all_live = this_entry, live
        self._clients = {}

    def this_entry(self):
        return self._this_entry

    def live(self):
        return tuple(self.all_live)

    def send(self, to, path, message, timeout_s):
        if to.control_address.port == 0:
            return Err(ConnectionBroken("no such peer", was_sent=False))
        client = self._clients.setdefault(to.id, HttpClient(*to.control_address, TIMEOUT_S))
        return client.send("POST", path, message.model_dump_json().encode(), None, timeout_s)


def build_peer(name, port=0):
    return Peer(
        id=EntryId(name),
        incarnation=Incarnation(1),
        zone=ZoneId("sask-a"),
        control_address=Address("127.0.0.1", port),
    )


class FaultyPlatform(PlatformClient):
    """Platform client with fault injection."""

    def __init__(self, port):
        super().__init__(Address("127.0.0.1", port))
        self.is_unreachable = False
        self.is_read_only = False
        self.lost_reply_count = 0
        self.delayed_write = None
        self.delays_next_write = False
        self.write_count = 0

    def read(self, key):
        if self.is_unreachable:
            return Err(PlatformUnreachable("outage"))
        return super().read(key)

    def write(self, key, value, expected_version=None):
        if self.is_unreachable or self.is_read_only:
            return Err(PlatformUnreachable("outage"))
        if self.delays_next_write:
            self.delays_next_write = False
            self.is_unreachable = True
            self.delayed_write = (key, value, expected_version)
            return Err(OutcomeUnknown("held back"))
        self.write_count += 1
        written = super().write(key, value, expected_version)
        if self.lost_reply_count and isinstance(written, Ok):
            self.lost_reply_count -= 1
            return Err(OutcomeUnknown("answer lost"))
        return written

    def apply_delayed_write(self):
        return super().write(*self.delayed_write)


class Fleet:
    """A platform stand-in and executors in one process, each with its own client and peers."""

    def __init__(self, count, **settings):
        self.settings = build_settings(**settings)
        self.platform = PlatformStandIn()
        self.platform.start()
        routers = [Router() for _ in range(count)]
        self.servers = [HttpServer("127.0.0.1", 0, router) for router in routers]
        for server in self.servers:
            server.start()
        self.members = [build_peer(f"entry-{n}", s.port) for n, s in enumerate(self.servers)]
        self.peers = [FixedPeers(each, list(self.members)) for each in self.members]
        self.clients = [FaultyPlatform(self.platform.port) for _ in range(count)]
        self.executors = [
            PostingExecutor(client, peers, self.settings)
            for client, peers in zip(self.clients, self.peers, strict=True)
        ]
        for executor, router in zip(self.executors, routers, strict=True):
            executor.add_routes(router)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        with ThreadPoolExecutor() as pool:
            list(pool.map(lambda each: each.stop(), [*self.servers, self.platform]))

    def isolate_members(self):
        """Make each executor see itself as the only live entry."""
        for each in self.peers:
            each.all_live = [each.this_entry()]


class PausedAfterClaim(ShardedClaimRegistry):
    """Claim registry that pauses after a claim is appended, until the deadline has passed."""

    def append(self, at, record, deadline_at_s):
        appended = super().append(at, record, time.monotonic() + TIMEOUT_S)
        if isinstance(record, Claimed):
            time.sleep(max(0.0, deadline_at_s - time.monotonic()) + 0.01)
        return appended


class ActsAfterRelease(ShardedClaimRegistry):
    """Claim registry that calls `act` as soon as a release is in the log."""

    act = None

    def append(self, at, record, deadline_at_s):
        appended = super().append(at, record, deadline_at_s)
        if isinstance(record, Released):
            self.act()
        return appended


class CountingService:
    """Count the runs of each key; `dispatch` builds the callback of an executor."""

    def __init__(self):
        self.runs = Counter()
        self._lock = threading.Lock()

    def dispatch(self, key, outcome=None, before=None):
        def run(_token):
            if before:
                before()
            with self._lock:
                self.runs[key] += 1
            body = f'{{"run": {self.runs[key]}}}'.encode()
            return outcome or UpstreamResponse(200, "application/json", body)

        return run
