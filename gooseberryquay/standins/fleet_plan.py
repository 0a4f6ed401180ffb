"""Members of a local fleet, and its settings files."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from gooseberryquay.contracts.fields import Address
from gooseberryquay.ids import ServiceId, WorkspaceId, ZoneId
from gooseberryquay.standins.process import find_free_port

__all__ = ["FleetAddresses", "FleetPlan", "base_ini", "overlay_ini"]

LOOPBACK = "127.0.0.1"


@dataclass(frozen=True)
class FleetPlan:
    """Composition of a local fleet; members are assigned to zones round-robin.

    `engine_options` are fields of `EngineSettings`; `upstream_options` and `limits` are keys of the
    sections of the base file. With `has_proxies`, every upstream and the platform are reached
    through a fault proxy.
    """

    entries: int = 2
    engines: int = 3
    services: int = 1
    zones: tuple[ZoneId, ...] = (ZoneId("zone-a"), ZoneId("zone-b"), ZoneId("zone-c"))
    workspaces: tuple[WorkspaceId, ...] = (WorkspaceId("clerks"), WorkspaceId("plant"))
    model: ServiceId = ServiceId("yield-model")
    plain_service: ServiceId = ServiceId("ledger-app")
    operations: tuple[str, ...] = ("post-weights", "find-lot")
    never_repeat: tuple[str, ...] = ("post-weights",)
    engine_options: Mapping[str, object] = field(default_factory=dict)
    service_options: Mapping[str, object] = field(default_factory=dict)
    upstream_options: Mapping[str, object] = field(default_factory=dict)
    model_options: Mapping[str, object] = field(default_factory=dict)
    limits: Mapping[str, object] = field(default_factory=dict)
    choice: Mapping[str, object] = field(default_factory=dict)
    has_proxies: bool = False

    def engine_names(self) -> list[str]:
        """Return the names of the engines."""
        return [f"engine-{number}" for number in range(1, self.engines + 1)]

    def service_names(self) -> list[str]:
        """Return the names of the plain services."""
        return [f"service-{number}" for number in range(1, self.services + 1)]

    def entry_names(self) -> list[str]:
        """Return the names of the entries."""
        return [f"entry-{number}" for number in range(1, self.entries + 1)]

    def zone_of(self, names: list[str], name: str) -> ZoneId:
        """Return the zone of a member."""
        return self.zones[names.index(name) % len(self.zones)]


class FleetAddresses:
    """Own address of each member, and the address at which entries reach it."""

    def __init__(self, plan: FleetPlan) -> None:
        upstreams = plan.engine_names() + plan.service_names()
        self.own = {name: _free_address() for name in ["platform", *upstreams]}
        self.advertised = dict(self.own)
        if plan.has_proxies:
            self.advertised = {name: _free_address() for name in self.own}
        self.entries = {name: _free_address() for name in plan.entry_names()}
        self.controls = {name: _free_address() for name in plan.entry_names()}


def base_ini(plan: FleetPlan, addresses: FleetAddresses) -> str:
    """Return the text of the base settings file."""
    sections = [
        _section(f"service:{plan.model}", {"kind": "model", **plan.model_options}),
        _section(
            f"service:{plan.plain_service}",
            {
                "kind": "plain",
                "operations": ", ".join(plan.operations),
                "never_repeat": ", ".join(plan.never_repeat),
            },
        ),
        _section("site:local", {"zones": ", ".join(plan.zones)}),
        *(_section(f"workspace:{each}", {"weight": 1}) for each in plan.workspaces),
        _section("platform", {"address": addresses.advertised["platform"]}),
        _section("limits", plan.limits),
        _section("choice", plan.choice),
    ]
    for service, names in _upstream_names(plan).items():
        for name in names:
            keys = {
                "service": service,
                "zone": plan.zone_of(names, name),
                "address": addresses.advertised[name],
                **plan.upstream_options,
            }
            sections.append(_section(f"upstream:{name}", keys))
    return "\n".join(sections)


def overlay_ini(plan: FleetPlan, addresses: FleetAddresses) -> str:
    """Return the text of the overlay settings file, with every entry."""
    sections = [_section("site", {"name": "local"})]
    for name in plan.entry_names():
        keys = {
            "zone": plan.zone_of(plan.entry_names(), name),
            "address": addresses.entries[name],
            "control_address": addresses.controls[name],
        }
        sections.append(_section(f"entry:{name}", keys))
    return "\n".join(sections)


def _upstream_names(plan: FleetPlan) -> dict[ServiceId, list[str]]:
    return {plan.model: plan.engine_names(), plan.plain_service: plan.service_names()}


def _section(name: str, keys: Mapping[str, object]) -> str:
    lines = [f"[{name}]", *(f"{key} = {value}" for key, value in keys.items())]
    return "\n".join(lines) + "\n"


def _free_address() -> Address:
    return Address(LOOPBACK, find_free_port(LOOPBACK))
