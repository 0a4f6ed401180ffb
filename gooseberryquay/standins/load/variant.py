"""Targets of a load run, and options of the load tool."""

from dataclasses import dataclass

from gooseberryquay.contracts.fields import Address

__all__ = ["DEFAULT_OPTIONS", "WHOLE_PLAN", "LoadOptions", "Shard", "Variant"]

TOKEN_GAP_S = 0.071
STALL_GAPS = 3


@dataclass(frozen=True)
class Variant:
    """Entries of one variant, and the upstreams whose counts are reported."""

    name: str
    entries: tuple[Address, ...]
    upstreams: tuple[Address, ...] = ()


@dataclass(frozen=True)
class Shard:
    """Selection of the arrivals that one of several processes sends."""

    index: int = 0
    count: int = 1

    def includes(self, arrival_number: int) -> bool:
        """Return whether an arrival belongs to this shard."""
        return arrival_number % self.count == self.index


@dataclass(frozen=True)
class LoadOptions:
    """Options of the load tool.

    Token gaps over `late_gap_s` are counted per second. Entries whose health check fails get no
    calls; `health_poll_s` = 0 disables the checks. The run ends `drain_s` after the last arrival
    even if calls are still open.
    """

    stall_gap_s: float = TOKEN_GAP_S * STALL_GAPS
    late_gap_s: float = TOKEN_GAP_S
    idle_timeout_s: float = 15.0
    health_poll_s: float = 0.5
    drain_s: float = 60.0
    open_calls_max: int = 800
    shows_progress: bool = False


DEFAULT_OPTIONS = LoadOptions()
WHOLE_PLAN = Shard()
