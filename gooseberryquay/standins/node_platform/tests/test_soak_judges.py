"""Each judge of a soak finds a known breach, and nothing in a call beside it."""

import pytest

from gooseberryquay.standins.node_platform.call_result import CallEnd, CallKind
from gooseberryquay.standins.node_platform.tests.soak_builders import (
    GRACE_S,
    OTHER_PORT,
    PORT,
    broken_rules,
    call,
    history,
    record,
)
from gooseberryquay.standins.proxy_messages import Direction

CUT = {"end": CallEnd.CLOSED}
EARLY, LATE = 0.1, 0.3
RECEIVED = record(receivers=["i-1"])
STREAMS = [CallKind.NOTE, CallKind.CHECK]


@pytest.mark.parametrize("kind", CallKind)
def test_call_that_an_upstream_received_and_that_was_cut_is_lost(kind):
    assert broken_rules(call(kind, lasted_s=EARLY, **CUT), RECEIVED) == ["LOST"]
    assert broken_rules(call(kind), RECEIVED) == []


@pytest.mark.parametrize("kind", CallKind)
def test_call_that_was_cut_long_after_it_was_sent_is_lost(kind):
    assert broken_rules(call(kind, lasted_s=LATE, **CUT)) == ["LOST"]
    assert broken_rules(call(kind, lasted_s=EARLY, **CUT)) == []


@pytest.mark.parametrize(("passed_on_after_s", "broken"), [(None, []), (0.5, ["LOST"]), (0.9, [])])
def test_request_through_a_proxy_counts_from_when_it_was_passed_on(passed_on_after_s, broken):
    entry = history(passed_on_after_s=passed_on_after_s, is_proxied=True)
    assert broken_rules(call(lasted_s=1.0, **CUT), entry=entry) == broken
    assert broken_rules(call(lasted_s=1.0, **CUT), RECEIVED, entry) == ["LOST"]


def test_request_that_a_proxy_passes_on_is_recorded_and_a_response_is_not():
    entry = history(is_proxied=True)
    line = b"POST /post/request HTTP/1.1\r\nHost: h\r\n\r\n{}"
    entry.add_passed_on(Direction.TO_CALLER, line)
    assert entry.sent_at_s(call()) is None
    entry.add_passed_on(Direction.TO_TARGET, line)
    assert entry.sent_at_s(call()) is not None


def test_connection_that_was_refused_or_ended_in_the_request_is_no_loss():
    assert broken_rules(call(lasted_s=LATE, end=CallEnd.NOT_SENT)) == []


def test_call_without_a_response_in_its_timeout_is_lost_though_its_entry_was_frozen():
    silent = call(end=CallEnd.TIMED_OUT, lasted_s=12.0)
    assert broken_rules(silent) == ["LOST"]
    assert broken_rules(silent, entry=history([(0.0, 3.0, None)])) == ["LOST"]
    assert broken_rules(silent, entry=history([(0.0, 3.0, PORT)])) == []


@pytest.mark.parametrize(
    ("disruption", "broken"),
    [
        ((0.5, 2.0, None), []),
        ((-1.0, 0.0, None), []),
        ((0.5, 2.0, PORT), []),
        ((0.5, 2.0, OTHER_PORT), ["LOST"]),
        ((-2.0, -0.1, None), ["LOST"]),
        ((1.1, 2.0, None), ["LOST"]),
    ],
)
def test_only_a_disruption_of_the_entry_or_link_during_the_call_excuses_a_cut(disruption, broken):
    assert broken_rules(call(**CUT), RECEIVED, history([disruption])) == broken


@pytest.mark.parametrize("kind", CallKind)
@pytest.mark.parametrize("stop_s", [-3.0, 0.5])
def test_planned_stop_excuses_no_cut(kind, stop_s):
    entry = history(stops_s=[stop_s])
    assert broken_rules(call(kind, **CUT), RECEIVED, entry) == ["LOST"]


@pytest.mark.parametrize(
    ("kind", "has_begun", "stop_s", "ran_s", "broken"),
    [
        (CallKind.NOTE, True, 0.1, GRACE_S, []),
        (CallKind.CHECK, True, 0.1, GRACE_S, []),
        (CallKind.NOTE, False, 0.1, GRACE_S, ["LOST"]),
        (CallKind.NOTE, True, -0.1, GRACE_S, ["LOST"]),
        (CallKind.NOTE, True, 0.1, GRACE_S / 2, ["LOST"]),
        (CallKind.POST, True, 0.1, GRACE_S, ["LOST"]),
    ],
)
def test_end_of_the_grace_excuses_only_streams_that_began_before_the_stop(
    kind, has_begun, stop_s, ran_s, broken
):
    cut = call(kind, lasted_s=stop_s + ran_s, has_begun=has_begun, **CUT)
    assert broken_rules(cut, RECEIVED, history(stops_s=[stop_s])) == broken


