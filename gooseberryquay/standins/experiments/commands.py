"""Commands of the experiments with fleets of processes."""

from gooseberryquay.standins.experiments.brown_out import (
    BrownOut,
    BrownOutExperiment,
    BrownOutPlan,
)
from gooseberryquay.standins.experiments.ramp_experiment import RampExperiment
from gooseberryquay.standins.experiments.rule_experiment import RuleExperiment, describe_summary
from gooseberryquay.standins.experiments.zone_experiment import ZoneExperiment

__all__ = ["ExperimentCommands"]

ALL_RULES = "round_robin,least_in_flight,power_of_two,expected_memory"
ALL_BROWN_OUTS = "engines_refuse,engines_hang,lookups_lost,lookups_hang"


def _split(names: object) -> list[str]:
    parts = names.split(",") if isinstance(names, str) else list(names)  # type: ignore[call-overload]
    return [str(part) for part in parts]


class ExperimentCommands:
    """Measure a fleet of the size of the current deployment on this machine."""

    def rules(
        self,
        *,
        load: float = 0.9,
        seeds: int = 1,
        first_seed: int = 1,
        duration_s: float = 30.0,
        report_lag_s: float = 1.0,
        rules: str = ALL_RULES,
    ) -> None:
        """Print the measurements of each upstream selection rule for each seed."""
        experiment = RuleExperiment(load, duration_s, report_lag_s)
        for seed in range(first_seed, first_seed + seeds):
            for summary in experiment.run(_split(rules), seed):
                print(describe_summary(summary), flush=True)

    def zone(
        self, load: float = 0.7, seeds: int = 1, first_seed: int = 1, duration_s: float = 45.0
    ) -> None:
        """Take a zone out and back in under load and print the effect on callers and engines."""
        for seed in range(first_seed, first_seed + seeds):
            result = ZoneExperiment(load, duration_s).run(seed)
            print(describe_summary(result.summary))
            print(f"  arrivals in the zone from 3 s after it went out: {result.arrivals_while_out}")
            print(f"  arrivals in the zone after its return: {result.arrivals_after_return}")
            print(f"  longest gap between tokens: {result.summary.token_gap.max_ms:.0f} ms")
            print(f"  refusals: {result.summary.refusals}  failures: {result.summary.failures}")

    def brownout(self, kinds: str = ALL_BROWN_OUTS, seeds: int = 1) -> None:
        """Make all upstreams of a service fail for 10 s and print the attempts they counted."""
        for kind in map(BrownOut, _split(kinds)):
            for seed in range(1, seeds + 1):
                result = BrownOutExperiment(BrownOutPlan(kind)).run(seed)
                print(result.describe(kind), flush=True)

    def ramp(
        self,
        caps: str = "1,2,3,4",
        load: float = 0.5,
        cold_s: float = 10.0,
        seeds: int = 1,
        duration_s: float = 45.0,
    ) -> None:
        """Bring a zone of cold engines back and print the time until it carries its share."""
        for cap in map(int, _split([caps] if isinstance(caps, int) else caps)):
            for seed in range(1, seeds + 1):
                result = RampExperiment(cap, load, cold_s, duration_s).run(seed)
                print(result.describe(cap, cold_s), flush=True)
