"""Configuration keepers run as threads of one process, for tests and experiments."""

import threading
import time
from collections.abc import Callable

from gooseberryquay.contracts.declaration import Declaration
from gooseberryquay.contracts.fields import Address
from gooseberryquay.ids import Revision
from gooseberryquay.machines.peer import Peer
from gooseberryquay.standins.keeper_node import KeeperNode
from gooseberryquay.zones.configuration_sync_timing import ConfigurationSyncTiming

__all__ = ["KeeperFleet"]

POLL_INTERVAL_S = 0.02


class KeeperFleet:
    """Start and stop keepers that discover each other through a shared roster."""

    def __init__(
        self,
        platform: Address,
        base: Declaration,
        timing: ConfigurationSyncTiming | None = None,
        heartbeat_interval_s: float = 0.5,
        seed: int = 0,
    ) -> None:
        self._platform = platform
        self._base = base
        self._timing = timing
        self._heartbeat_interval_s = heartbeat_interval_s
        self._seed = seed
        self._roster: dict[str, Peer] = {}
        self.nodes: dict[str, KeeperNode] = {}

    def add(self, *names: str, partitioned_from: frozenset[str] = frozenset()) -> None:
        """Bind all named keepers, then start them, partitioned from the given names."""
        nodes = {name: self._make(name) for name in names}
        for name, node in nodes.items():
            self._roster[name] = node.bind()
        for node in nodes.values():
            node.begin(partitioned_from)
        self.nodes |= nodes

    def _make(self, name: str) -> KeeperNode:
        return KeeperNode(
            name,
            self._platform,
            self._base,
            lambda: tuple(self._roster.values()),
            timing=self._timing,
            heartbeat_interval_s=self._heartbeat_interval_s,
            seed=self._seed,
        )

    def remove(self, name: str) -> None:
        """Stop a keeper and remove it from the roster."""
        del self._roster[name]
        self.nodes.pop(name).stop()

    def partition(self, names: frozenset[str]) -> None:
        """Partition the named keepers from the platform and all others; no names heal all."""
        others = frozenset(self.nodes) - names
        for name, node in self.nodes.items():
            if name in names:
                node.partition_from(others)
            else:
                node.peers.partitioned_from = names
                node.platform_client.is_partitioned = False

    def revisions(self) -> tuple[Revision, ...]:
        """Return the revision in force at each keeper."""
        return tuple(node.keeper.revision() for node in self.nodes.values())

    def is_fresh(self) -> bool:
        """Return whether the configuration of every keeper is fresh."""
        return all(node.keeper.is_fresh() for node in self.nodes.values())

    def wait_for_revision(self, revision: Revision, timeout_s: float) -> bool:
        """Wait until every keeper has at least `revision` in force; return False at the timeout."""
        return self.wait_for(lambda: all(held >= revision for held in self.revisions()), timeout_s)

    def wait_for(self, is_reached: Callable[[], bool], timeout_s: float) -> bool:
        """Poll until a condition holds; return False at the timeout."""
        deadline_s = time.monotonic() + timeout_s
        while not is_reached():
            if time.monotonic() > deadline_s:
                return False
            time.sleep(POLL_INTERVAL_S)
        return True

    def stop(self) -> None:
        """Stop every keeper."""
        stops = [threading.Thread(target=node.stop) for node in self.nodes.values()]
        for stop in stops:
            stop.start()
        for stop in stops:
            stop.join()
        self.nodes.clear()
        self._roster.clear()
