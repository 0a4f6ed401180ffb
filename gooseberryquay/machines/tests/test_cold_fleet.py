import threading
import time

import pytest

from gooseberryquay.ids import ServiceId, WorkspaceId
from gooseberryquay.standins.engine_faults import TurnCold
from gooseberryquay.standins.fleet_plan import FleetPlan
from gooseberryquay.standins.load.arrivals import LoadPlan
from gooseberryquay.standins.load.run import LoadOptions, LoadRun, Variant
from gooseberryquay.standins.local_fleet import LocalFleet

CAP = 2
KNOWN_AFTER_S = 4.0


def _plan(**engine_options):
    options = {"cold_capacity": CAP, "overload_grace_s": 60.0, "report_lag_s": 0.2}
    return FleetPlan(
        entries=8,
        engines=3,
        services=0,
        engine_options={**options, **engine_options},
        upstream_options={"cold_in_flight_max": CAP},
    )


def _load(fleet, rate_per_s, duration_s):
    plan = LoadPlan(
        workspaces=(WorkspaceId("clerks"), WorkspaceId("plant")),
        model=ServiceId("yield-model"),
        rate_per_s=rate_per_s,
        duration_s=duration_s,
        seed=7,
    )
    variant = Variant("cold", fleet.entry_addresses(), fleet.upstream_addresses())
    return LoadRun(plan, [variant], LoadOptions(drain_s=5.0)).run()


@pytest.mark.timeout(120)
def test_eight_entry_processes_keep_the_cap_while_some_are_killed_and_paused():
    with LocalFleet(_plan(cold_s=600.0)) as fleet:
        loading = threading.Thread(target=_load, args=(fleet, 20.0, 12.0))
        loading.start()
        time.sleep(5.0)
        fleet.kill("entry-1")
        fleet.pause("entry-2")
        time.sleep(6.0)
        fleet.resume("entry-2")
        fleet.start("entry-1")
        loading.join(60.0)
        counts = [fleet.engine_counts(name) for name in fleet.plan.engine_names()]
    assert sum(each.finished for each in counts) > 0
    assert [each.cold_cap_exceeded for each in counts] == [0, 0, 0]
    assert max(each.peak_cold_in_flight for each in counts) <= CAP


@pytest.mark.timeout(120)
def test_engine_that_turns_cold_under_load_gets_nothing_over_its_cap_once_that_is_known():
    with LocalFleet(_plan()) as fleet:
        loading = threading.Thread(target=_load, args=(fleet, 20.0, 12.0))
        loading.start()
        time.sleep(4.0)
        fleet.inject("engine-1", TurnCold(cold_s=600.0))
        time.sleep(KNOWN_AFTER_S)
        before = fleet.engine_counts("engine-1")
        loading.join(60.0)
        after = fleet.engine_counts("engine-1")
    assert after.cold_cap_exceeded == before.cold_cap_exceeded
