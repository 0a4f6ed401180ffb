"""One configuration keeper with its control API and a plain heartbeat, for tests."""

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

__all__ = ["HEARTBEAT_PATH", "FixedPeers", "KeeperNode", "KeeperStatus"]

HOST = "127.0.0.1"
HEARTBEAT_PATH = "/standin/heartbeat"
HEARTBEAT_TIMEOUT_S = 0.5
PLATFORM_TIMEOUT_S = 0.8
# Header bytes of one request and its answer between two of our processes.
EXCHANGE_HEADER_BYTES = 330


class KeeperStatus(FrozenModel):
    """Show what one keeper holds."""

    id: EntryId
    revision: Revision
    confirmed_age_s: float
    is_fresh: bool
    is_platform_unreachable: bool
    configuration: Configuration | None


class Heartbeat(FrozenModel):
    """Carry what membership would carry for the configuration."""

    sender: Peer
    revision: Revision
    confirmed_age_s: float
    is_platform_unreachable: bool


class SeverableLink(PlatformClient):
    """Reach the platform unless it is cut off."""

    is_cut = False

    def read(self, key: str) -> Result[StoredObject | None, ReadFailure]:
        """Read one object unless cut off."""
        return Err(PlatformUnreachable("cut on purpose")) if self.is_cut else super().read(key)

    def watch(
        self, key: str, after_version: int, timeout_s: float
    ) -> Result[StoredObject | None, ReadFailure]:
        """Watch one object unless cut off."""
        if self.is_cut:
            return Err(PlatformUnreachable("cut on purpose"))
        return super().watch(key, after_version, timeout_s)


class FixedPeers:
    """Take everybody on a roster for alive, but for those cut off; count what is sent."""

    def __init__(self, this_entry: Peer, roster: Callable[[], Sequence[Peer]]) -> None:
        self._myself = this_entry
        self._roster = roster
        self._lock = threading.Lock()
        self._clients: dict[Address, HttpClient] = {}
        self.cut_from: frozenset[str] = frozenset()
        self.exchanges: Counter[str] = Counter()
        self.exchanged_bytes: Counter[str] = Counter()

    def this_entry(self) -> Peer:
        """Give this entry."""
        return self._myself

    def live(self) -> tuple[Peer, ...]:
        """Give everybody on the roster who is not cut off."""
        return tuple(peer for peer in self._roster() if peer.id not in self.cut_from)

    def send(
        self, to: Peer, path: str, message: BaseModel, timeout_s: float
    ) -> Result[Reply, TransportFailure]:
        """POST a message; nothing is sent to those cut off."""
        if to.id in self.cut_from:
            return Err(ConnectionBroken("cut on purpose", was_sent=False))
        body = message.model_dump_json().encode()
        sent = self._client_of(to).send("POST", path, body, read_timeout_s=timeout_s)
        answer_bytes = len(sent.ok_value.body) if isinstance(sent, Ok) else 0
        with self._lock:
            self.exchanges[path] += 1
            self.exchanged_bytes[path] += len(body) + answer_bytes + EXCHANGE_HEADER_BYTES
        return sent

    def _client_of(self, peer: Peer) -> HttpClient:
        with self._lock:
            address = peer.control_address
            if address not in self._clients:
                self._clients[address] = HttpClient(address.host, address.port, 0.3)
            return self._clients[address]

    def close(self) -> None:
        """Close all kept connections."""
        for client in self._clients.values():
            client.close()


class KeeperNode:
    """Run one keeper; `roster` gives everybody, this node included."""

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
        self._chooser = random.Random(f"{name}-{seed}")
        self._router = Router()
        self._server = HttpServer(HOST, 0, self._router)
        self._is_stopped = threading.Event()

    def bind(self) -> Peer:
        """Start the control API and give this node as a peer."""
        self._server.start()
        self._peer = Peer(
            id=self._name,
            incarnation=Incarnation(1),
            zone=ZoneId("a"),
            control_address=Address(HOST, self._server.port),
        )
        return self._peer

    def begin(self, cut_from: frozenset[str] = frozenset()) -> None:
        """Start the keeper and its heartbeat; cut off from peers, it has no platform either."""
        self.peers = FixedPeers(self._peer, self._roster)
        self.link = SeverableLink(self._platform, 0.3, PLATFORM_TIMEOUT_S)
        self.cut_off(cut_from)
        self.keeper = ConfigurationSync(
            self.peers, self.link, self._base, timing=self._timing, chooser=self._chooser
        )
        self.keeper.add_routes(self._router)
        self._router.add("POST", HEARTBEAT_PATH, self._answer_heartbeat)
        self._router.add("GET", "/standin/status", lambda _request: Response.of(self.status()))
        self.keeper.start()
        threading.Thread(target=self._beat, daemon=True).start()

    def start(self) -> None:
        """Start everything, as one process does."""
        self.bind()
        self.begin()

    def cut_off(self, names: frozenset[str]) -> None:
        """Cut the links to the platform and to the named peers; no names mend all."""
        self.peers.cut_from = names
        self.link.is_cut = bool(names)

    def stop(self) -> None:
        """Stop everything."""
        self._is_stopped.set()
        self.keeper.stop()
        self._server.stop()
        self.peers.close()

    @property
    def port(self) -> int:
        """Give the bound TCP port."""
        return self._server.port

    def status(self) -> KeeperStatus:
        """Show what the keeper holds."""
        return KeeperStatus(
            id=self._name,
            revision=self.keeper.revision(),
            confirmed_age_s=self.keeper.confirmed_age_s(),
            is_fresh=self.keeper.is_fresh(),
            is_platform_unreachable=self.keeper.is_platform_unreachable(),
            configuration=self.keeper.configuration(),
        )

    def _beat(self) -> None:
        while not self._is_stopped.wait(
            self._heartbeat_interval_s * self._chooser.uniform(0.8, 1.2)
        ):
            others = [peer for peer in self.peers.live() if peer.id != self._name]
            count = min(self._heartbeat_fan_out, len(others))
            for peer in self._chooser.sample(others, count):
                self._beat_to(peer)

    def _beat_to(self, peer: Peer) -> None:
        sent_at_s = time.monotonic()
        sent = self.peers.send(peer, HEARTBEAT_PATH, self._heartbeat(), HEARTBEAT_TIMEOUT_S)
        match sent:
            case Ok(Reply(status=200, body=body)):
                heartbeat = Heartbeat.model_validate_json(body)
                age_s = heartbeat.confirmed_age_s + time.monotonic() - sent_at_s
                self._hear(heartbeat, age_s)

    def _heartbeat(self) -> Heartbeat:
        age_s = self.keeper.confirmed_age_s()
        return Heartbeat(
            sender=self._peer,
            revision=self.keeper.revision(),
            confirmed_age_s=age_s,
            is_platform_unreachable=self.keeper.is_platform_unreachable(),
        )

    def _hear(self, heartbeat: Heartbeat, confirmed_age_s: float | None) -> None:
        if heartbeat.is_platform_unreachable:
            self.keeper.record_peer_outage(heartbeat.sender.id)
        self.keeper.record_peer_state(heartbeat.sender, heartbeat.revision, confirmed_age_s)

    def _answer_heartbeat(self, request: Request) -> Response:
        self._hear(Heartbeat.model_validate_json(request.body), None)
        return Response.of(self._heartbeat())
