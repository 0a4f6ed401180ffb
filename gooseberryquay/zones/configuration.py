"""The configuration at one revision: the declaration and administrative states."""

from typing import TypeVar

from pydantic import Field

from gooseberryquay.contracts.declaration import Declaration
from gooseberryquay.contracts.fields import FrozenModel
from gooseberryquay.contracts.upstream import UpstreamDeclaration
from gooseberryquay.ids import Revision, ServiceId, UpstreamId, ZoneId
from gooseberryquay.zones.configuration_change import (
    AcceptedChange,
    DeclarationReplaced,
    PatchDeclaration,
    SetUpstreamOrder,
    SetZoneState,
)
from gooseberryquay.zones.zone_state import UpstreamOrder, ZoneState

__all__ = ["Configuration"]

K = TypeVar("K")
V = TypeVar("V")


class Configuration(FrozenModel):
    """Represent the declaration and the administrative states of zones and upstreams."""

    revision: Revision
    declaration: Declaration
    zone_states: dict[ZoneId, ZoneState] = Field(default_factory=dict)
    upstream_orders: dict[UpstreamId, UpstreamOrder] = Field(default_factory=dict)

    def may_get_work(self, upstream: UpstreamDeclaration) -> bool:
        """Return whether operators allow new work for an upstream and its zone."""
        zone_state = self.zone_states.get(upstream.zone, ZoneState.IN)
        order = self.upstream_orders.get(upstream.id, UpstreamOrder.SERVE)
        return zone_state is ZoneState.IN and order is UpstreamOrder.SERVE

    def usable_upstreams(self, service: ServiceId) -> tuple[UpstreamDeclaration, ...]:
        """Return the upstreams of a service that may get new work."""
        declared = self.declaration.upstreams_of(service)
        return tuple(each for each in declared if self.may_get_work(each))

    def with_change(self, accepted: AcceptedChange) -> "Configuration":
        """Return the configuration after an accepted change.

        Raises ValueError for a change whose content is only in a snapshot.
        """
        match accepted.change:
            case SetZoneState(zones=zones, state=state):
                changed = self._with_zones(zones, state)
            case SetUpstreamOrder(upstreams=upstreams, order=order):
                changed = self._with_orders(upstreams, order)
            case PatchDeclaration() as patch:
                changed = self.with_declaration(_patched(self.declaration, patch))
            case DeclarationReplaced():
                raise ValueError(f"revision {accepted.revision} is only available as a snapshot")
        return changed.model_copy(update={"revision": accepted.revision})

    def with_declaration(self, declaration: Declaration) -> "Configuration":
        """Replace the declaration, and drop the states of names that it no longer declares."""
        zones = declaration.zones()
        zone_states = {zone: state for zone, state in self.zone_states.items() if zone in zones}
        orders = {
            upstream: order
            for upstream, order in self.upstream_orders.items()
            if upstream in declaration.upstreams
        }
        return self.model_copy(
            update={
                "declaration": declaration,
                "zone_states": zone_states,
                "upstream_orders": orders,
            }
        )

    def _with_zones(self, zones: tuple[ZoneId, ...], state: ZoneState) -> "Configuration":
        states = {zone: current for zone, current in self.zone_states.items() if zone not in zones}
        if state is not ZoneState.IN:
            states |= dict.fromkeys(zones, state)
        return self.model_copy(update={"zone_states": states})

    def _with_orders(
        self, upstreams: tuple[UpstreamId, ...], order: UpstreamOrder
    ) -> "Configuration":
        orders = {
            name: current for name, current in self.upstream_orders.items() if name not in upstreams
        }
        if order is not UpstreamOrder.SERVE:
            orders |= dict.fromkeys(upstreams, order)
        return self.model_copy(update={"upstream_orders": orders})


def _patched(old: Declaration, patch: PatchDeclaration) -> Declaration:
    changed, removed = patch.changed, patch.removed
    return Declaration(
        services=_merged(old.services, changed.services, removed.services),
        sites=_merged(old.sites, changed.sites, removed.sites),
        workspaces=_merged(old.workspaces, changed.workspaces, removed.workspaces),
        upstreams=_merged(old.upstreams, changed.upstreams, removed.upstreams),
    )


def _merged(old: dict[K, V], changed: dict[K, V], removed: tuple[K, ...]) -> dict[K, V]:
    names = set(removed)
    kept = {name: value for name, value in old.items() if name not in names}
    return kept | changed
