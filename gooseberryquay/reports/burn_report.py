"""How fast each workspace's error budget is being spent."""

import time

from pydantic import BaseModel

from gooseberryquay.contracts.declaration import Declaration
from gooseberryquay.ids import ServiceId
from gooseberryquay.reports.level_ledger import MINUTE_S, LevelLedger
from gooseberryquay.reports.promise import Promise, PromiseCounts

__all__ = ["BurnReport", "BurnRow", "WindowBurn", "build_burn_report"]

WINDOWS_S = (300, 3600, 6 * 3600, 24 * 3600)
BUDGET_WINDOW_S = 24 * 3600
DEFAULT_OBJECTIVE = 0.95


class WindowBurn(BaseModel):
    """Hold the burn over one window; 1 spends the budget exactly over the budget's period."""

    window_s: int
    due: int
    broken: int
    burn: float


class BurnRow(BaseModel):
    """Hold one promise of one workspace, service and kind."""

    workspace: str
    service: str
    kind: str
    promise: Promise
    objective: float
    windows: tuple[WindowBurn, ...]
    budget_left: float
    burning_since_s: float | None


class BurnReport(BaseModel):
    """Hold all rows, and which entries could not be asked."""

    made_at_s: float
    rows: tuple[BurnRow, ...]
    missing_entries: tuple[str, ...] = ()


def build_burn_report(
    ledger: LevelLedger,
    declaration: Declaration,
    missing_entries: tuple[str, ...] = (),
    now_s: float | None = None,
) -> BurnReport:
    """Work out the burn of every key and promise that was due."""
    made_at_s = time.time() if now_s is None else now_s
    rows = [
        _build_row(ledger, declaration, key, promise, made_at_s)
        for key in sorted(ledger.key_names())
        for promise in Promise
    ]
    due = tuple(row for row in rows if any(window.due for window in row.windows))
    return BurnReport(made_at_s=made_at_s, rows=due, missing_entries=missing_entries)


def _build_row(
    ledger: LevelLedger, declaration: Declaration, key: str, promise: Promise, now_s: float
) -> BurnRow:
    workspace, service, kind = key.split("/", 2)
    declared = declaration.services.get(ServiceId(service))
    objective = declared.objective if declared else DEFAULT_OBJECTIVE
    windows = tuple(
        _burn_of(ledger.counts_since(now_s - window_s, key, promise), window_s, objective)
        for window_s in WINDOWS_S
    )
    return BurnRow(
        workspace=workspace,
        service=service,
        kind=kind,
        promise=promise,
        objective=objective,
        windows=windows,
        budget_left=1.0 - windows[-1].burn,
        burning_since_s=_burning_since(ledger, key, promise, objective),
    )


def _burn_of(counts: PromiseCounts, window_s: int, objective: float) -> WindowBurn:
    return WindowBurn(
        window_s=window_s,
        due=counts.due,
        broken=counts.broken,
        burn=_burn_rate(counts, objective),
    )


def _burn_rate(counts: PromiseCounts, objective: float) -> float:
    if counts.due == 0:
        return 0.0
    return counts.broken / counts.due / (1.0 - objective)


def _burning_since(
    ledger: LevelLedger, key: str, promise: Promise, objective: float
) -> float | None:
    """Give the start of the latest unbroken run of minutes that burn too fast."""
    since: float | None = None
    for number in sorted(ledger.minutes, reverse=True):
        counts = ledger.minutes[number].get(key, {}).get(promise, PromiseCounts())
        if counts.due and _burn_rate(counts, objective) <= 1.0:
            return since
        if counts.due:
            since = float(number * MINUTE_S)
    return since
