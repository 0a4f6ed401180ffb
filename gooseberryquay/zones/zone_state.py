"""States that operators give to availability zones and upstreams."""

from enum import Enum

__all__ = ["UpstreamOrder", "ZoneState"]


class ZoneState(Enum):
    """Tell whether an availability zone may get new work."""

    IN = "in"
    OUT = "out"


class UpstreamOrder(Enum):
    """Tell whether operators let an upstream get new work."""

    SERVE = "serve"
    DRAIN = "drain"
