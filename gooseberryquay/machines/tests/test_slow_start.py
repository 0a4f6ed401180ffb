from gooseberryquay.machines.load_report import LoadReport, UpstreamCondition
from gooseberryquay.machines.slow_start import STEP_S, SlowStart
from gooseberryquay.machines.tests.choice_builders import build_upstream
from gooseberryquay.machines.upstream import Upstream

COLD = LoadReport(condition=UpstreamCondition.COLD)
WARM = LoadReport(condition=UpstreamCondition.WARM)


def _steps_until_over(slow_start, token_gap_s, max_steps=50):
    now_s = 0.0
    for step in range(max_steps):
        if slow_start.has_room(10_000, token_gap_s, 0.071, now_s):
            return step
        now_s += STEP_S
    return None


def test_width_grows_while_tokens_come_on_time_and_not_while_they_are_late():
    late, slow_start = SlowStart(), SlowStart()
    late.begin(2, 0.0)
    assert _steps_until_over(late, token_gap_s=0.2) is None
    slow_start.begin(2, 0.0)
    assert 3 < _steps_until_over(slow_start, token_gap_s=0.03) < 20


def test_width_shrinks_to_one_at_least():
    slow_start = SlowStart()
    slow_start.begin(4, 0.0)
    for step in range(10):
        slow_start.has_room(4, 0.2, 0.071, step * STEP_S)
    assert slow_start.has_room(0, 0.2, 0.071, 5.0)
    assert not slow_start.has_room(1, 0.2, 0.071, 5.0)


def test_upstream_that_turned_warm_starts_at_its_cold_width_and_one_found_warm_at_full_width():
    found_warm = Upstream(build_upstream(1, cold_in_flight_max=2))
    found_warm.update_report(WARM, 1.0)
    assert found_warm.slow_start.is_over
    was_cold = Upstream(build_upstream(2, cold_in_flight_max=2))
    was_cold.update_report(COLD, 1.0)
    was_cold.update_report(WARM, 2.0)
    assert was_cold.slow_start.has_room(1, 0.03, 0.071, 2.0)
    assert not was_cold.slow_start.has_room(2, 0.03, 0.071, 2.0)
