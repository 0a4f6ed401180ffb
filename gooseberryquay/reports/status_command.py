"""The `status` command."""

import sys

from pydantic import BaseModel, ValidationError
from result import Err, Ok

from gooseberryquay.contracts.address_option import require_address
from gooseberryquay.contracts.fields import Address
from gooseberryquay.links.http_client import HttpClient
from gooseberryquay.links.platform_client import PlatformClient
from gooseberryquay.links.platform_messages import InstanceEntry
from gooseberryquay.reports.entry_status import EntryStatus

__all__ = ["run_status"]

STATUS_PATH = "/status"
ENTRY_KIND = "entry"
EXIT_PLATFORM_UNREACHABLE = 3


class FleetStatus(BaseModel):
    """Collect the status of each listed entry; `silent` names those that did not respond."""

    entries: tuple[EntryStatus, ...]
    silent: tuple[str, ...]


def run_status(platform: str, json: bool = False) -> None:
    """Show the revision, load and view of upstreams of every entry that the platform lists.

    Exit status 3: the platform cannot be reached.
    """
    address = require_address(platform)
    match PlatformClient(address).instances():
        case Err(failure):
            print(failure.message, file=sys.stderr)
            sys.exit(EXIT_PLATFORM_UNREACHABLE)
        case Ok(instances):
            status = _query_entries([each for each in instances if each.kind == ENTRY_KIND])
    print(status.model_dump_json(indent=2) if json else _format_status(status))


def _query_entries(instances: list[InstanceEntry]) -> FleetStatus:
    statuses = {each.id: _query_entry(each.address) for each in instances}
    return FleetStatus(
        entries=tuple(status for status in statuses.values() if status is not None),
        silent=tuple(name for name, status in statuses.items() if status is None),
    )


def _query_entry(address: Address) -> EntryStatus | None:
    client = HttpClient(*address)
    sent = client.send("GET", STATUS_PATH)
    client.close()
    match sent:
        case Err(_):
            return None
        case Ok(reply):
            try:
                return EntryStatus.model_validate_json(reply.body)
            except ValidationError:
                return None


def _format_status(status: FleetStatus) -> str:
    lines = []
    for entry in status.entries:
        state = "leaving" if entry.is_leaving else "serving"
        lines.append(
            f"{entry.entry}: {state}, revision {entry.revision}"
            f" (confirmed {entry.confirmed_age_s:.1f} s ago), {entry.in_flight} in flight,"
            f" {entry.queued} queued, {len(entry.peers)} live entries"
        )
        lines += [
            f"  {each.id} ({each.service}, {each.zone}): {each.view}"
            f"{', silent' if each.is_silent else ''}, {each.own_in_flight} own in flight"
            for each in entry.upstreams
        ]
    lines += [f"{name}: no answer" for name in status.silent]
    return "\n".join(lines)
