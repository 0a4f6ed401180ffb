"""Return of a zone of cold engines under load, with the time until it carries its share."""

import threading
import time
from dataclasses import dataclass, replace

from gooseberryquay.ids import ZoneId
from gooseberryquay.links.platform_client import PlatformClient
from gooseberryquay.standins.engine_faults import TurnCold
from gooseberryquay.standins.experiments.fleet_load import build_fleet_plan, build_load_plan
from gooseberryquay.standins.fleet_plan import FleetPlan
from gooseberryquay.standins.load.sharded_run import ShardedLoadRun
from gooseberryquay.standins.load.summary import VariantSummary
from gooseberryquay.standins.load.variant import LoadOptions, Variant
from gooseberryquay.standins.local_fleet import LocalFleet
from gooseberryquay.zones.configuration_change import SetZoneState
from gooseberryquay.zones.configuration_store import ConfigurationStore
from gooseberryquay.zones.zone_state import ZoneState

__all__ = ["RampExperiment", "RampResult"]

RULE = "expected_memory"
REPORT_LAG_S = 1.0
# The processes of the load tool need this time to start.
RETURN_AT_S = 15.0
COLD_BEFORE_S = 4.0
SAMPLE_S = 0.5
WINDOW_SAMPLES = 4
SHARE_CARRIED = 0.9
OVERLOAD_GRACE_S = 60.0
LOAD_PROCESSES = 2
DRAIN_S = 15.0
OPERATOR = "experiment"


@dataclass
class RampResult:
    """Results of a run; times count from the change that brought the zone back.

    The share is the zone's fraction of all tokens of the last 2 s. It counts as carried from 0.9 of
    the fraction that an even distribution over all engines gives.
    """

    summary: VariantSummary
    first_token_s: float | None
    share_carried_s: float | None
    cold_cap_exceeded: int
    peak_cold_in_flight: int

    def describe(self, cap: int, cold_s: float) -> str:
        """Return the results as one line."""
        refused = sum(self.summary.refusals.values())
        return (
            f"cap {cap} cold {cold_s:.0f} s seed {self.summary.seed}"
            f"  first token {_format_time(self.first_token_s)}"
            f"  share {_format_time(self.share_carried_s)}"
            f"  cap exceeded {self.cold_cap_exceeded} peak cold {self.peak_cold_in_flight}"
            f"  refused {refused} broken {sum(self.summary.failures.values())}"
            f"  gap p99 {self.summary.token_gap.p99_ms:.1f} ms"
        )


class RampExperiment:
    """Run a load with one zone out at the start, whose engines are cold when it returns."""

    def __init__(self, cap: int, load: float, cold_s: float, duration_s: float) -> None:
        self._cap = cap
        self._load = load
        self._cold_s = cold_s
        self._duration_s = duration_s

    def run(self, seed: int) -> RampResult:
        """Run one seed and return the results."""
        plan = build_load_plan(self._load, self._duration_s, seed)
        with LocalFleet(_fleet_plan(self._cap)) as fleet:
            restorer = _ZoneRestorer(fleet, self._cold_s, self._duration_s)
            restorer.set_state(ZoneState.OUT)
            restorer.start()
            variant = Variant(RULE, fleet.entry_addresses())
            options = LoadOptions(drain_s=DRAIN_S)
            (summary,) = ShardedLoadRun(plan, [variant], options, LOAD_PROCESSES).run()
            restorer.join()
            counts = [fleet.engine_counts(each) for each in restorer.zone_engines]
        return RampResult(
            summary=summary,
            first_token_s=restorer.first_token_s,
            share_carried_s=restorer.share_carried_s,
            cold_cap_exceeded=sum(each.cold_cap_exceeded for each in counts),
            peak_cold_in_flight=max(each.peak_cold_in_flight for each in counts),
        )


class _ZoneRestorer(threading.Thread):
    """Bring the first zone back with cold engines and sample the tokens of all engines."""

    def __init__(self, fleet: LocalFleet, cold_s: float, duration_s: float) -> None:
        super().__init__(daemon=True)
        self._fleet = fleet
        self._cold_s = cold_s
        self._sample_time_s = duration_s - RETURN_AT_S
        self._zone: ZoneId = fleet.plan.zones[0]
        self._store = ConfigurationStore(PlatformClient(fleet.addresses.own["platform"]))
        names = fleet.plan.engine_names()
        self.zone_engines = [
            each for each in names if fleet.plan.zone_of(names, each) == self._zone
        ]
        self.first_token_s: float | None = None
        self.share_carried_s: float | None = None

    def set_state(self, state: ZoneState) -> None:
        """Take the zone out or bring it back in."""
        change = SetZoneState(zones=(self._zone,), state=state)
        self._store.apply(change, OPERATOR).unwrap()

    def run(self) -> None:
        """Bring the zone back cold, and sample until it carries its share or the load ends."""
        time.sleep(RETURN_AT_S - COLD_BEFORE_S)
        for name in self.zone_engines:
            self._fleet.inject(name, TurnCold(cold_s=COLD_BEFORE_S + self._cold_s))
        time.sleep(COLD_BEFORE_S)
        self.set_state(ZoneState.IN)
        returned_at_s = time.monotonic()
        samples = [self._read_tokens()]
        while time.monotonic() - returned_at_s < self._sample_time_s:
            time.sleep(SAMPLE_S)
            samples.append(self._read_tokens())
            self._update_times(samples, time.monotonic() - returned_at_s)
            if self.share_carried_s is not None:
                return

    def _update_times(self, samples: list[dict[str, int]], elapsed_s: float) -> None:
        first, last = samples[0], samples[-1]
        if self.first_token_s is None and any(
            last[each] > first[each] for each in self.zone_engines
        ):
            self.first_token_s = elapsed_s
        if len(samples) <= WINDOW_SAMPLES:
            return
        before = samples[-1 - WINDOW_SAMPLES]
        added = {name: last[name] - before[name] for name in last}
        share = sum(added[each] for each in self.zone_engines) / max(1, sum(added.values()))
        if share >= SHARE_CARRIED * len(self.zone_engines) / len(added):
            self.share_carried_s = elapsed_s

    def _read_tokens(self) -> dict[str, int]:
        names = self._fleet.plan.engine_names()
        return {name: self._fleet.engine_counts(name).tokens for name in names}


def _fleet_plan(cap: int) -> FleetPlan:
    plan = build_fleet_plan(RULE, REPORT_LAG_S)
    engine_options = {
        **plan.engine_options,
        "cold_capacity": cap,
        "overload_grace_s": OVERLOAD_GRACE_S,
    }
    return replace(
        plan, engine_options=engine_options, upstream_options={"cold_in_flight_max": cap}
    )


def _format_time(time_s: float | None) -> str:
    return "never" if time_s is None else f"{time_s:.1f} s"
