"""Settings of an entry that runs on an instance of a platform."""

from dataclasses import dataclass

from gooseberryquay.contracts.fields import Address
from gooseberryquay.ids import EntryId, ZoneId

__all__ = ["CALLER_LIMIT_SETTINGS", "NodeBounds", "NodeSettings", "RolloutBounds"]

# Name, default and meaning of each limit on callers in the settings file of an instance.
CALLER_LIMIT_SETTINGS = (
    ("limits.memory_mb", "128", "memory of the instance, from which the limits below are derived"),
    ("limits.max_fds", "", "descriptors of the process; if empty, those of the system's limit"),
    ("limits.caller_memory_share", "0.4", "part of the memory for all that callers have in flight"),
    ("limits.body_bytes_per_s_min", "1024", "transfer rate of a body after its grace"),
    ("limits.body_grace_s", "20", "time in which a body may arrive at any rate"),
)


@dataclass(frozen=True, slots=True)
class RolloutBounds:
    """Represent the bounds of a roll-out, over all entries together."""

    # Requests that a version without a verdict may get: a share of all, and an allowance.
    exposure_share: float
    exposure_allowance: float
    # How long after the evidence requests may still reach a version that is rolled back.
    rollback_s: float
    # An unstable store extends that by at most this much.
    skew_max_s: float


@dataclass(frozen=True, slots=True)
class NodeBounds:
    """Represent the time, retry and cold-start bounds that the operators guarantee."""

    grace_s: float
    # How long requests may reach an upstream after the platform has acknowledged that it leaves.
    drain_s: float
    evacuation_s: float
    config_apply_s: float
    retry_ratio: float
    retry_window_s: float
    # Retries that all entries together may make in that window beyond the ratio.
    retry_allowance: float
    # Request limit of a cold upstream per second: its rate times the overage, plus the allowance.
    cold_overage: float
    cold_allowance: float
    # None where roll-outs are not in force.
    rollout: RolloutBounds | None = None


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Represent the settings file of an entry's instance."""

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
    # Interval at which an upstream announces itself.
    heartbeat_s: float
    bounds: NodeBounds
    # Descriptors that the process may use; None if only the system limits them.
    descriptors_max: int | None = None
    caller_memory_share: float = 0.4
    body_bytes_per_s_min: float = 1024.0
    body_grace_s: float = 20.0
