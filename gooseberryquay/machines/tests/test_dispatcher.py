import threading
import time

import pytest
from result import Err, Ok

from gooseberryquay.contracts.settings import ChoiceRule, ChoiceSettings
from gooseberryquay.errors import DeadlineUnreachable, Overloaded, Ran
from gooseberryquay.machines.load_report import LoadReport, UpstreamCondition
from gooseberryquay.machines.service_queue import MEDIAN_GAP_REFRESH_S
from gooseberryquay.machines.tests.choice_builders import (
    WARM,
    MutableConfiguration,
    build_configuration,
    build_dispatcher,
    build_upstream,
    build_work,
    build_workspace,
)
from gooseberryquay.machines.tests.cold_builders import wait_until
from gooseberryquay.machines.work import Outcome
from gooseberryquay.zones.zone_state import ZoneState


def _configuration(count=3, **fields):
    return MutableConfiguration(
        build_configuration([build_upstream(number, **fields) for number in range(count)])
    )


def _learn_length(dispatcher, length_tokens):
    for _ in range(20):
        placed = dispatcher.place(build_work()).unwrap()
        placed.record_tokens(length_tokens)
        placed.finish(Outcome.FINISHED)


@pytest.mark.parametrize("rule", list(ChoiceRule))
def test_every_rule_spreads_work_and_gives_places_back(rule):
    dispatcher = build_dispatcher(_configuration(), ChoiceSettings(rule=rule))
    placed = [dispatcher.place(build_work()).unwrap() for _ in range(12)]
    assert len({each.upstream.id for each in placed}) == 3
    for each in placed:
        each.finish(Outcome.FINISHED)
        each.finish(Outcome.FINISHED)
    assert dispatcher.in_flight() == 0


def test_zone_out_takes_effect_on_the_next_decision():
    configuration = _configuration()
    dispatcher = build_dispatcher(configuration)
    zone = configuration.value.declaration.upstreams["engine-0"].zone
    configuration.value = configuration.value.model_copy(
        update={"revision": 2, "zone_states": {zone: ZoneState.OUT}}
    )
    chosen = {dispatcher.place(build_work()).unwrap().upstream.zone for _ in range(20)}
    assert zone not in chosen


def test_upstreams_of_a_returned_zone_wait_for_a_report_as_they_may_be_cold():
    configuration = _configuration()
    dispatcher = build_dispatcher(configuration)
    initial = configuration.value
    zone = initial.declaration.upstreams["engine-0"].zone
    configuration.value = initial.model_copy(
        update={"revision": 2, "zone_states": {zone: ZoneState.OUT}}
    )
    assert dispatcher.place(build_work()).is_ok()
    configuration.value = initial.model_copy(update={"revision": 3})
    chosen = {dispatcher.place(build_work()).unwrap().upstream.zone for _ in range(20)}
    assert zone not in chosen
    dispatcher.record_report("engine-0", WARM)
    chosen = {dispatcher.place(build_work()).unwrap().upstream.zone for _ in range(20)}
    assert zone in chosen


def test_zone_out_takes_effect_on_what_is_queued():
    configuration = _configuration(count=2, in_flight_max=1)
    dispatcher = build_dispatcher(configuration, ChoiceSettings(queue_patience=20.0))
    first, second = (dispatcher.place(build_work()).unwrap() for _ in range(2))
    answers = []
    waiting = threading.Thread(target=lambda: answers.append(dispatcher.place(build_work())))
    waiting.start()
    while dispatcher.queued() == 0:
        time.sleep(0.01)
    configuration.value = configuration.value.model_copy(
        update={"revision": 2, "zone_states": {first.upstream.zone: ZoneState.OUT}}
    )
    first.finish(Outcome.FINISHED)
    assert answers == []
    second.finish(Outcome.FINISHED)
    waiting.join(20.0)
    assert answers[0].unwrap().upstream.id == second.upstream.id


def test_expected_memory_bounds_what_an_engine_gets():
    settings = ChoiceSettings(queue_patience=0.05, memory_share_max=0.9)
    dispatcher = build_dispatcher(_configuration(count=1), settings)
    results = [dispatcher.place(build_work(prompt_tokens=2000)) for _ in range(6)]
    assert [each.is_ok() for each in results].count(True) == 4
    failure = results[-1].unwrap_err()
    assert isinstance(failure, Overloaded)
    assert failure.ran is Ran.NO
    assert failure.retry_after_s >= 1.0


