"""Commands that run each stand-in as a separate process."""

from pathlib import Path
from typing import Any

from gooseberryquay.contracts import load_settings
from gooseberryquay.contracts.address_option import require_address
from gooseberryquay.contracts.fields import Address
from gooseberryquay.daemons.serving import serve_until_signal
from gooseberryquay.ids import EntryId, Incarnation, ZoneId
from gooseberryquay.machines.peer import Peer
from gooseberryquay.standins.configuration_experiment import measure_configuration
from gooseberryquay.standins.engine import EngineStandIn
from gooseberryquay.standins.engine_settings import EngineSettings
from gooseberryquay.standins.fault_proxy import FaultProxy, FaultProxyServer
from gooseberryquay.standins.keeper_node import KeeperNode
from gooseberryquay.standins.load.sharded_run import run_shard
from gooseberryquay.standins.platform import PlatformStandIn
from gooseberryquay.standins.platform_limits import PlatformLimits
from gooseberryquay.standins.posting_fleet.commands import PostingFleetCommands
from gooseberryquay.standins.relay_cost.commands import RelayCostCommands
from gooseberryquay.standins.service import ServiceSettings, ServiceStandIn

__all__ = ["StandInCommands"]


class StandInCommands(PostingFleetCommands, RelayCostCommands):
    """Run stand-ins for external systems."""

    def platform(
        self,
        host: str = "127.0.0.1",
        port: int = 0,
        *,
        writes_per_s: float = PlatformLimits.writes_per_s,
        reads_per_s: float = PlatformLimits.reads_per_s,
        list_lag_s: float = PlatformLimits.list_lag_s,
        weight_bytes_per_s: float = PlatformLimits.weight_bytes_per_s,
        weight_bytes: int = PlatformLimits.weight_bytes,
    ) -> None:
        """Serve the platform stand-in until SIGTERM; a rate of 0 means no limit."""
        limits = PlatformLimits(
            writes_per_s, reads_per_s, list_lag_s, weight_bytes_per_s, weight_bytes
        )
        serve_until_signal(PlatformStandIn(host, port, limits))

    def keeper(self, name: str, base: str, platform: str, roster: str) -> None:
        """Serve one configuration keeper; the roster file has one line NAME=PORT per keeper."""
        declaration = load_settings(base).unwrap().declaration
        path = Path(roster)
        serve_until_signal(
            KeeperNode(name, require_address(platform), declaration, lambda: _read_roster(path))
        )

    def configuration_experiment(
        self,
        keepers: str = "8,32,128",
        *,
        changes: int = 40,
        idle_s: float = 10.0,
        freshness_bound_s: float = 3.0,
        seed: int = 1,
    ) -> None:
        """Measure platform calls, bytes and propagation time; print JSON for each fleet size."""
        sizes = (keepers,) if isinstance(keepers, int) else keepers
        counts = sizes.split(",") if isinstance(sizes, str) else sizes
        for count in counts:
            figures = measure_configuration(
                int(count),
                changes=changes,
                idle_s=idle_s,
                freshness_bound_s=freshness_bound_s,
                seed=seed,
            )
            print(figures.model_dump_json(indent=1), flush=True)

    def engine(self, host: str = "127.0.0.1", port: int = 0, **settings: Any) -> None:
        """Serve the engine stand-in; the other options are the fields of `EngineSettings`."""
        engine = EngineStandIn(EngineSettings(**settings), host, port, is_own_process=True)
        serve_until_signal(engine)

    def service(self, host: str = "127.0.0.1", port: int = 0, delay_s: float = 0.005) -> None:
        """Serve the plain service stand-in until SIGTERM."""
        settings = ServiceSettings(delay_s)
        serve_until_signal(ServiceStandIn(settings, host, port, is_own_process=True))

    def faultproxy(
        self, target: str, host: str = "127.0.0.1", port: int = 0, control_port: int = 0
    ) -> None:
        """Serve a TCP fault proxy; print the control port before the ready line."""
        proxy = FaultProxy(require_address(target), host, port)
        serve_until_signal(FaultProxyServer(proxy, host, control_port))

    def load_shard(self) -> None:
        """Run one shard of a load run, read from standard input."""
        run_shard()


def _read_roster(path: Path) -> tuple[Peer, ...]:
    if not path.exists():
        return ()
    return tuple(_local_peer(line) for line in path.read_text().splitlines())


def _local_peer(text: str) -> Peer:
    name, _, port = text.partition("=")
    return Peer(
        id=EntryId(name),
        incarnation=Incarnation(1),
        zone=ZoneId("a"),
        control_address=Address("127.0.0.1", int(port)),
    )
