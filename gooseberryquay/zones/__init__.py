"""Availability zones and the configuration that says which of them may get work."""

from gooseberryquay.zones.configuration import Configuration
from gooseberryquay.zones.zone_state import UpstreamOrder, ZoneState

__all__ = ["Configuration", "UpstreamOrder", "ZoneState"]
