"""Timing and fan-out of configuration sync at one entry."""

from dataclasses import dataclass

__all__ = ["ConfigurationSyncTiming"]


@dataclass(frozen=True)
class ConfigurationSyncTiming:
    """Set the timing and fan-out of configuration sync.

    The platform client's read timeout should be at most a third of `freshness_bound_s`.
    """

    freshness_bound_s: float = 3.0
    watch_timeout_s: float = 1.0
    peer_timeout_s: float = 1.0
    watcher_count: int = 2
    fan_out: int = 3
    initial_pull_peers: int = 7
    member_retention_s: float = 600.0
