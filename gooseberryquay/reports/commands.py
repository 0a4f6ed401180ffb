"""The `burn` command."""

import sys

from pydantic import ValidationError
from result import Err, Ok

from gooseberryquay.contracts.address_option import require_address
from gooseberryquay.contracts.fields import Address
from gooseberryquay.contracts.settings_file import load_settings
from gooseberryquay.ids import EntryId
from gooseberryquay.links.http_client import HttpClient
from gooseberryquay.links.platform_client import PlatformClient
from gooseberryquay.reports.burn_report import BurnReport, build_burn_report
from gooseberryquay.reports.burn_text import plot_burn, write_burn_text
from gooseberryquay.reports.level_api import SERVICE_LEVEL_PATH, ServiceLevelMessage
from gooseberryquay.reports.level_ledger import ServiceLevelLedger, merge_ledgers
from gooseberryquay.reports.level_store import read_stored_ledgers

__all__ = ["run_burn"]

EXIT_BAD_SETTINGS = 1
EXIT_PLATFORM_UNREACHABLE = 3
ENTRY_KIND = "entry"


def run_burn(base: str, platform: str, json: bool = False, plot: str | None = None) -> None:
    """Report the error budget burn of each workspace, summed over all entries.

    With --json the report is printed as JSON; --plot writes an image. Exit status 1: invalid
    settings, 3: the platform cannot be reached.
    """
    match load_settings(base):
        case Err(problems):
            print("\n".join(map(str, problems)), file=sys.stderr)
            sys.exit(EXIT_BAD_SETTINGS)
        case Ok(settings):
            address = require_address(platform)
            ledgers, missing = _collect_ledgers(PlatformClient(address))
    report = build_burn_report(merge_ledgers(ledgers), settings.declaration, missing)
    _print_report(report, json)
    if plot is not None:
        plot_burn(report, plot)


def _print_report(report: BurnReport, is_json: bool) -> None:
    print(report.model_dump_json(indent=2) if is_json else write_burn_text(report))


def _collect_ledgers(platform: PlatformClient) -> tuple[list[ServiceLevelLedger], tuple[str, ...]]:
    """Query every listed entry and use the stored counts of entries that do not respond."""
    match platform.instances():
        case Err(failure):
            print(failure.message, file=sys.stderr)
            sys.exit(EXIT_PLATFORM_UNREACHABLE)
        case Ok(instances):
            entries = [each for each in instances if each.kind == ENTRY_KIND]
    stored = read_stored_ledgers(platform)
    missing = []
    for entry in entries:
        current = _query_entry(entry.address)
        if current is not None:
            stored[EntryId(entry.id)] = current
        elif EntryId(entry.id) not in stored:
            missing.append(entry.id)
    return list(stored.values()), tuple(missing)


def _query_entry(address: Address) -> ServiceLevelLedger | None:
    client = HttpClient(*address)
    sent = client.send("GET", SERVICE_LEVEL_PATH)
    client.close()
    match sent:
        case Err(_):
            return None
        case Ok(reply):
            try:
                return ServiceLevelMessage.model_validate_json(reply.body).ledger
            except ValidationError:
                return None
