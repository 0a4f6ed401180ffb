"""Changes of the configuration, as proposed by operators and as stored."""

from typing import Annotated, Literal, TypeVar

from pydantic import Field

from gooseberryquay.contracts.declaration import Declaration
from gooseberryquay.contracts.fields import FrozenModel
from gooseberryquay.ids import (
    ChangeId,
    Revision,
    ServiceId,
    SiteId,
    UpstreamId,
    WorkspaceId,
    ZoneId,
)
from gooseberryquay.zones.zone_state import UpstreamOrder, ZoneState

__all__ = [
    "AcceptedChange",
    "ConfigurationChange",
    "DeclarationReplaced",
    "PatchDeclaration",
    "RemovedNames",
    "ReplaceDeclaration",
    "SetUpstreamOrder",
    "SetZoneState",
    "StoredChange",
    "describe_change",
    "patch_between",
]

K = TypeVar("K")
V = TypeVar("V")


class ReplaceDeclaration(FrozenModel):
    """Replace the declaration; states of names that stay declared are kept."""

    kind: Literal["replace_declaration"] = "replace_declaration"
    declaration: Declaration


class SetZoneState(FrozenModel):
    """Take availability zones out of service or return them to it."""

    kind: Literal["set_zone_state"] = "set_zone_state"
    zones: Annotated[tuple[ZoneId, ...], Field(min_length=1)]
    state: ZoneState


class SetUpstreamOrder(FrozenModel):
    """Drain upstreams or return them to service."""

    kind: Literal["set_upstream_order"] = "set_upstream_order"
    upstreams: Annotated[tuple[UpstreamId, ...], Field(min_length=1)]
    order: UpstreamOrder


class RemovedNames(FrozenModel):
    """List the names that a new declaration no longer contains."""

    services: tuple[ServiceId, ...] = ()
    sites: tuple[SiteId, ...] = ()
    workspaces: tuple[WorkspaceId, ...] = ()
    upstreams: tuple[UpstreamId, ...] = ()


class PatchDeclaration(FrozenModel):
    """Store a new declaration as its difference from the previous one."""

    kind: Literal["patch_declaration"] = "patch_declaration"
    changed: Declaration
    removed: RemovedNames = RemovedNames()


class DeclarationReplaced(FrozenModel):
    """Mark a new declaration that is only stored in the snapshot of its revision."""

    kind: Literal["declaration_replaced"] = "declaration_replaced"


ConfigurationChange = ReplaceDeclaration | SetZoneState | SetUpstreamOrder
StoredChange = Annotated[
    SetZoneState | SetUpstreamOrder | PatchDeclaration | DeclarationReplaced,
    Field(discriminator="kind"),
]


class AcceptedChange(FrozenModel):
    """Record an accepted change and the revision that it produced."""

    revision: Revision
    author: str
    change_id: ChangeId
    change: StoredChange


def patch_between(old: Declaration, new: Declaration) -> PatchDeclaration:
    """Return the patch that turns one declaration into another."""
    return PatchDeclaration(
        changed=Declaration(
            services=_changed(old.services, new.services),
            sites=_changed(old.sites, new.sites),
            workspaces=_changed(old.workspaces, new.workspaces),
            upstreams=_changed(old.upstreams, new.upstreams),
        ),
        removed=RemovedNames(
            services=_removed(old.services, new.services),
            sites=_removed(old.sites, new.sites),
            workspaces=_removed(old.workspaces, new.workspaces),
            upstreams=_removed(old.upstreams, new.upstreams),
        ),
    )


def describe_change(change: StoredChange) -> str:
    """Describe a change in one line."""
    match change:
        case SetZoneState(zones=zones, state=state):
            return f"zones {', '.join(zones)} {state.value}"
        case SetUpstreamOrder(upstreams=upstreams, order=order):
            return f"upstreams {', '.join(upstreams)} {order.value}"
        case PatchDeclaration(changed=changed, removed=removed):
            return f"declaration changed: {_list_names(changed, removed)}"
        case DeclarationReplaced():
            return "declaration replaced"


def _changed(old: dict[K, V], new: dict[K, V]) -> dict[K, V]:
    return {name: value for name, value in new.items() if old.get(name) != value}


def _removed(old: dict[K, V], new: dict[K, V]) -> tuple[K, ...]:
    return tuple(name for name in old if name not in new)


def _list_names(changed: Declaration, removed: RemovedNames) -> str:
    changed_names = [*changed.services, *changed.sites, *changed.workspaces, *changed.upstreams]
    removed_names = [*removed.services, *removed.sites, *removed.workspaces, *removed.upstreams]
    names = [str(name) for name in changed_names] + [f"-{name}" for name in removed_names]
    return ", ".join(names) or "nothing"
