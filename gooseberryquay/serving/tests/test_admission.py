"""Generation queue, cold rate limit, draining and placement under load."""

import threading
import time

import pytest
from result import Err, Ok

from gooseberryquay.links.caller_watch import NullCallerWatch
from gooseberryquay.links.upstream_connection import CallerLeft
from gooseberryquay.serving.drain_state import DrainState
from gooseberryquay.serving.placement import EngineNeed
from gooseberryquay.serving.refusal import RefusalReason
from gooseberryquay.serving.shared_rate import RateTolerance, SharedRate
from gooseberryquay.serving.tests.builders import (
    LEDGER,
    MODEL,
    OTHER_ZONE,
    ZONE,
    FakeClock,
    build_entry_counter,
    build_path,
    build_record,
    build_routing,
    build_stable_entry_counter,
    build_ticket,
)
from gooseberryquay.serving.upstream_load import Run


class _DisconnectedCaller(NullCallerWatch):
    def is_disconnected(self):
        return True


def test_generation_waits_for_memory_and_is_placed_when_some_is_freed():
    path = build_path([build_record("engine-1")])
    first = path.queue.place(build_ticket("a"), NullCallerWatch()).ok_value
    waiting = threading.Thread(
        target=lambda: placed.append(path.queue.place(build_ticket("b"), NullCallerWatch()))
    )
    placed = []
    waiting.start()
    time.sleep(0.15)
    assert placed == []
    path.loads.end(first.run)
    path.queue.changed()
    waiting.join(1.0)
    assert isinstance(placed[0], Ok)


def test_generation_is_refused_with_retry_after_when_no_memory_becomes_free():
    path = build_path([build_record("engine-1")])
    path.queue.place(build_ticket("a"), NullCallerWatch())
    refused = path.queue.place(build_ticket("b", give_up_s=0.1), NullCallerWatch()).err_value
    assert refused.reason is RefusalReason.OVERLOADED
    assert refused.retry_after_s > 0
    assert path.queue.length() == 0


def test_caller_that_disconnects_is_removed_from_the_queue():
    path = build_path([build_record("engine-1")])
    path.queue.place(build_ticket("a"), NullCallerWatch())
    assert path.queue.place(build_ticket("b"), _DisconnectedCaller()) == Err(CallerLeft())
    assert path.queue.length() == 0


def _order_of(tickets):
    path = build_path([build_record("engine-1")])
    blocker = path.queue.place(build_ticket("blocker"), NullCallerWatch()).ok_value
    order = []

    def wait(ticket):
        placed = path.queue.place(ticket, NullCallerWatch()).ok_value
        order.append(ticket.id)
        path.loads.end(placed.run)
        path.queue.changed()

    threads = [threading.Thread(target=wait, args=(each,)) for each in tickets]
    for thread in threads:
        thread.start()
        time.sleep(0.03)
    path.loads.end(blocker.run)
    path.queue.changed()
    for thread in threads:
        thread.join(2.0)
    return order


def test_generations_are_placed_by_rank_with_late_ones_last():
    tickets = [
        build_ticket("late", rank=0, late_s=0.0),
        build_ticket("second", rank=1),
        build_ticket("first", rank=0),
    ]
    assert _order_of(tickets) == ["first", "second", "late"]


def test_rate_limit_of_a_cold_upstream_is_shared_by_all_entries():
    clock = FakeClock()
    cold = SharedRate("cold", build_stable_entry_counter(4, clock), RateTolerance(), clock)
    taken = 0
    for _ in range(200):
        taken += cold.try_acquire("engine-1", 20.0)
        clock.now_s += 0.05
    assert 48 <= taken <= 52  # a quarter of 20 per second for 10 s


def test_idle_time_allows_no_large_burst_to_a_cold_upstream():
    clock = FakeClock()
    cold = SharedRate("cold", build_stable_entry_counter(1, clock), RateTolerance(), clock)
    cold.try_acquire("engine-1", 20.0)
    clock.now_s += 60.0
    assert sum(cold.try_acquire("engine-1", 20.0) for _ in range(100)) <= 10


