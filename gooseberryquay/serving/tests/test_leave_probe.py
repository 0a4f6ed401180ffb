"""Engines are asked whether they leave only while the list of upstreams cannot tell."""

import time

import pytest

from gooseberryquay.serving.decision_log import DecisionLog
from gooseberryquay.serving.leave_probe import SILENT_SKIP_S, LeaveProbe
from gooseberryquay.serving.list_readers import UpstreamListReader
from gooseberryquay.serving.object_source import StoredObject
from gooseberryquay.serving.tests.builders import (
    LEDGER,
    MODEL,
    FakeClock,
    ScriptedCalls,
    build_book,
    build_record,
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
    calls = ScriptedCalls()
    probe = LeaveProbe(
        calls=calls,
        registry=build_book(records, clock),
        engine_services=lambda: [MODEL],
        is_list_current=lambda: probe.is_list_current,
        owns_engine=lambda upstream: upstream == "own",
        has_runs=lambda upstream: upstream == "with-runs",
        log=DecisionLog(),
        clock=clock,
    )
    probe.is_list_current, probe.scripted, probe.time = False, calls, clock
    return probe


def test_no_engine_is_probed_while_the_list_tells(probe):
    probe.is_list_current = True
    probe.step()
    assert probe.scripted.probed == []


def test_own_engines_alone_are_probed_while_the_list_is_old(probe):
    probe.step()
    assert probe.scripted.probed == ["own"]


def test_engine_that_says_it_leaves_is_left_and_probed_no_more(probe):
    told = []
    probe._book.on_leaving(told.append)
    probe.scripted.leaving["own"] = True
    probe.step()
    probe.step()
    assert (told, probe.scripted.probed) == (["own"], ["own"])


def test_silent_engine_does_not_hold_up_each_round(probe):
    probe.scripted.leaving["own"] = None
    probe.step()
    probe.step()
    assert probe.scripted.probed == ["own"]
    probe.time.now_s += SILENT_SKIP_S + 0.1
    probe.step()
    assert probe.scripted.probed == ["own", "own"]


def _wait_for(condition):
    until_s = time.monotonic() + 2.0
    while not condition():
        assert time.monotonic() < until_s
        time.sleep(0.01)


def test_engine_that_the_list_lacks_after_an_outage_is_left_at_once_if_it_says_it_leaves(probe):
    """Taken for lapsed, it was left only with its streams cut (large trouble-3, small, 27.9 s)."""
    told = []
    probe._book.on_leaving(told.append)
    probe.scripted.leaving["with-runs"] = True
    probe._book.on_missing(probe.probe_missing)
    reader = UpstreamListReader(probe._book, lambda _stored: None, DecisionLog(), 60.0)
    names = ["with-runs", "other", "own", "app"]
    reader._listed = {name: probe._book.find(name).record for name in names}
    for name in names:
        reader.read_change(StoredObject(name, 9, None, is_deleted=True), is_after_outage=True)
    _wait_for(lambda: told == ["with-runs"])
    _wait_for(lambda: probe.scripted.probed.count("own") > 1)
    probe.time.now_s += 1.0
    probe._book.apply_record(probe._book.find("own").record)
    assert set(probe.scripted.probed) == {"own", "with-runs"}
    assert {each.record.id for each in probe._book.usable(MODEL)} == {"own", "other"}
