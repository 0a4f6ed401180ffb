"""One configuration keeper with its control API and a simple heartbeat, for tests."""

import random
import threading
import time
from collections import Counter
from collections.abc import Callable, Sequence

from pydantic import BaseModel
from result import Err, Ok, Result

from gooseberryquay.contracts.declaration import Declaration
from gooseberryquay.contracts.fields import Address, FrozenModel
from gooseberryquay.ids import EntryId, Incarnation, Revision, ZoneId
from gooseberryquay.links.http_client import ConnectionBroken, HttpClient, Reply, TransportFailure
from gooseberryquay.links.http_server import HttpServer, Request, Response, Router
from gooseberryquay.links.platform_client import PlatformClient, PlatformUnreachable, ReadFailure
from gooseberryquay.links.platform_messages import StoredObject
from gooseberryquay.machines.peer import Peer
from gooseberryquay.zones.configuration import Configuration
from gooseberryquay.zones.configuration_sync import ConfigurationSync
from gooseberryquay.zones.configuration_sync_timing import ConfigurationSyncTiming

__all__ = ["HEARTBEAT_PATH", "KeeperNode", "KeeperStatus", "RosterPeers"]

HOST = "127.0.0.1"
HEARTBEAT_PATH = "/standin/heartbeat"
HEARTBEAT_TIMEOUT_S = 0.5
PLATFORM_TIMEOUT_S = 0.8
# Header bytes of one request and its response between two entries.
EXCHANGE_HEADER_BYTES = 330


class KeeperStatus(FrozenModel):
    """Local state of one keeper."""

    id: EntryId
    revision: Revision
    confirmed_age_s: float
    is_fresh: bool
    is_platform_unreachable: bool
    configuration: Configuration | None


class Heartbeat(FrozenModel):
    """Configuration state that membership gossips in a real entry."""

    sender: Peer
    revision: Revision
    confirmed_age_s: float
    is_platform_unreachable: bool


class PartitionablePlatformClient(PlatformClient):
    """Platform client that can be partitioned from the platform."""

    is_partitioned = False

    def read(self, key: str) -> Result[StoredObject | None, ReadFailure]:
        """Read one object; fail if partitioned."""
        return (
            Err(PlatformUnreachable("partitioned on purpose"))
            if self.is_partitioned
            else super().read(key)
        )

    def watch(
        self, key: str, after_version: int, timeout_s: float
    ) -> Result[StoredObject | None, ReadFailure]:
        """Watch one object; fail if partitioned."""
        if self.is_partitioned:
            return Err(PlatformUnreachable("partitioned on purpose"))
        return super().watch(key, after_version, timeout_s)


class RosterPeers:
    """Treat all peers on a roster as live, except partitioned ones; count exchanged bytes."""

    def __init__(self, this_entry: Peer, roster: Callable[[], Sequence[Peer]]) -> None:
        self._this_entry = this_entry
        self._roster = roster
        self._lock = threading.Lock()
        self._clients: dict[Address, HttpClient] = {}
        self.partitioned_from: frozenset[str] = frozenset()
        self.exchanges: Counter[str] = Counter()
        self.exchanged_bytes: Counter[str] = Counter()

    def this_entry(self) -> Peer:
        """Return this entry."""
        return self._this_entry

    def live(self) -> tuple[Peer, ...]:
        """Return the peers on the roster that are not partitioned from this entry."""
        return tuple(peer for peer in self._roster() if peer.id not in self.partitioned_from)

    def send(
        self, to: Peer, path: str, message: BaseModel, timeout_s: float
    ) -> Result[Reply, TransportFailure]:
        """POST a message; fail without sending if the peer is partitioned."""
        if to.id in self.partitioned_from:
            return Err(ConnectionBroken("partitioned on purpose", was_sent=False))
        body = message.model_dump_json().encode()
        sent = self._client_of(to).send("POST", path, body, read_timeout_s=timeout_s)
        response_bytes = len(sent.ok_value.body) if isinstance(sent, Ok) else 0
        with self._lock:
            self.exchanges[path] += 1
            self.exchanged_bytes[path] += len(body) + response_bytes + EXCHANGE_HEADER_BYTES
        return sent

    def _client_of(self, peer: Peer) -> HttpClient:
        with self._lock:
            address = peer.control_address
            if address not in self._clients:
                self._clients[address] = HttpClient(address.host, address.port, 0.3)
            return self._clients[address]

    def close(self) -> None:
        """Close all pooled connections."""
        for client in self._clients.values():
            client.close()


