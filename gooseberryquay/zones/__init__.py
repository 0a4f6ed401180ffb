"""Replicated configuration: the declaration, and which zones and upstreams accept work."""

from gooseberryquay.zones.configuration import Configuration
from gooseberryquay.zones.zone_state import UpstreamOrder, ZoneState

__all__ = ["Configuration", "UpstreamOrder", "ZoneState"]
