"""Command that runs soaks and keeps the logs of those that violated a guarantee."""

import sys
import tempfile
from collections import Counter
from pathlib import Path

from gooseberryquay.standins.node_platform.soak import CALLERS, Soak, SoakReport

__all__ = ["run_soak"]


ENTRIES_MAX = 100
VIOLATIONS_MAX = 40
THREADS_MAX = 1000


def run_soak(
    seed: int, seeds: int, entries: int, callers: int, folder: str, *, cuts: bool = False
) -> None:
    """Run seeds one after the other; the exit status is 1 if a guarantee was violated."""
    if not 1 <= entries <= ENTRIES_MAX:
        raise ValueError(f"entries is {entries}, but must be from 1 to {ENTRIES_MAX}")
    if not CALLERS <= callers <= THREADS_MAX:
        raise ValueError(f"callers is {callers}, but must be from {CALLERS} to {THREADS_MAX}")
    failed_seeds = 0
    for each in range(seed, seed + seeds):
        with tempfile.TemporaryDirectory() as scratch:
            soak = Soak(
                each,
                entries,
                Path(scratch),
                has_rate_limits=True,
                is_wide=True,
                callers=callers,
                has_cuts=cuts,
                has_unframed=True,
            )
            report = soak.run()
            print(_format_report(report), flush=True)
            if report.violations:
                failed_seeds += 1
                _keep_logs(Path(scratch), Path(folder) / f"soak-{each}")
    print(f"{seeds - failed_seeds} of {seeds} seeds kept every promise")
    sys.exit(1 if failed_seeds else 0)


def _format_report(report: SoakReport) -> str:
    line = (
        f"seed {report.seed}: {report.requests} requests, {report.served} served, "
        f"{report.stopped} stopped on an order, {report.stopped_unframed} of them unframed, "
        f"entries {report.memory_mb:.0f} MB, the soak lagged by up to {report.longest_lag_s:.2f} s"
    )
    if not report.violations:
        return line
    counts = Counter(each.violation.rule.value for each in report.violations)
    counted = ", ".join(f"{rule} {count}" for rule, count in counts.items())
    violations = map(str, report.violations[:VIOLATIONS_MAX])
    return "\n  ".join([f"{line}, {counted}; faults {' '.join(report.faults)}", *violations])


def _keep_logs(scratch: Path, folder: Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    for path in scratch.glob("*.log"):
        (folder / path.name).write_bytes(path.read_bytes())