class KeeperNode:
    """Run one keeper; `roster` returns all peers, including this node."""

    def __init__(
        self,
        name: str,
        platform: Address,
        base: Declaration,
        roster: Callable[[], Sequence[Peer]],
        *,
        timing: ConfigurationSyncTiming | None = None,
        heartbeat_interval_s: float = 0.5,
        heartbeat_fan_out: int = 1,
        seed: int = 0,
    ) -> None:
        self._name = EntryId(name)
        self._platform = platform
        self._base = base
        self._roster = roster
        self._timing = timing
        self._heartbeat_interval_s = heartbeat_interval_s
        self._heartbeat_fan_out = heartbeat_fan_out
        self._rng = random.Random(f"{name}-{seed}")
        self._router = Router()
        self._server = HttpServer(HOST, 0, self._router)
        self._is_stopped = threading.Event()

    def bind(self) -> Peer:
        """Start the control API and return this node as a peer."""
        self._server.start()
        self._peer = Peer(
            id=self._name,
            incarnation=Incarnation(1),
            zone=ZoneId("a"),
            control_address=Address(HOST, self._server.port),
        )
        return self._peer

    def begin(self, partitioned_from: frozenset[str] = frozenset()) -> None:
        """Start the keeper and its heartbeat; a node partitioned from peers lacks the platform."""
        self.peers = RosterPeers(self._peer, self._roster)
        self.platform_client = PartitionablePlatformClient(self._platform, 0.3, PLATFORM_TIMEOUT_S)
        self.partition_from(partitioned_from)
        self.keeper = ConfigurationSync(
            self.peers, self.platform_client, self._base, timing=self._timing, rng=self._rng
        )
        self.keeper.add_routes(self._router)
        self._router.add("POST", HEARTBEAT_PATH, self._receive_heartbeat)
        self._router.add("GET", "/standin/status", lambda _request: Response.of(self.status()))
        self.keeper.start()
        threading.Thread(target=self._send_heartbeats, daemon=True).start()

    def start(self) -> None:
        """Bind and start all parts, as a separate process does."""
        self.bind()
        self.begin()

    def partition_from(self, names: frozenset[str]) -> None:
        """Partition the node from the platform and the named peers; no names heal all."""
        self.peers.partitioned_from = names
        self.platform_client.is_partitioned = bool(names)

    def stop(self) -> None:
        """Stop the heartbeat, the keeper and the control API."""
        self._is_stopped.set()
        self.keeper.stop()
        self._server.stop()
        self.peers.close()

    @property
    def port(self) -> int:
        """Return the bound TCP port."""
        return self._server.port

    def status(self) -> KeeperStatus:
        """Return the local state of the keeper."""
        return KeeperStatus(
            id=self._name,
            revision=self.keeper.revision(),
            confirmed_age_s=self.keeper.confirmed_age_s(),
            is_fresh=self.keeper.is_fresh(),
            is_platform_unreachable=self.keeper.is_platform_unreachable(),
            configuration=self.keeper.configuration(),
        )

    def _send_heartbeats(self) -> None:
        while not self._is_stopped.wait(self._heartbeat_interval_s * self._rng.uniform(0.8, 1.2)):
            others = [peer for peer in self.peers.live() if peer.id != self._name]
            count = min(self._heartbeat_fan_out, len(others))
            for peer in self._rng.sample(others, count):
                self._send_heartbeat(peer)

    def _send_heartbeat(self, peer: Peer) -> None:
        sent_at_s = time.monotonic()
        sent = self.peers.send(peer, HEARTBEAT_PATH, self._heartbeat(), HEARTBEAT_TIMEOUT_S)
        match sent:
            case Ok(Reply(status=200, body=body)):
                heartbeat = Heartbeat.model_validate_json(body)
                age_s = heartbeat.confirmed_age_s + time.monotonic() - sent_at_s
                self._record_heartbeat(heartbeat, age_s)

    def _heartbeat(self) -> Heartbeat:
        age_s = self.keeper.confirmed_age_s()
        return Heartbeat(
            sender=self._peer,
            revision=self.keeper.revision(),
            confirmed_age_s=age_s,
            is_platform_unreachable=self.keeper.is_platform_unreachable(),
        )

    def _record_heartbeat(self, heartbeat: Heartbeat, confirmed_age_s: float | None) -> None:
        if heartbeat.is_platform_unreachable:
            self.keeper.record_peer_outage(heartbeat.sender.id)
        self.keeper.record_peer_state(heartbeat.sender, heartbeat.revision, confirmed_age_s)

    def _receive_heartbeat(self, request: Request) -> Response:
        self._record_heartbeat(Heartbeat.model_validate_json(request.body), None)
        return Response.of(self._heartbeat())
