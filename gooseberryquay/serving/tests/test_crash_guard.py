import time

import pytest

from gooseberryquay.serving.crash_guard import RunLoss
from gooseberryquay.serving.ports import ListeningState
from gooseberryquay.serving.refusal import RefusalReason
from gooseberryquay.serving.route import RouteKind
from gooseberryquay.serving.tests.builders import (
    FakeClock,
    ScriptedCalls,
    build_guard,
    build_record,
    build_registry,
    build_request,
    build_route,
)
from gooseberryquay.serving.upstream_record import UpstreamState

LIST_EXPIRY_S = 3.6
NAMES = ["i-1", "i-2", "i-3"]


class _Guarded:
    """Set up a crash guard with three upstreams and one request."""

    def __init__(self, may_try=True):
        self.clock, self.wall_clock = FakeClock(), FakeClock(1000.0)
        self.upstream_client = ScriptedCalls()
        self.guard = build_guard(self.upstream_client, self.clock, self.wall_clock, may_try)
        self.registry = build_registry([build_record(each) for each in NAMES], self.clock)
        self.registry.on_removed(self.guard.upstream_removed)
        self.registry.on_replaced(lambda known: self.guard.upstream_ended(known, "replaced"))
        self.request = build_request(build_route(RouteKind.IDEMPOTENT))

    def pass_time(self, span_s):
        self.clock.now_s += span_s
        self.wall_clock.now_s += span_s

    def lose(self, loss, state, names=NAMES):
        for name in names:
            self.upstream_client.listening[name] = state
            self.guard.run_lost(self.request, self.registry.find(name), loss)

    def is_refused(self):
        return self.guard.refusal(self.request) is not None


@pytest.fixture
def guarded():
    return _Guarded()


def test_request_is_refused_immediately_after_three_upstreams_refused_connections(guarded):
    guarded.lose(RunLoss.BROKEN, ListeningState.REFUSED)
    refusal = guarded.guard.refusal(guarded.request)
    assert refusal.reason is RefusalReason.CRASHES_UPSTREAMS
    assert refusal.reason.promises_not_run and refusal.retry_after_s > 0.0


@pytest.mark.parametrize("loss", list(RunLoss))
def test_run_lost_at_a_live_upstream_does_not_count(guarded, loss):
    for _ in range(5):
        guarded.lose(loss, ListeningState.OPEN)
    assert not guarded.is_refused()


@pytest.mark.parametrize("state", [UpstreamState.DRAINING, UpstreamState.READY])
def test_announced_shutdown_does_not_count(guarded, state):
    for name in NAMES:
        if state is UpstreamState.DRAINING:
            guarded.registry.apply_record(build_record(name, state=state))
        else:
            guarded.registry.announce_leave(name, 1)
    guarded.lose(RunLoss.BROKEN, ListeningState.REFUSED)
    assert not guarded.is_refused()


def test_upstream_that_terminates_after_leaving_the_list_does_not_count(guarded):
    known = [guarded.registry.find(name) for name in NAMES]
    for each in known:
        guarded.registry.remove(each.record.id)
        guarded.upstream_client.listening[each.record.id] = ListeningState.REFUSED
        guarded.guard.run_lost(guarded.request, each, RunLoss.BROKEN)
    assert not guarded.is_refused()


def test_unresponsive_upstreams_count_as_dead_when_removed_from_the_list(guarded):
    guarded.lose(RunLoss.CALLER_LEFT, ListeningState.SILENT)
    assert not guarded.is_refused()
    guarded.pass_time(LIST_EXPIRY_S)
    for name in NAMES:
        guarded.registry.remove(name)
    until_s = time.monotonic() + 2.0
    while not guarded.is_refused():
        assert time.monotonic() < until_s
        time.sleep(0.01)


def test_unresponsive_upstreams_that_respond_again_do_not_count(guarded):
    guarded.lose(RunLoss.CALLER_LEFT, ListeningState.SILENT)
    for name in NAMES:
        known = guarded.registry.find(name)
        guarded.guard.upstream_alive(known)
        guarded.guard.upstream_ended(known, "refuses connections")
    assert not guarded.is_refused()


def test_upstream_that_refused_a_connection_but_responds_is_not_considered_dead(guarded):
    for name in NAMES:
        known = guarded.registry.find(name)
        guarded.guard.upstream_ended(known, "refuses connections")
        guarded.guard.upstream_alive(known)
    guarded.lose(RunLoss.BROKEN, ListeningState.OPEN)
    assert not guarded.is_refused()


def test_run_lost_while_another_run_detects_the_crash_counts(guarded):
    record_loss = guarded.guard._record_loss

    def record_loss_late(fingerprint, known):
        guarded.guard.upstream_ended(known, "refuses connections")
        record_loss(fingerprint, known)

    guarded.guard._record_loss = record_loss_late
    guarded.lose(RunLoss.BROKEN, ListeningState.REFUSED)
    assert guarded.is_refused()


def test_run_lost_long_before_the_crash_does_not_count(guarded):
    guarded.lose(RunLoss.CALLER_LEFT, ListeningState.OPEN)
    guarded.pass_time(2.0 * LIST_EXPIRY_S + 0.1)
    for name in NAMES:
        guarded.guard.upstream_ended(guarded.registry.find(name), "refuses connections")
    assert not guarded.is_refused()


def test_each_crashed_incarnation_under_one_id_counts_separately(guarded):
    for born_ms in (1, 2, 3):
        guarded.registry.apply_record(build_record("i-1", born_ms=born_ms))
        guarded.lose(RunLoss.BROKEN, ListeningState.REFUSED, ["i-1"])
    assert guarded.is_refused()


def test_restart_under_the_same_id_confirms_the_crash_for_a_lost_run(guarded):
    guarded.lose(RunLoss.BROKEN, ListeningState.OPEN)
    for name in NAMES:
        guarded.registry.apply_record(build_record(name, born_ms=2))
    assert guarded.is_refused()


def test_request_that_finished_before_is_not_suspected_later(guarded):
    guarded.guard.finished(guarded.request)
    guarded.lose(RunLoss.BROKEN, ListeningState.REFUSED)
    assert not guarded.is_refused()


def test_refused_request_is_tried_again_by_only_one_entry():
    for may_try in (True, False):
        guarded = _Guarded(may_try)
        guarded.lose(RunLoss.BROKEN, ListeningState.REFUSED)
        guarded.pass_time(31.0)
        assert guarded.is_refused() is not may_try
        guarded.pass_time(1.0)
        # The trial counts as a crash until it finishes.
        repeat = build_request(build_route(RouteKind.IDEMPOTENT), id="r-2")
        assert repeat.fingerprint == guarded.request.fingerprint
        assert guarded.guard.refusal(repeat) is not None


def test_trial_that_reached_no_upstream_may_be_sent_to_another():
    guarded = _Guarded()
    guarded.lose(RunLoss.BROKEN, ListeningState.REFUSED)
    guarded.pass_time(31.0)
    assert not guarded.is_refused()
    assert not guarded.is_refused()
    guarded.lose(RunLoss.BROKEN, ListeningState.REFUSED, NAMES[:1])
    assert guarded.is_refused()
