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
from gooseberryquay.reports.level_api import LEVEL_PATH, LevelMessage
from gooseberryquay.reports.level_ledger import LevelLedger, join_ledgers
from gooseberryquay.reports.level_store import read_stored_ledgers

__all__ = ["run_burn"]

BAD_SETTINGS_STATUS = 1
PLATFORM_STATUS = 3
ENTRY_KIND = "entry"


def run_burn(base: str, platform: str, json: bool = False, plot: str | None = None) -> None:
    """Report how fast each workspace's error budget is spent, from all entries.

    With --json the report is JSON; --plot writes an image. Exit status 1: bad settings, 3: the
    platform cannot be reached.
    """
    match load_settings(base):
        case Err(problems):
            print("\n".join(map(str, problems)), file=sys.stderr)
            sys.exit(BAD_SETTINGS_STATUS)
        case Ok(settings):
            address = require_address(platform)
            ledgers, missing = _gather(PlatformClient(address))
    report = build_burn_report(join_ledgers(ledgers), settings.declaration, missing)
    _show(report, json)
    if plot is not None:
        plot_burn(report, plot)


def _show(report: BurnReport, is_json: bool) -> None:
    print(report.model_dump_json(indent=2) if is_json else write_burn_text(report))


def _gather(platform: PlatformClient) -> tuple[list[LevelLedger], tuple[str, ...]]:
    """Ask every listed entry, and take the saved counts of all others."""
    match platform.instances():
        case Err(failure):
            print(failure.message, file=sys.stderr)
            sys.exit(PLATFORM_STATUS)
        case Ok(instances):
            entries = [each for each in instances if each.kind == ENTRY_KIND]
    saved = read_stored_ledgers(platform)
    missing = []
    for entry in entries:
        asked = _ask(entry.address)
        if asked is not None:
            saved[EntryId(entry.id)] = asked
        elif EntryId(entry.id) not in saved:
            missing.append(entry.id)
    return list(saved.values()), tuple(missing)


def _ask(address: Address) -> LevelLedger | None:
    client = HttpClient(*address)
    sent = client.send("GET", LEVEL_PATH)
    client.close()
    match sent:
        case Err(_):
            return None
        case Ok(reply):
            try:
                return LevelMessage.model_validate_json(reply.body).ledger
            except ValidationError:
                return None
