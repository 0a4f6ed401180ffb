"""Entries of the list of upstreams."""

from dataclasses import dataclass
from enum import Enum

from gooseberryquay.contracts.fields import Address
from gooseberryquay.ids import ServiceId, SoftwareVersion, UpstreamId, ZoneId

__all__ = ["UpstreamRecord", "UpstreamState"]


class UpstreamState(Enum):
    """Enumerate whether an upstream accepts new work."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """Describe one incarnation of an upstream; `cold_left_s` is relative to the announcement."""

    id: UpstreamId
    service: ServiceId
    address: Address
    zone: ZoneId
    slots: int
    state: UpstreamState
    cold_left_s: float
    born_ms: int | None
    version: SoftwareVersion | None = None
