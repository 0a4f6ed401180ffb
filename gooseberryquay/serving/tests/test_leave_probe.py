"""Engines are probed for leaving only while the list of upstreams is stale."""

import time

import pytest

from gooseberryquay.serving.decision_log import DecisionLog
from gooseberryquay.serving.leave_probe import UNRESPONSIVE_BACKOFF_S, LeaveProbe
from gooseberryquay.serving.list_readers import UpstreamListReader
from gooseberryquay.serving.object_source import StoredObject
from gooseberryquay.serving.tests.builders import (
    LEDGER,
    MODEL,
    FakeClock,
    ScriptedCalls,
    build_record,
    build_registry,
)


@pytest.fixture
def probe():
    clock = FakeClock()
    records = [
        build_record("own"),
        build_record("other"),
        build_record("with-runs"),
        build_record("app", LEDGER),
    ]
    upstream_client = ScriptedCalls()
    probe = LeaveProbe(
        upstream_client=upstream_client,
        registry=build_registry(records, clock),
        engine_services=lambda: [MODEL],
        is_list_current=lambda: probe.is_list_current,
        owns_engine=lambda upstream: upstream == "own",
        has_runs=lambda upstream: upstream == "with-runs",
        log=DecisionLog(),
        clock=clock,
    )
    probe.is_list_current, probe.scripted, probe.time = False, upstream_client, clock
    return probe


def test_no_engine_is_probed_while_the_list_is_current(probe):
    probe.is_list_current = True
    probe.step()
    assert probe.scripted.probed == []


def test_only_own_engines_are_probed_while_the_list_is_stale(probe):
    probe.step()
    assert probe.scripted.probed == ["own"]


def test_engine_that_reports_leaving_is_announced_once_and_not_probed_again(probe):
    reported = []
    probe._registry.on_leaving(reported.append)
    probe.scripted.leaving["own"] = True
    probe.step()
    probe.step()
    assert (reported, probe.scripted.probed) == (["own"], ["own"])


def test_unresponsive_engine_is_skipped_for_the_backoff_time(probe):
    probe.scripted.leaving["own"] = None
    probe.step()
    probe.step()
    assert probe.scripted.probed == ["own"]
    probe.time.now_s += UNRESPONSIVE_BACKOFF_S + 0.1
    probe.step()
    assert probe.scripted.probed == ["own", "own"]


def _wait_for(condition):
    until_s = time.monotonic() + 2.0
    while not condition():
        assert time.monotonic() < until_s
        time.sleep(0.01)


def test_engine_missing_after_an_outage_is_announced_immediately_if_it_reports_leaving(probe):
    """A leaving engine was treated as expired, and its streams were interrupted.

    Found in the run large trouble-3, small, at 27.9 s.
    """
    reported = []
    probe._registry.on_leaving(reported.append)
    probe.scripted.leaving["with-runs"] = True
    probe._registry.on_missing(probe.probe_missing)
    reader = UpstreamListReader(probe._registry, lambda _stored: None, DecisionLog(), 60.0)
    names = ["with-runs", "other", "own", "app"]
    reader._listed = {name: probe._registry.find(name).record for name in names}
    for name in names:
        reader.read_change(StoredObject(name, 9, None, is_deleted=True), is_after_outage=True)
    _wait_for(lambda: reported == ["with-runs"])
    _wait_for(lambda: probe.scripted.probed.count("own") > 1)
    probe.time.now_s += 1.0
    probe._registry.apply_record(probe._registry.find("own").record)
    assert set(probe.scripted.probed) == {"own", "with-runs"}
    assert {each.record.id for each in probe._registry.usable(MODEL)} == {"own", "other"}
