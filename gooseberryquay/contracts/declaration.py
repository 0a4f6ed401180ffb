"""The complete declaration of the operators, as one immutable value."""

from pydantic import Field

from gooseberryquay.contracts.fields import FrozenModel
from gooseberryquay.contracts.service import Service
from gooseberryquay.contracts.site import Site
from gooseberryquay.contracts.upstream import UpstreamDeclaration
from gooseberryquay.contracts.workspace import Workspace
from gooseberryquay.ids import ServiceId, SiteId, UpstreamId, WorkspaceId, ZoneId

__all__ = ["Declaration"]


class Declaration(FrozenModel):
    """Represent all declared services, sites, workspaces and upstreams."""

    services: dict[ServiceId, Service] = Field(default_factory=dict)
    sites: dict[SiteId, Site] = Field(default_factory=dict)
    workspaces: dict[WorkspaceId, Workspace] = Field(default_factory=dict)
    upstreams: dict[UpstreamId, UpstreamDeclaration] = Field(default_factory=dict)

    def zones(self) -> frozenset[ZoneId]:
        """Return the availability zones of all sites."""
        return frozenset(ZoneId(zone) for site in self.sites.values() for zone in site.zones)

    def upstreams_of(self, service: ServiceId) -> tuple[UpstreamDeclaration, ...]:
        """Return the upstreams of a service, in declaration order."""
        return tuple(each for each in self.upstreams.values() if each.service == service)
