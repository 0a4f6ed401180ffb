"""Take a zone out and back under load, and count what callers and its engines saw."""

import threading
import time
from dataclasses import dataclass

from gooseberryquay.ids import ZoneId
from gooseberryquay.links.platform_client import PlatformClient
from gooseberryquay.standins.experiments.fleet_load import build_fleet_plan, build_load_plan
from gooseberryquay.standins.load.sharded_run import ShardedLoadRun
from gooseberryquay.standins.load.summary import VariantSummary
from gooseberryquay.standins.load.variant import LoadOptions, Variant
from gooseberryquay.standins.local_fleet import LocalFleet
from gooseberryquay.zones.configuration_change import ConfigurationChange, SetZoneState
from gooseberryquay.zones.configuration_store import ConfigurationStore
from gooseberryquay.zones.zone_state import ZoneState

__all__ = ["ZoneExperiment", "ZoneResult"]

RULE = "expected_memory"
REPORT_LAG_S = 1.0
GRACE_S = 3.0
LOAD_PROCESSES = 2
DRAIN_S = 20.0
OPERATOR = "experiment"


@dataclass
class ZoneResult:
    """Hold the run's figures and the zone's arrivals after the grace time and after its return."""

    summary: VariantSummary
    arrivals_while_out: int
    arrivals_after_return: int


class ZoneExperiment:
    """Run a load, with one zone out for the middle third of it."""

    def __init__(self, load: float, duration_s: float) -> None:
        self._load = load
        self._duration_s = duration_s

    def run(self, seed: int) -> ZoneResult:
        """Give the figures of one run."""
        plan = build_load_plan(self._load, self._duration_s, seed)
        with LocalFleet(build_fleet_plan(RULE, REPORT_LAG_S)) as fleet:
            operator = _Operator(fleet, self._duration_s / 3)
            operator.start()
            variant = Variant(RULE, fleet.entry_addresses(), fleet.upstream_addresses())
            options = LoadOptions(drain_s=DRAIN_S)
            (summary,) = ShardedLoadRun(plan, [variant], options, LOAD_PROCESSES).run()
            operator.join()
            final = operator.arrivals()
        return ZoneResult(
            summary, operator.at_return - operator.after_grace, final - operator.at_return
        )


class _Operator(threading.Thread):
    """Take the first zone out after a third of the run, and back after two thirds."""

    def __init__(self, fleet: LocalFleet, third_s: float) -> None:
        super().__init__(daemon=True)
        self._fleet = fleet
        self._third_s = third_s
        self._zone: ZoneId = fleet.plan.zones[0]
        self.after_grace = 0
        self.at_return = 0

    def run(self) -> None:
        """Give the orders and count the zone's arrivals."""
        store = ConfigurationStore(PlatformClient(self._fleet.addresses.own["platform"]))
        time.sleep(self._third_s)
        store.apply(self._order(ZoneState.OUT), OPERATOR).unwrap()
        time.sleep(GRACE_S)
        self.after_grace = self.arrivals()
        time.sleep(max(0.0, self._third_s - GRACE_S))
        self.at_return = self.arrivals()
        store.apply(self._order(ZoneState.IN), OPERATOR).unwrap()

    def arrivals(self) -> int:
        """Count the arrivals at the zone's engines so far."""
        names = self._fleet.plan.engine_names()
        inside = [each for each in names if self._fleet.plan.zone_of(names, each) == self._zone]
        return sum(self._fleet.engine_counts(each).arrivals for each in inside)

    def _order(self, state: ZoneState) -> ConfigurationChange:
        return SetZoneState(zones=(self._zone,), state=state)
