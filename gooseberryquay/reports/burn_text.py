"""Render burn reports as text and as a plot."""

import time

from gooseberryquay.reports.burn_report import BurnReport, BurnRow

__all__ = ["plot_burn", "write_burn_text"]

HEADER = ("workspace", "service", "kind", "promise", "5 min", "1 h", "6 h", "24 h", "left", "since")
SUSTAINABLE_BURN_RATE = 1.0


def write_burn_text(report: BurnReport) -> str:
    """Return the report as a text table, highest 5-minute burn rate first."""
    rows = sorted(report.rows, key=lambda row: row.windows[0].burn, reverse=True)
    table = [HEADER, *(_row_cells(row) for row in rows)]
    widths = [max(len(cells[column]) for cells in table) for column in range(len(HEADER))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(cells, widths, strict=True)).rstrip()
        for cells in table
    ]
    if report.missing_entries:
        lines.append(f"could not ask: {', '.join(report.missing_entries)}")
    return "\n".join(lines)


def _row_cells(row: BurnRow) -> tuple[str, ...]:
    burns = tuple(f"{window.burn:.2f}" for window in row.windows)
    since = "-"
    if row.burning_since_s is not None:
        since = time.strftime("%H:%M", time.gmtime(row.burning_since_s))
    left = f"{row.budget_left:.0%}"
    return (row.workspace, row.service, row.kind, row.promise.value, *burns, left, since)


def plot_burn(report: BurnReport, path: str) -> None:
    """Plot the burn rate of each row against the window length into an image file."""
    import matplotlib  # noqa: PLC0415

    matplotlib.use("Agg")
    from matplotlib import pyplot  # noqa: PLC0415

    figure, axes = pyplot.subplots(figsize=(10, 6))
    for row in report.rows:
        label = f"{row.workspace}/{row.service}/{row.kind} {row.promise.value}"
        hours = [window.window_s / 3600 for window in row.windows]
        axes.plot(hours, [window.burn for window in row.windows], marker="o", label=label)
    axes.axhline(SUSTAINABLE_BURN_RATE, color="black", linestyle="--")
    axes.set_xscale("log")
    axes.set_xlabel("window (h)")
    axes.set_ylabel("burn rate (1 spends the budget in its period)")
    axes.legend(fontsize="x-small")
    figure.savefig(path, bbox_inches="tight")
    pyplot.close(figure)
