"""Commands that run the stand-ins, each as a process of its own."""

from gooseberryquay.daemons.serving import serve_until_signal
from gooseberryquay.standins.platform import PlatformStandIn
from gooseberryquay.standins.relay_cost.commands import RelayCostCommands

__all__ = ["StandInCommands"]


class StandInCommands(RelayCostCommands):
    """Run stand-ins of the outside systems."""

    def platform(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Serve the platform stand-in until it gets SIGTERM."""
        serve_until_signal(PlatformStandIn(host, port))
