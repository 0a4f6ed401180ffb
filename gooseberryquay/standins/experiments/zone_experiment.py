"""Removal and return of a zone under load, with its effect on callers and engines."""

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
    """Summary of a run, and the arrivals in the zone after the grace period and its return."""

    summary: VariantSummary
    arrivals_while_out: int
    arrivals_after_return: int


class ZoneExperiment:
    """Run a load with one zone out during the middle third."""

    def __init__(self, load: float, duration_s: float) -> None:
        self._load = load
        self._duration_s = duration_s

    def run(self, seed: int) -> ZoneResult:
        """Run one seed and return the results."""
        plan = build_load_plan(self._load, self._duration_s, seed)
        with LocalFleet(build_fleet_plan(RULE, REPORT_LAG_S)) as fleet:
            zone_switch = _ZoneSwitch(fleet, self._duration_s / 3)
            zone_switch.start()
            variant = Variant(RULE, fleet.entry_addresses(), fleet.upstream_addresses())
            options = LoadOptions(drain_s=DRAIN_S)
            (summary,) = ShardedLoadRun(plan, [variant], options, LOAD_PROCESSES).run()
            zone_switch.join()
            final = zone_switch.arrivals()
        return ZoneResult(
            summary,
            zone_switch.arrivals_at_return - zone_switch.arrivals_after_grace,
            final - zone_switch.arrivals_at_return,
        )


class _ZoneSwitch(threading.Thread):
    """Take the first zone out after a third of the run, and back in after two thirds."""

    def __init__(self, fleet: LocalFleet, third_s: float) -> None:
        super().__init__(daemon=True)
        self._fleet = fleet
        self._third_s = third_s
        self._zone: ZoneId = fleet.plan.zones[0]
        self.arrivals_after_grace = 0
        self.arrivals_at_return = 0

    def run(self) -> None:
        """Change the state of the zone and count its arrivals."""
        store = ConfigurationStore(PlatformClient(self._fleet.addresses.own["platform"]))
        time.sleep(self._third_s)
        store.apply(self._state_change(ZoneState.OUT), OPERATOR).unwrap()
        time.sleep(GRACE_S)
        self.arrivals_after_grace = self.arrivals()
        time.sleep(max(0.0, self._third_s - GRACE_S))
        self.arrivals_at_return = self.arrivals()
        store.apply(self._state_change(ZoneState.IN), OPERATOR).unwrap()

    def arrivals(self) -> int:
        """Return the number of arrivals at the engines of the zone so far."""
        names = self._fleet.plan.engine_names()
        zone_engines = [
            each for each in names if self._fleet.plan.zone_of(names, each) == self._zone
        ]
        return sum(self._fleet.engine_counts(each).arrivals for each in zone_engines)

    def _state_change(self, state: ZoneState) -> ConfigurationChange:
        return SetZoneState(zones=(self._zone,), state=state)
