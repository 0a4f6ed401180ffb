"""Settings of an entry whose instance belongs to a platform."""

from dataclasses import dataclass

from gooseberryquay.contracts.fields import Address
from gooseberryquay.ids import EntryId, ZoneId

__all__ = ["NodeBounds", "NodeSettings"]


@dataclass(frozen=True, slots=True)
class NodeBounds:
    """Hold the time bounds that the operators promise."""

    grace_s: float
    evacuation_s: float
    config_apply_s: float
    retry_ratio: float
    retry_window_s: float
    # What all entries together may retry in that window beyond the share of requests.
    retry_allowance: float
    # What a cold upstream bears in a second: its rate times the first, and the second.
    cold_overage: float
    cold_allowance: float


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Hold what an entry learns from its instance's settings file."""

    id: EntryId
    zone: ZoneId
    caller_address: Address
    readiness_address: Address
    control_address: Address
    metrics_address: Address
    seeds: tuple[Address, ...]
    store_address: Address
    memory_mb: float
    link_mbps: float
    # How often an upstream announces itself.
    heartbeat_s: float
    bounds: NodeBounds
