"""Commands that run the stand-ins, each as a process of its own."""

from typing import Any

from gooseberryquay.daemons.serving import serve_until_signal
from gooseberryquay.standins.engine import EngineStandIn
from gooseberryquay.standins.engine_settings import EngineSettings
from gooseberryquay.standins.platform import PlatformStandIn
from gooseberryquay.standins.relay_cost.commands import RelayCostCommands

__all__ = ["StandInCommands"]


class StandInCommands(RelayCostCommands):
    """Run stand-ins of the outside systems."""

    def platform(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Serve the platform stand-in until it gets SIGTERM."""
        serve_until_signal(PlatformStandIn(host, port))

    def engine(self, host: str = "127.0.0.1", port: int = 0, **settings: Any) -> None:
        """Serve the engine stand-in; the other options are the fields of its settings."""
        engine = EngineStandIn(EngineSettings(**settings), host, port, is_own_process=True)
        serve_until_signal(engine)