@pytest.mark.parametrize("kind", STREAMS)
def test_stream_that_its_upstream_broke_off_is_lost_only_if_it_had_not_begun(kind):
    broken_off = record(receivers=["i-1"], broke_off=True)
    assert broken_rules(call(kind, has_begun=True, **CUT), broken_off) == []
    assert broken_rules(call(kind, has_begun=False, **CUT), broken_off) == ["LOST"]
    assert broken_rules(call(kind, has_begun=True, **CUT), RECEIVED) == ["LOST"]


@pytest.mark.parametrize(("kind", "limit_s"), [(CallKind.NOTE, 10.0), (CallKind.CHECK, 6.0)])
def test_stream_that_has_begun_may_be_cut_at_its_time_limit(kind, limit_s):
    def ended_after(lasted_s, has_begun=True):
        return broken_rules(call(kind, lasted_s=lasted_s, has_begun=has_begun, **CUT), RECEIVED)

    assert ended_after(limit_s) == []
    assert ended_after(limit_s - 0.1) == ["LOST"]
    assert ended_after(limit_s, has_begun=False) == ["LOST"]


@pytest.mark.parametrize("status", [408, 421, 429, 503])
@pytest.mark.parametrize("kind", [CallKind.NOTE, CallKind.CHECK, CallKind.POST])
def test_call_that_was_refused_and_ran_breaks_the_promise_of_its_status(kind, status):
    assert broken_rules(call(kind, status=status), record(runs=["i-1"])) == ["REFUSED"]
    assert broken_rules(call(kind, status=status), RECEIVED) == []
    assert broken_rules(call(kind, status=502), record(runs=["i-1"])) == []


def test_call_that_may_be_repeated_may_be_refused_after_a_run():
    assert broken_rules(call(CallKind.READ, status=503), record(runs=["i-1"])) == []


@pytest.mark.parametrize("kind", [CallKind.NOTE, CallKind.POST])
def test_second_run_of_a_call_that_may_run_once_is_found(kind):
    assert broken_rules(call(kind), record(runs=["i-1", "i-2"])) == ["TWICE"]
    assert broken_rules(call(kind), record(runs=["i-1"])) == []


def test_second_run_of_a_call_that_may_be_repeated_is_allowed():
    assert broken_rules(call(CallKind.READ), record(runs=["i-1", "i-2"])) == []


def test_bytes_that_are_no_response_are_excused_only_by_a_fault_of_the_link():
    mixed = call(end=CallEnd.MALFORMED, fault="bytes that are no response")
    assert broken_rules(mixed) == ["MIXED"]
    assert broken_rules(mixed, entry=history([(0.0, 1.0, None)])) == ["MIXED"]
    assert broken_rules(mixed, entry=history([(0.0, 1.0, PORT)])) == []


def test_status_under_the_seal_of_another_response_is_mixed():
    sealed = call(status=502, seal="request.e")
    assert broken_rules(sealed, record(sealed_statuses=[500])) == ["MIXED"]
    assert broken_rules(sealed, record(sealed_statuses=[502])) == []


def test_response_that_does_not_belong_to_the_request_is_mixed():
    assert broken_rules(call(fault="response of 3 bytes")) == ["MIXED"]


@pytest.mark.parametrize("kind", STREAMS)
@pytest.mark.parametrize("events", [(), (1,), (1, 2), (1, 3), (2, 3), (1, 2, 2, 3), (1, 3, 2)])
def test_stream_that_looks_complete_without_each_event_once_in_order_breaks_the_order(kind, events):
    assert broken_rules(call(kind, events=events), record(last_event=3)) == ["ORDER"]
    assert broken_rules(call(kind, events=(1, 2, 3)), record(last_event=3)) == []


@pytest.mark.parametrize("kind", STREAMS)
def test_short_stream_breaks_the_order_though_its_run_was_stopped_or_broken_off(kind):
    made = record(last_event=3, broke_off=True)
    made.add_stopped("request")
    assert broken_rules(call(kind, events=(1, 2)), made) == ["ORDER"]


def test_stream_that_its_caller_saw_break_off_does_not_break_the_order():
    made = record(last_event=3, broke_off=True)
    assert broken_rules(call(CallKind.NOTE, has_begun=True, **CUT), made) == []


def test_stream_that_holds_anything_but_events_of_its_request_stays_mixed():
    mixed = call(CallKind.NOTE, fault="response of 3 bytes", events=None)
    assert broken_rules(mixed, record(last_event=3)) == ["MIXED"]