def test_work_that_cannot_make_its_deadline_is_refused_at_once():
    dispatcher = build_dispatcher(_configuration())
    _learn_length(dispatcher, 500)
    assert dispatcher.place(build_work()).is_ok()
    match dispatcher.place(build_work(deadline_at_s=time.monotonic() + 2.0)):
        case Err(DeadlineUnreachable(retry_after_s=1.0)):
            pass
        case other:
            raise AssertionError(other)


def test_unknown_leaving_and_silent_upstreams_get_nothing():
    dispatcher = build_dispatcher(
        _configuration(), ChoiceSettings(queue_patience=0.05), reports=None
    )
    assert dispatcher.place(build_work()).is_err()
    dispatcher.record_report("engine-0", LoadReport(condition=UpstreamCondition.LEAVING))
    dispatcher.record_report("engine-1", LoadReport(condition=UpstreamCondition.COLD))
    dispatcher.record_report("engine-2", WARM)
    assert dispatcher.place(build_work()).unwrap().upstream.id == "engine-2"
    dispatcher.record_unresponsive("engine-2", True)
    assert dispatcher.place(build_work()).is_err()


def test_excluded_upstreams_are_left_out_and_all_excluded_is_refused_at_once():
    dispatcher = build_dispatcher(_configuration(count=2))
    work = build_work(excluded=frozenset({"engine-0"}))
    assert dispatcher.place(work).unwrap().upstream.id == "engine-1"
    all_excluded = build_work(excluded=frozenset({"engine-0", "engine-1"}))
    assert dispatcher.place(all_excluded).is_err()


def test_workspace_is_held_to_its_share_of_in_flight():
    upstreams = [build_upstream(number) for number in range(3)]
    configuration = MutableConfiguration(
        build_configuration(upstreams, workspaces=[build_workspace(max_in_flight=16)])
    )
    dispatcher = build_dispatcher(
        configuration, ChoiceSettings(queue_patience=0.05), entry_count=lambda: 8, reports=WARM
    )
    assert [dispatcher.place(build_work()).is_ok() for _ in range(3)] == [True, True, False]
    assert isinstance(dispatcher.place(build_work(workspace="other")), Ok)


def test_queue_that_lost_its_capacity_sheds_long_work_at_once():
    configuration = _configuration(count=3, in_flight_max=4)
    settings = ChoiceSettings(queue_patience=8.0)
    dispatcher = build_dispatcher(configuration, settings)
    for _ in range(40):
        dispatcher.place(build_work()).unwrap().finish(Outcome.FINISHED)
    placed = [dispatcher.place(build_work()).unwrap() for _ in range(12)]
    answers = []
    threads = [
        threading.Thread(target=lambda: answers.append(dispatcher.place(build_work())))
        for _ in range(80)
    ]
    for each in threads:
        each.start()
    wait_until(lambda: dispatcher.queued() + len(answers) == 80)
    zones = {zone: ZoneState.OUT for zone in ("sask-b", "sask-c")}
    configuration.value = configuration.value.model_copy(
        update={"revision": 2, "zone_states": zones}
    )
    time.sleep(3.0)
    next(each for each in placed if each.upstream.zone == "sask-a").finish(Outcome.FINISHED)
    shed_at_s = time.monotonic()
    wait_until(lambda: sum(each.is_err() for each in answers) >= 20)
    assert time.monotonic() - shed_at_s < 3.0
    for each in placed:
        each.finish(Outcome.FINISHED)
    for each in threads:
        each.join(20.0)
    failures = [each.unwrap_err() for each in answers if each.is_err()]
    assert all(each.ran is Ran.NO and each.retry_after_s >= 1.0 for each in failures)


def test_upstream_far_slower_than_the_others_gets_nothing_until_it_reports():
    dispatcher = build_dispatcher(_configuration(), ChoiceSettings(rule=ChoiceRule.LEAST_IN_FLIGHT))
    placed = [dispatcher.place(build_work()).unwrap() for _ in range(9)]
    for each in placed:
        is_slow = each.upstream.id == "engine-0"
        for _ in range(100):
            each.upstream_state.record_gap(0.2 if is_slow else 0.02)
        each.upstream_state.received_at_s -= 5.0
    time.sleep(MEDIAN_GAP_REFRESH_S)
    chosen = {dispatcher.place(build_work()).unwrap().upstream.id for _ in range(20)}
    assert chosen == {"engine-1", "engine-2"}
    dispatcher.record_report("engine-0", WARM.model_copy(update={"in_flight": 3}))
    chosen = {dispatcher.place(build_work()).unwrap().upstream.id for _ in range(30)}
    assert "engine-0" in chosen
