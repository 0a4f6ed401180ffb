"""How often an entry confirms its configuration, and how far news is pushed."""

from dataclasses import dataclass

__all__ = ["ConfigurationSyncTiming"]


@dataclass(frozen=True)
class ConfigurationSyncTiming:
    """Set the bounds of one configuration keeper.

    The platform link's read timeout should be at most a third of `freshness_bound_s`.
    """

    freshness_bound_s: float = 3.0
    watch_timeout_s: float = 1.0
    peer_timeout_s: float = 1.0
    watcher_count: int = 2
    fan_out: int = 3
    start_peers: int = 7
    member_memory_s: float = 600.0
