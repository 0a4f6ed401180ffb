"""One accepted configuration: what is declared and what operators took out."""

from pydantic import Field

from gooseberryquay.contracts.declaration import Declaration
from gooseberryquay.contracts.fields import Model
from gooseberryquay.contracts.upstream import UpstreamDeclaration
from gooseberryquay.ids import Revision, ServiceId, UpstreamId, ZoneId
from gooseberryquay.zones.zone_state import UpstreamOrder, ZoneState

__all__ = ["Configuration"]


class Configuration(Model):
    """Hold the declaration and operators' orders at one revision."""

    revision: Revision
    declaration: Declaration
    zone_states: dict[ZoneId, ZoneState] = Field(default_factory=dict)
    upstream_orders: dict[UpstreamId, UpstreamOrder] = Field(default_factory=dict)

    def may_get_work(self, upstream: UpstreamDeclaration) -> bool:
        """Tell whether operators let an upstream get new work."""
        zone_state = self.zone_states.get(upstream.zone, ZoneState.IN)
        order = self.upstream_orders.get(upstream.id, UpstreamOrder.SERVE)
        return zone_state is ZoneState.IN and order is UpstreamOrder.SERVE

    def usable_upstreams(self, service: ServiceId) -> tuple[UpstreamDeclaration, ...]:
        """Give the upstreams of a service that may get new work."""
        declared = self.declaration.upstreams_of(service)
        return tuple(each for each in declared if self.may_get_work(each))
