"""Operator commands that read and change the accepted configuration."""

import getpass
from typing import NoReturn

from result import Err, Ok

from gooseberryquay.contracts import load_settings
from gooseberryquay.contracts.address_option import read_address
from gooseberryquay.contracts.fields import Address
from gooseberryquay.ids import Revision, UpstreamId, ZoneId
from gooseberryquay.links.platform_client import PlatformClient
from gooseberryquay.zones.command_outcome import CommandOutcome, OutcomeKind, finish, outcome_of
from gooseberryquay.zones.configuration import Configuration
from gooseberryquay.zones.configuration_change import (
    AcceptedChange,
    ConfigurationChange,
    ReplaceDeclaration,
    SetUpstreamOrder,
    SetZoneState,
    describe_change,
)
from gooseberryquay.zones.configuration_failure import ConfigurationUnavailable
from gooseberryquay.zones.configuration_store import ConfigurationStore
from gooseberryquay.zones.peer_configurations import read_newest_configuration
from gooseberryquay.zones.zone_state import UpstreamOrder, ZoneState

__all__ = ["ConfigCommands", "UpstreamCommands", "ZoneCommands"]


class ConfigCommands:
    """Apply, show and list accepted configurations."""

    def apply(
        self,
        base: str,
        platform: str,
        expected_revision: int | None = None,
        author: str | None = None,
        *,
        json: bool = False,
    ) -> None:
        """Apply a base file as the accepted declaration; create it if there is none yet.

        Exit status: 0 accepted, 1 checks failed, 2 conflict, 3 unavailable or undecided.
        """
        match load_settings(base):
            case Err(problems):
                texts = tuple(str(problem) for problem in problems)
                message = "\n".join(texts)
                kind = OutcomeKind.CHECKS_FAILED
                finish(CommandOutcome(outcome=kind, message=message, problems=texts), json)
            case Ok(settings):
                change = ReplaceDeclaration(declaration=settings.declaration)
                outcome = _change(platform, change, author, expected_revision)
                if outcome.outcome is OutcomeKind.NO_CONFIGURATION:
                    created = _store(platform).create(settings.declaration, _author(author))
                    outcome = outcome_of(created)
                finish(outcome, json)

    def show(self, platform: str, *, json: bool = False) -> None:
        """Show the accepted configuration."""
        match _store(platform).read():
            case Err(failure):
                finish(outcome_of(Err(failure)), json)
            case Ok(stored):
                configuration = stored.configuration
                outcome = CommandOutcome(
                    outcome=OutcomeKind.SHOWN,
                    message=_describe(configuration),
                    revision=configuration.revision,
                    configuration=configuration,
                )
                finish(outcome, json)

    def history(self, platform: str, *, json: bool = False) -> None:
        """List the most recent accepted changes, the latest first."""
        match _store(platform).read():
            case Err(failure):
                finish(outcome_of(Err(failure)), json)
            case Ok(stored):
                changes = tuple(reversed(stored.document.changes))
                outcome = CommandOutcome(
                    outcome=OutcomeKind.SHOWN,
                    message="\n".join(_describe_accepted(each) for each in changes),
                    revision=stored.configuration.revision,
                    changes=changes,
                )
                finish(outcome, json)

    def restore(
        self, *entries: str, platform: str, author: str | None = None, json: bool = False
    ) -> None:
        """Restore the newest configuration of entries that are given by control address."""
        if not entries:
            _reject("name the control address of at least one entry")
        configuration = read_newest_configuration(tuple(_address(entry) for entry in entries))
        if configuration is None:
            unavailable = ConfigurationUnavailable("no entry gave a configuration")
            finish(outcome_of(Err(unavailable)), json)
        finish(outcome_of(_store(platform).restore(configuration, _author(author))), json)


class ZoneCommands:
    """Take availability zones out of service and return them to it."""

    def out(
        self,
        *zones: str,
        platform: str,
        expected_revision: int | None = None,
        author: str | None = None,
        json: bool = False,
    ) -> None:
        """Stop new work for the upstreams of availability zones."""
        change = _zone_change(zones, ZoneState.OUT)
        finish(_change(platform, change, author, expected_revision), json)

    def back(
        self,
        *zones: str,
        platform: str,
        expected_revision: int | None = None,
        author: str | None = None,
        json: bool = False,
    ) -> None:
        """Allow new work for the upstreams of availability zones again."""
        change = _zone_change(zones, ZoneState.IN)
        finish(_change(platform, change, author, expected_revision), json)


class UpstreamCommands:
    """Drain upstreams and return them to service."""

    def __init__(self) -> None:
        setattr(self, "return", self.put_back)

    def drain(
        self,
        *upstreams: str,
        platform: str,
        expected_revision: int | None = None,
        author: str | None = None,
        json: bool = False,
    ) -> None:
        """Stop new work for upstreams; requests in progress continue."""
        change = _upstream_change(upstreams, UpstreamOrder.DRAIN)
        finish(_change(platform, change, author, expected_revision), json)

    def put_back(
        self,
        *upstreams: str,
        platform: str,
        expected_revision: int | None = None,
        author: str | None = None,
        json: bool = False,
    ) -> None:
        """Allow new work for upstreams again; also available as `return`."""
        change = _upstream_change(upstreams, UpstreamOrder.SERVE)
        finish(_change(platform, change, author, expected_revision), json)


def _zone_change(zones: tuple[str, ...], state: ZoneState) -> SetZoneState:
    if not zones:
        _reject("name at least one availability zone")
    return SetZoneState(zones=tuple(ZoneId(str(zone)) for zone in zones), state=state)


def _upstream_change(upstreams: tuple[str, ...], order: UpstreamOrder) -> SetUpstreamOrder:
    if not upstreams:
        _reject("name at least one upstream")
    names = tuple(UpstreamId(str(upstream)) for upstream in upstreams)
    return SetUpstreamOrder(upstreams=names, order=order)


def _change(
    platform: str, change: ConfigurationChange, author: str | None, expected_revision: int | None
) -> CommandOutcome:
    expected = None if expected_revision is None else Revision(expected_revision)
    return outcome_of(_store(platform).apply(change, _author(author), expected))


def _store(platform: str) -> ConfigurationStore:
    return ConfigurationStore(PlatformClient(_address(platform)))


def _address(text: str) -> Address:
    found = read_address(text)
    if isinstance(found, Err):
        _reject(str(found.err_value))
    return found.ok_value


def _reject(message: str) -> NoReturn:
    kind = OutcomeKind.CHECKS_FAILED
    outcome = CommandOutcome(outcome=kind, message=message, problems=(message,))
    finish(outcome, is_json=False)


def _author(author: str | None) -> str:
    return author or getpass.getuser()


def _describe(configuration: Configuration) -> str:
    declaration = configuration.declaration
    lines = [
        f"revision {configuration.revision}",
        f"services: {', '.join(declaration.services)}",
        f"workspaces: {len(declaration.workspaces)}",
        f"upstreams: {len(declaration.upstreams)}",
    ]
    for zone in sorted(declaration.zones()):
        lines.append(f"zone {zone}: {configuration.zone_states.get(zone, ZoneState.IN).value}")
    for upstream, order in configuration.upstream_orders.items():
        lines.append(f"upstream {upstream}: {order.value}")
    return "\n".join(lines)


def _describe_accepted(accepted: AcceptedChange) -> str:
    described = describe_change(accepted.change)
    return f"{accepted.revision} {accepted.author} {accepted.change_id} {described}"