@pytest.mark.parametrize(("count", "connections_max"), [(8, 110), (195, 1200), (195, 250)])
def test_calls_of_all_entries_need_no_more_connections_than_an_upstream_accepts(
    count, connections_max
):
    routing = build_routing(connections_max=connections_max)
    counter = build_entry_counter(count)
    path = build_path(
        [build_record(each, LEDGER) for each in ("app-0", "app-1")],
        routing=routing,
        entry_counter=counter,
    )
    for number in range(400):
        known = path.placement.choose_for_call(LEDGER, ())
        if known is None:
            break
        path.loads.start(Run(f"r-{number}", known.record.id, 0.0))
    for name in ("app-0", "app-1"):
        assert 1 <= len(path.loads.runs_at(name)) * count <= connections_max
    assert path.placement.reserve_for_call(LEDGER, (), 1.0) is None


def test_upstreams_without_a_limit_accept_all_requests():
    cold = SharedRate("cold", build_entry_counter(4, FakeClock()), RateTolerance(), FakeClock())
    assert all(cold.try_acquire("ledger-1", float("inf")) for _ in range(100))


def test_draining_entry_accepts_only_requests_that_end_before_its_exit():
    """Calls were accepted by their latency goal, and lost when they took longer."""
    clock = FakeClock(100.0)
    drain_state = DrainState(clock)
    assert drain_state.accepts(1000.0) and not drain_state.is_leaving
    drain_state.begin(7.5)
    assert drain_state.is_leaving
    assert drain_state.accepts(107.4) and not drain_state.accepts(107.41)
    clock.now_s += 7.0
    assert drain_state.accepts(107.4) and not drain_state.accepts(107.41)


def test_closed_entry_accepts_nothing():
    """A lookup was interrupted that arrived after the entry had become idle and before it exited.

    Found in the run keys-taken-while-stopping.
    """
    drain_state = DrainState(FakeClock())
    drain_state.begin(7.5)
    drain_state.close()
    assert not drain_state.accepts(100.0)


def test_generations_spread_over_engines_by_memory():
    path = build_path([build_record("engine-1"), build_record("engine-2")])
    small = EngineNeed(1000, 400.0)
    placed = [
        path.queue.place(build_ticket(str(n), need=small), NullCallerWatch()) for n in range(6)
    ]
    names = [each.ok_value.run.upstream for each in placed]
    assert names.count("engine-1") == names.count("engine-2") == 3


def test_avoided_engine_is_chosen_only_if_there_is_no_other():
    path = build_path([build_record("engine-1"), build_record("engine-2")])
    path.loads.record_failure("engine-1", 10.0)
    small = EngineNeed(100, 40.0)
    assert path.placement.choose_engine(MODEL, small, ()).record.id == "engine-2"
    assert path.placement.choose_engine(MODEL, small, {"engine-2"}).record.id == "engine-1"


def test_unary_calls_prefer_their_zone_until_it_is_busier():
    records = [build_record("near", LEDGER), build_record("far", LEDGER, zone=OTHER_ZONE)]
    path = build_path(records)
    assert path.placement.choose_for_call(LEDGER, ()).record.id == "near"
    for number in range(2):
        path.loads.start(Run(f"r{number}", "near", 0.0))
    assert path.placement.choose_for_call(LEDGER, ()).record.id == "far"


def test_migration_avoids_an_engine_whose_last_request_failed():
    """An engine that had refused connections 5 s earlier was chosen: its copy came too late."""
    path = build_path([build_record("engine-1"), build_record("engine-2", zone=OTHER_ZONE)])
    path.loads.record_failure("engine-1", 0.0)
    small = EngineNeed(100, 40.0)
    assert path.placement.choose_move_target(MODEL, small, (), ZONE).record.id == "engine-2"
    path.loads.record_success("engine-1")
    assert path.placement.choose_move_target(MODEL, small, (), ZONE).record.id == "engine-1"
