"""Commands that run the stand-ins, each as a process of its own."""

from gooseberryquay.contracts import Address, load_settings
from gooseberryquay.ids import EntryId, Incarnation, ZoneId
from gooseberryquay.machines.peer import Peer
from gooseberryquay.standins.keeper_node import KeeperNode
from gooseberryquay.standins.platform import PlatformStandIn
from gooseberryquay.standins.platform_limits import PlatformLimits
from gooseberryquay.standins.serving import serve_until_signal

__all__ = ["StandInCommands"]


class StandInCommands:
    """Run stand-ins of the outside systems."""

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
        """Serve the platform stand-in until it gets SIGTERM; a rate of 0 is no limit."""
        limits = PlatformLimits(
            writes_per_s, reads_per_s, list_lag_s, weight_bytes_per_s, weight_bytes
        )
        serve_until_signal(PlatformStandIn(host, port, limits))

    def keeper(self, name: str, base: str, platform: str, port: int, peers: str) -> None:
        """Serve one configuration keeper; `peers` is NAME=PORT,… and includes this one."""
        settings = load_settings(base).unwrap()
        roster = tuple(_local_peer(each) for each in peers.split(","))
        node = KeeperNode(
            name, _local_address(platform), settings.declaration, lambda: roster, port=port
        )
        serve_until_signal(node)


def _local_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return Address(host, int(port))


def _local_peer(text: str) -> Peer:
    name, _, port = text.partition("=")
    return Peer(
        id=EntryId(name),
        incarnation=Incarnation(1),
        zone=ZoneId("a"),
        control_address=Address("127.0.0.1", int(port)),
    )
