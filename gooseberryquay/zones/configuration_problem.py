"""Validation of proposed configuration changes."""

from collections.abc import Iterator
from dataclasses import dataclass

from gooseberryquay.contracts.declaration import Declaration
from gooseberryquay.contracts.service import ServiceKind
from gooseberryquay.ids import UpstreamId, ZoneId
from gooseberryquay.zones.configuration import Configuration
from gooseberryquay.zones.configuration_change import (
    ConfigurationChange,
    ReplaceDeclaration,
    SetUpstreamOrder,
    SetZoneState,
)

__all__ = [
    "ConfigurationProblem",
    "InvalidDeclaration",
    "UnknownUpstream",
    "UnknownZone",
    "check_change",
    "check_declaration",
]


@dataclass(frozen=True)
class UnknownZone:
    """Report an availability zone that no site declares."""

    zone: ZoneId
    declared: tuple[ZoneId, ...]

    def __str__(self) -> str:
        return f"availability zone {self.zone} is unknown; declared: {', '.join(self.declared)}"


@dataclass(frozen=True)
class UnknownUpstream:
    """Report an upstream that is not declared."""

    upstream: UpstreamId

    def __str__(self) -> str:
        return f"upstream {self.upstream} is not declared"


@dataclass(frozen=True)
class InvalidDeclaration:
    """Report a declared name whose declaration is inconsistent with the rest."""

    name: str
    reason: str

    def __str__(self) -> str:
        return f"{self.name}: {self.reason}"


ConfigurationProblem = UnknownZone | UnknownUpstream | InvalidDeclaration


def check_change(
    configuration: Configuration, change: ConfigurationChange
) -> tuple[ConfigurationProblem, ...]:
    """Return all problems for which a change must be rejected."""
    match change:
        case ReplaceDeclaration(declaration=declaration):
            return check_declaration(declaration)
        case SetZoneState(zones=zones):
            declared = configuration.declaration.zones()
            unknown = tuple(zone for zone in zones if zone not in declared)
            return tuple(UnknownZone(zone, tuple(sorted(declared))) for zone in unknown)
        case SetUpstreamOrder(upstreams=upstreams):
            names = configuration.declaration.upstreams
            return tuple(UnknownUpstream(each) for each in upstreams if each not in names)


def check_declaration(declaration: Declaration) -> tuple[ConfigurationProblem, ...]:
    """Return all inconsistencies within a declaration."""
    return (
        *_check_names(declaration),
        *_check_services(declaration),
        *_check_upstreams(declaration),
    )


def _check_names(declaration: Declaration) -> Iterator[InvalidDeclaration]:
    for kind in (
        declaration.services,
        declaration.sites,
        declaration.workspaces,
        declaration.upstreams,
    ):
        for name, declared in kind.items():
            if declared.id != name:
                yield InvalidDeclaration(name, f"is declared under the id {declared.id}")
    if not declaration.zones():
        yield InvalidDeclaration("sites", "no availability zone is declared")


def _check_services(declaration: Declaration) -> Iterator[InvalidDeclaration]:
    for service in declaration.services.values():
        for operation in service.never_repeat:
            if operation not in service.operations:
                yield InvalidDeclaration(service.id, f"{operation} is not one of its operations")
        if service.kind is ServiceKind.PLAIN and not service.operations:
            yield InvalidDeclaration(service.id, "a plain service needs at least one operation")


def _check_upstreams(declaration: Declaration) -> Iterator[InvalidDeclaration]:
    zones = declaration.zones()
    for upstream in declaration.upstreams.values():
        if upstream.service not in declaration.services:
            yield InvalidDeclaration(upstream.id, f"service {upstream.service} is not declared")
        if upstream.zone not in zones:
            reason = f"availability zone {upstream.zone} is not declared"
            yield InvalidDeclaration(upstream.id, reason)
