import pytest

from gooseberryquay.ids import ServiceId, WorkspaceId
from gooseberryquay.standins.engine_faults import TurnCold
from gooseberryquay.standins.fleet_plan import FleetPlan
from gooseberryquay.standins.load.arrivals import LoadPlan
from gooseberryquay.standins.load.run import LoadOptions, LoadRun, Variant
from gooseberryquay.standins.local_fleet import LocalFleet

CAP = 2


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
def test_eight_entry_processes_keep_cold_engines_within_their_cap():
    with LocalFleet(_plan(cold_s=600.0)) as fleet:
        _load(fleet, rate_per_s=20.0, duration_s=10.0)
        counts = [fleet.engine_counts(name) for name in fleet.plan.engine_names()]
    assert sum(each.finished for each in counts) > 0
    assert [each.cold_cap_exceeded for each in counts] == [0, 0, 0]
    assert max(each.peak_cold_in_flight for each in counts) <= CAP


if __name__ == "__main__":
    with LocalFleet(_plan()) as fleet:
        print(_load(fleet, 10.0, 5.0)[0].lines())
        fleet.inject("engine-1", TurnCold(cold_s=600.0))
        print(_load(fleet, 10.0, 10.0)[0].lines())
        for name in fleet.plan.engine_names():
            print(name, fleet.engine_counts(name).model_dump(exclude={"runs", "orders"}))
