"""Commands that run the stand-ins, each as a process of its own."""

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
