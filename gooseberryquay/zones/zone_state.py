"""Administrative states of availability zones and upstreams."""

from enum import Enum

__all__ = ["UpstreamOrder", "ZoneState"]


class ZoneState(Enum):
    """Describe whether an availability zone accepts new work."""

    IN = "in"
    OUT = "out"


class UpstreamOrder(Enum):
    """Describe whether an upstream accepts new work, as set by operators."""

    SERVE = "serve"
    DRAIN = "drain"
