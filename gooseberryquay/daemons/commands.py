"""Command that runs the entry daemon."""

import sys

from result import Err, Ok, Result

from gooseberryquay.contracts.settings import EntrySettings, Settings, SettingsProblem
from gooseberryquay.contracts.settings_file import load_settings
from gooseberryquay.daemons.entry import Entry
from gooseberryquay.daemons.serving import serve_until_signal
from gooseberryquay.ids import EntryId
from gooseberryquay.reports.log_setup import set_up_logs

__all__ = ["run_entry"]


def run_entry(base: str, overlay: str, name: str | None = None) -> None:
    """Serve callers until SIGTERM or SIGINT, then drain; exit with status 1 on invalid settings."""
    match load_settings(base, overlay):
        case Err(problems):
            _exit_with_problems(problems)
        case Ok(settings):
            match _select_entry(settings, overlay, name):
                case Err(problem):
                    _exit_with_problems([problem])
                case Ok(own):
                    _serve(settings, own, overlay)


def _serve(settings: Settings, own: EntrySettings, overlay: str) -> None:
    if settings.platform is None:
        _exit_with_problems(
            [SettingsProblem(overlay, "platform", "address", "", "an entry needs a platform")]
        )
        return
    set_up_logs(settings.log, own.id)
    serve_until_signal(Entry(settings, own, settings.platform))


def _select_entry(
    settings: Settings, overlay: str, name: str | None
) -> Result[EntrySettings, SettingsProblem]:
    allowed = ", ".join(settings.entries)
    if name is None and len(settings.entries) == 1:
        return Ok(next(iter(settings.entries.values())))
    own = settings.entries.get(EntryId(name or ""))
    if own is None:
        reason = f"--name must be one of: {allowed}"
        return Err(SettingsProblem(overlay, f"entry:{name}", "", "", reason))
    return Ok(own)


def _exit_with_problems(problems: list[SettingsProblem]) -> None:
    for problem in problems:
        print(problem, file=sys.stderr)
    sys.exit(1)
