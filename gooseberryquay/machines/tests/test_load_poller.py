import threading
import time

import pytest

from gooseberryquay.contracts.fields import Address
from gooseberryquay.links.http_server import HttpServer, Response, Router
from gooseberryquay.machines.control_budget import ControlBudget
from gooseberryquay.machines.load_poller import LoadPoller, ReportSink
from gooseberryquay.machines.load_report import LoadReport
from gooseberryquay.machines.tests.choice_builders import (
    SERVICE,
    MutableConfiguration,
    build_configuration,
    build_table,
    build_upstream,
)
from gooseberryquay.machines.tests.cold_builders import wait_until
from gooseberryquay.standins.process import find_free_port


class ReportingUpstream:
    """Upstream that serves /load and hangs while `is_hung` is set."""

    def __init__(self):
        self.asked = 0
        self.is_hung = False
        self.released = threading.Event()
        router = Router()
        router.add("GET", "/load", self._load)
        self.server = HttpServer("127.0.0.1", 0, router)
        self.server.start()

    def _load(self, _request):
        self.asked += 1
        if self.is_hung:
            self.released.wait(30.0)
        return Response.of(LoadReport(in_flight=3))


class ReportRecorder:
    """Collect the callbacks of the poller and update the states of the table."""

    def __init__(self, table):
        self.table = table
        self.reports = []
        self.unresponsive = []

    def record_report(self, upstream_id, report):
        self.reports.append(upstream_id)
        self.table.find(upstream_id).update_report(report, time.monotonic())

    def record_unresponsive(self, upstream_id, is_unreachable):
        self.unresponsive.append((upstream_id, is_unreachable))


@pytest.fixture
def upstream():
    reporting = ReportingUpstream()
    yield reporting
    reporting.released.set()
    reporting.server.stop()


def _build_poller(ports, bytes_per_s, control=None):
    declared = [
        build_upstream(number, address=Address("127.0.0.1", port))
        for number, port in enumerate(ports)
    ]
    table = build_table(MutableConfiguration(build_configuration(declared)))
    table.usable(SERVICE)
    recorder = ReportRecorder(table)
    sink = ReportSink(recorder.record_report, recorder.record_unresponsive)
    return LoadPoller(table, sink, bytes_per_s, control), recorder


def _start_poller(ports, bytes_per_s=2000, control=None):
    poller, recorder = _build_poller(ports, bytes_per_s, control)
    poller.start()
    return poller, recorder


def test_refused_connection_is_reported_as_gone(upstream):
    poller, recorder = _start_poller([upstream.server.port, find_free_port()])
    wait_until(
        lambda: ("engine-1", True) in recorder.unresponsive and "engine-0" in recorder.reports
    )
    poller.stop()


def test_hung_upstream_is_silent_does_not_hold_up_others_and_comes_back(upstream):
    other = ReportingUpstream()
    upstream.is_hung = True
    poller, recorder = _start_poller([upstream.server.port, other.server.port])
    wait_until(lambda: ("engine-0", False) in recorder.unresponsive)
    assert "engine-1" in recorder.reports
    upstream.is_hung = False
    wait_until(lambda: "engine-0" in recorder.reports)
    poller.stop()
    other.server.stop()


def test_polls_stay_within_the_byte_budget(upstream):
    poller, recorder = _start_poller([upstream.server.port] * 12, bytes_per_s=200)
    started_s = time.monotonic()
    time.sleep(4.0)
    poller.stop()
    elapsed_s = time.monotonic() - started_s
    smallest_poll_bytes = 300
    assert 0 < upstream.asked <= (200 * (elapsed_s + 10.0)) / smallest_poll_bytes + 4


@pytest.fixture
def poller_over_budget():
    """Return a poller whose control budget is exhausted; its clock does not advance."""
    control = ControlBudget(clock=lambda: 0.0)
    control.spend(1_000_000)
    poller, recorder = _build_poller([find_free_port()] * 3, bytes_per_s=2000, control=control)
    yield poller, recorder, control


def _pick(poller):
    """Pick as if all earlier polls had been answered."""
    picked = poller._pick()
    for poll_target in poller._poll_targets.values():
        poll_target.is_busy = False
    return picked and picked.declaration.id


def _set_ages(poller, recorder, polled_s_ago, reported_s_ago):
    """Set the time since the last poll and since the last reports."""
    now_s = time.monotonic()
    poller._last_poll_at_s = now_s - polled_s_ago
    for number in range(3):
        state = recorder.table.find(f"engine-{number}")
        state.update_report(LoadReport(), now_s)
        state.received_at_s = now_s - reported_s_ago
        poller._poll_targets[f"engine-{number}"].polled_at_s = now_s - reported_s_ago


def test_every_upstream_is_asked_once_however_short_bytes_are(poller_over_budget):
    poller, _listener, _control = poller_over_budget
    assert sorted(_pick(poller) for _ in range(3)) == ["engine-0", "engine-1", "engine-2"]


def test_polls_of_warm_upstreams_give_way_but_for_one_now_and_then(poller_over_budget):
    poller, recorder, _control = poller_over_budget
    for _ in range(3):
        _pick(poller)
    _set_ages(poller, recorder, polled_s_ago=-100.0, reported_s_ago=10.0)
    assert _pick(poller) is None
    _set_ages(poller, recorder, polled_s_ago=1.0, reported_s_ago=10.0)
    allowed_since_s = poller._last_poll_at_s
    assert _pick(poller) is not None
    assert poller._last_poll_at_s > allowed_since_s


def test_polls_of_an_upstream_not_known_to_be_warm_give_way_last(poller_over_budget):
    poller, recorder, _ = poller_over_budget
    poller._control = control = ControlBudget(clock=lambda: 0.0)
    for _ in range(3):
        _pick(poller)
    _set_ages(poller, recorder, polled_s_ago=-100.0, reported_s_ago=10.0)
    recorder.table.find("engine-1").forget(time.monotonic())
    control.spend(10_000)
    assert _pick(poller) == "engine-1"
    poller._last_poll_at_s += 100.0
    poller._poll_targets["engine-1"].polled_at_s -= 10.0
    control.spend(30_000)
    assert _pick(poller) is None


def test_upstream_whose_report_is_oldest_is_asked_first():
    poller, recorder = _build_poller([find_free_port()] * 4, bytes_per_s=2000)
    now_s = time.monotonic()
    for number, age_s in enumerate((2.0, 9.0, 5.0, 0.1)):
        recorder.table.find(f"engine-{number}").received_at_s = now_s - age_s
    picked = [poller._pick() for _ in range(4)]
    assert [each and each.declaration.id for each in picked] == [
        "engine-1",
        "engine-2",
        "engine-0",
        None,
    ]
