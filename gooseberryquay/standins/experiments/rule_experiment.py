"""Comparison of the upstream selection rules through entries, with the same arrivals."""

from collections.abc import Iterator

from gooseberryquay.standins.experiments.fleet_load import build_fleet_plan, build_load_plan
from gooseberryquay.standins.load.sharded_run import ShardedLoadRun
from gooseberryquay.standins.load.summary import VariantSummary
from gooseberryquay.standins.load.variant import LoadOptions, Variant
from gooseberryquay.standins.local_fleet import LocalFleet

__all__ = ["RuleExperiment", "describe_summary"]

LOAD_PROCESSES = 2
DRAIN_S = 20.0


class RuleExperiment:
    """Run the rules one after another with the same seed, each with a new fleet."""

    def __init__(self, load: float, duration_s: float, report_lag_s: float) -> None:
        self._load = load
        self._duration_s = duration_s
        self._report_lag_s = report_lag_s

    def run(self, rules: list[str], seed: int) -> Iterator[VariantSummary]:
        """Yield the summary of each rule for one seed."""
        plan = build_load_plan(self._load, self._duration_s, seed)
        options = LoadOptions(drain_s=DRAIN_S)
        for rule in rules:
            with LocalFleet(build_fleet_plan(rule, self._report_lag_s)) as fleet:
                variant = Variant(rule, fleet.entry_addresses(), fleet.upstream_addresses())
                yield from ShardedLoadRun(plan, [variant], options, LOAD_PROCESSES).run()


def describe_summary(summary: VariantSummary) -> str:
    """Return the measurements of one run as one line."""
    counts = summary.upstreams
    kinds = summary.kinds.values()
    calls = sum(kind.calls for kind in kinds)
    refused = sum(kind.refused for kind in kinds)
    broken = sum(kind.broken for kind in kinds)
    return (
        f"{summary.variant:16} seed {summary.seed}"
        f"  preemptions {counts.preemptions if counts else -1:5}"
        f"  stall {counts.stall_s if counts else -1.0:7.1f} s"
        f"  gap p95 {summary.token_gap.p95_ms:6.1f} p99 {summary.token_gap.p99_ms:6.1f}"
        f" p99.9 {summary.token_gap.p999_ms:7.1f} ms"
        f"  first token p95 {summary.first_token.p95_ms:7.1f} ms"
        f"  refused {refused}/{calls}  broken {broken}"
        f"  cold cap exceeded {counts.cold_cap_exceeded if counts else -1}"
        f"  duplicate runs {counts.duplicate_runs if counts else -1}"
        f"  wrong tokens {summary.foreign_tokens + summary.out_of_order_tokens}"
        f"  tool lag p99 {summary.start_lag.p99_ms:.1f} ms"
    )
