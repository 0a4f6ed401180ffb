"""What upstreams say of themselves beside their answers binds this entry at once."""

import pytest
from result import Ok

from gooseberryquay.links.caller_watch import NullCallerWatch
from gooseberryquay.serving.placement import EngineNeed
from gooseberryquay.serving.refusal import Refusal, RefusalReason
from gooseberryquay.serving.route import RouteKind
from gooseberryquay.serving.tests.builders import (
    LEDGER,
    MODEL,
    FakeClock,
    Recorder,
    ScriptedAnswer,
    ScriptedCalls,
    build_book,
    build_path,
    build_record,
    build_request,
    build_route,
    build_ticket,
    copied,
    event,
)
from gooseberryquay.serving.upstream_record import UpstreamState
from gooseberryquay.serving.upstream_registry import PAUSE_MAX_S

SMALL = EngineNeed(100, 40.0)


def _done(**changes):
    return ScriptedAnswer(200, [b"done"], **changes)


def _shed(pause_s):
    return ScriptedAnswer(503, is_not_run=True, pause_s=pause_s)


def _ledgers(*answers):
    records = [build_record("app-0", LEDGER), build_record("app-1", LEDGER)]
    return build_path(records, ScriptedCalls(list(answers)))


def _call(path, kind=RouteKind.NON_IDEMPOTENT):
    return path.call_handler.serve(build_request(build_route(kind)))


@pytest.mark.parametrize("status", [200, 500, 503])
def test_upstream_that_says_in_an_answer_that_it_leaves_gets_nothing_more(status):
    path = _ledgers(ScriptedAnswer(status, [b"x"], is_leaving=True), *[_done()] * 4)
    for _ in range(4):
        _call(path)
    assert path.calls.upstreams().count("app-0") == 1


def test_list_that_still_says_ready_does_not_bring_a_leaving_upstream_back():
    path = _ledgers(_done(is_leaving=True))
    _call(path)
    path.registry.apply_record(build_record("app-0", LEDGER))
    assert [each.record.id for each in path.registry.usable(LEDGER)] == ["app-1"]


def test_entry_that_lapses_and_comes_back_does_not_bring_a_leaving_upstream_back():
    path = _ledgers(_done(is_leaving=True))
    _call(path)
    path.registry.remove("app-0")
    path.registry.apply_record(build_record("app-0", LEDGER))
    assert [each.record.id for each in path.registry.usable(LEDGER)] == ["app-1"]


def test_next_incarnation_under_the_same_id_is_used_again():
    path = _ledgers(_done(is_leaving=True))
    _call(path)
    path.registry.apply_record(build_record("app-0", LEDGER, born_ms=2))
    assert len(path.registry.usable(LEDGER)) == 2


def test_notice_of_another_instance_at_a_reused_address_is_not_taken_for_its_own():
    path = _ledgers(
        ScriptedAnswer(421, is_not_run=True, is_other_instance=True, is_leaving=True), _done()
    )
    _call(path)
    assert len(path.registry.usable(LEDGER)) == 2


def test_leave_told_on_a_streams_head_moves_what_runs_there():
    records = [build_record("engine-0"), build_record("engine-1")]
    path = build_path(records, ScriptedCalls(moves=[copied(), copied("h-2")]))

    def wait_until_moved(number):
        if number == 1:
            (active,) = path.active.at("engine-0")
            with active.changed:
                active.changed.wait_for(lambda: active.state.value in {"stopped", "failed"}, 2.0)

    first = ScriptedAnswer(200, [event(1), event(2)], is_leaving=True, before_part=wait_until_moved)
    path.calls.answers = [first, ScriptedAnswer(200, [event(3)])]
    caller = Recorder()
    path.generation_handler.serve(build_request(build_route(RouteKind.STREAMING), caller))
    assert path.calls.moved[0][0] == "engine-0"
    assert path.placement.choose_engine(MODEL, SMALL, ()).record.id == "engine-1"


def test_upstream_that_asks_for_a_pause_gets_nothing_until_it_ends():
    clock = FakeClock()
    registry = build_book([build_record("app-0", LEDGER), build_record("app-1", LEDGER)], clock)
    registry.pause("app-0", 1, 2.0)
    clock.now_s += 1.9
    assert [each.record.id for each in registry.usable(LEDGER)] == ["app-1"]
    clock.now_s += 0.2
    assert len(registry.usable(LEDGER)) == 2


def test_pause_asked_for_in_a_refusal_turns_the_retry_elsewhere():
    path = _ledgers(_shed(2.0), *[_done()] * 3)
    for _ in range(3):
        _call(path)
    assert path.calls.upstreams().count("app-0") == 1


def test_calls_are_refused_at_once_while_all_upstreams_pause_and_told_when_the_first_is_back():
    path = _ledgers(_shed(1.5), _shed(4.0))
    _call(path)
    end = _call(path)
    assert isinstance(end, Refusal) and end.reason is RefusalReason.NOT_RUN
    assert 1.0 < end.retry_after_s <= 1.5
    assert len(path.calls.opened) == 2


def test_generation_whose_engines_all_pause_beyond_its_patience_is_refused_at_once():
    path = build_path([build_record("engine-0"), build_record("engine-1")])
    path.registry.pause("engine-0", 1, 30.0)
    path.registry.pause("engine-1", 1, 20.0)
    refused = path.queue.place(build_ticket("a", give_up_s=6.0), NullCallerWatch()).err_value
    assert refused.reason is RefusalReason.OVERLOADED
    assert 15.0 < refused.retry_after_s <= 20.0


def test_generation_waits_for_a_pause_that_ends_while_its_caller_does():
    path = build_path([build_record("engine-0")])
    path.registry.pause("engine-0", 1, 0.15)
    placed = path.queue.place(build_ticket("a", give_up_s=2.0), NullCallerWatch())
    assert isinstance(placed, Ok)


def test_pause_is_bounded_and_forgotten_with_its_incarnation():
    clock = FakeClock()
    registry = build_book([build_record("app-0", LEDGER)], clock)
    registry.pause("app-0", 1, 1e12)
    registry.pause("app-0", 1, 1.0)
    assert registry.pause_left_s(LEDGER) == PAUSE_MAX_S
    registry.apply_record(build_record("app-0", LEDGER, born_ms=2))
    assert registry.pause_left_s(LEDGER) == 0.0


def test_pause_that_an_earlier_incarnation_asked_for_does_not_bind_the_next():
    registry = build_book([build_record("app-0", LEDGER, born_ms=2)])
    registry.pause("app-0", 1, 5.0)
    registry.announce_leave("app-0", 1)
    assert len(registry.usable(LEDGER)) == 1


def test_draining_upstream_told_by_an_answer_is_reported_once_to_those_who_move():
    told = []
    registry = build_book([build_record("engine-0")])
    registry.on_leaving(told.append)
    registry.announce_leave("engine-0", 1)
    registry.announce_leave("engine-0", 1)
    registry.apply_record(build_record("engine-0", state=UpstreamState.DRAINING))
    registry.remove("engine-0")
    assert told == ["engine-0"]
