"""Burn rate of the error budget of each workspace."""

import time

from pydantic import BaseModel

from gooseberryquay.contracts.declaration import Declaration
from gooseberryquay.ids import ServiceId
from gooseberryquay.reports.indicator import Indicator, IndicatorCounts
from gooseberryquay.reports.level_ledger import MINUTE_S, ServiceLevelLedger

__all__ = ["BurnReport", "BurnRow", "WindowBurn", "build_burn_report"]

WINDOWS_S = (300, 3600, 6 * 3600, 24 * 3600)
BUDGET_WINDOW_S = 24 * 3600
DEFAULT_OBJECTIVE = 0.95


class WindowBurn(BaseModel):
    """Represent the burn rate over one window; at 1 the budget lasts exactly for its period."""

    window_s: int
    due: int
    broken: int
    burn: float


class BurnRow(BaseModel):
    """Represent the burn of one indicator for one workspace, service and kind of work."""

    workspace: str
    service: str
    kind: str
    promise: Indicator
    objective: float
    windows: tuple[WindowBurn, ...]
    budget_left: float
    burning_since_s: float | None


class BurnReport(BaseModel):
    """Collect all rows and the entries whose counts are missing."""

    made_at_s: float
    rows: tuple[BurnRow, ...]
    missing_entries: tuple[str, ...] = ()


def build_burn_report(
    ledger: ServiceLevelLedger,
    declaration: Declaration,
    missing_entries: tuple[str, ...] = (),
    now_s: float | None = None,
) -> BurnReport:
    """Compute the burn of every key and indicator with counted events; times are in seconds."""
    made_at_s = time.time() if now_s is None else now_s
    rows = [
        _build_row(ledger, declaration, key, indicator, made_at_s)
        for key in sorted(ledger.keys_with_counts())
        for indicator in Indicator
    ]
    counted = tuple(row for row in rows if any(window.due for window in row.windows))
    return BurnReport(made_at_s=made_at_s, rows=counted, missing_entries=missing_entries)


def _build_row(
    ledger: ServiceLevelLedger,
    declaration: Declaration,
    key: str,
    indicator: Indicator,
    now_s: float,
) -> BurnRow:
    workspace, service, kind = key.split("/", 2)
    declared = declaration.services.get(ServiceId(service))
    objective = declared.objective if declared else DEFAULT_OBJECTIVE
    windows = tuple(
        _build_window(ledger.counts_since(now_s - window_s, key, indicator), window_s, objective)
        for window_s in WINDOWS_S
    )
    return BurnRow(
        workspace=workspace,
        service=service,
        kind=kind,
        promise=indicator,
        objective=objective,
        windows=windows,
        budget_left=1.0 - windows[-1].burn,
        burning_since_s=_burning_since(ledger, key, indicator, objective),
    )


def _build_window(counts: IndicatorCounts, window_s: int, objective: float) -> WindowBurn:
    return WindowBurn(
        window_s=window_s,
        due=counts.due,
        broken=counts.broken,
        burn=_burn_rate(counts, objective),
    )


def _burn_rate(counts: IndicatorCounts, objective: float) -> float:
    if counts.due == 0:
        return 0.0
    return counts.broken / counts.due / (1.0 - objective)


def _burning_since(
    ledger: ServiceLevelLedger, key: str, indicator: Indicator, objective: float
) -> float | None:
    """Return the start of the latest uninterrupted series of minutes with a burn rate above 1."""
    since: float | None = None
    for number in sorted(ledger.minutes, reverse=True):
        counts = ledger.minutes[number].get(key, {}).get(indicator, IndicatorCounts())
        if counts.due and _burn_rate(counts, objective) <= 1.0:
            return since
        if counts.due:
            since = float(number * MINUTE_S)
    return since
