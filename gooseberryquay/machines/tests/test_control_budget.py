import pytest

from gooseberryquay.machines.control_budget import ControlBudget, TrafficClass
from gooseberryquay.machines.load_poller import POLL_GAP_MAX_S

TARGET_BYTES_PER_S = 5000
TARGET_BURST_S = 10
RUN_S = 300
STEP_S = 0.25
ROUNDING_S = 1e-6
MESSAGES_PER_S = 4
MESSAGE_BYTES = 263
RECORD_BYTES = 87
CONFIGURATION_BYTES_PER_S = 800
LIST_BYTES = 41_700
POLL_BYTES = 340
EXCHANGE_BYTES = 900


class Clock:
    """Clock that is advanced only by the test."""

    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def budget(clock):
    return ControlBudget(TARGET_BYTES_PER_S, clock)


def _allowed(budget):
    return {traffic_class for traffic_class in TrafficClass if budget.allows(traffic_class)}


def test_uses_give_way_one_after_the_other_and_return(budget, clock):
    order = []
    while allowed := _allowed(budget):
        order.append(len(allowed))
        budget.spend(100)
    assert sorted(set(order), reverse=True) == [5, 4, 3, 2, 1]
    clock.now_s += budget.wait_s(TrafficClass.MEMBER_CHANGES) + ROUNDING_S
    assert _allowed(budget) == {TrafficClass.MEMBER_CHANGES}
    clock.now_s += budget.wait_s(TrafficClass.POLL) + ROUNDING_S
    assert _allowed(budget) == set(TrafficClass)


def test_polls_of_silent_upstreams_keep_no_list_from_being_read(budget, clock):
    for _ in range(RUN_S):
        clock.now_s += STEP_S
        while budget.allows(TrafficClass.POLL_NEEDED):
            budget.spend(POLL_BYTES)
        assert budget.allows(TrafficClass.MEMBER_LIST)


def test_one_large_read_does_not_stop_the_rest_for_longer_than_the_debt_and_the_burst(
    budget, clock
):
    budget.spend(790_000)
    assert budget.wait_s(TrafficClass.POLL) <= 1.5 * TARGET_BURST_S


@pytest.mark.parametrize("poll", [TrafficClass.POLL, TrafficClass.POLL_NEEDED])
def test_mass_change_in_an_outage_with_polls_and_lists_stays_within_the_target(budget, clock, poll):
    """Model one of 480 entries with the wire sizes of its messages."""
    spent_bytes = 0

    def spend(count):
        nonlocal spent_bytes
        spent_bytes += count
        budget.spend(count)

    next_sketch_s = next_list_s = polled_at_s = clock.now_s
    while clock.now_s < 100.0 + RUN_S:
        clock.now_s += STEP_S
        changes = 6 if budget.allows(TrafficClass.MEMBER_CHANGES) else 2
        spend(MESSAGES_PER_S * STEP_S * (MESSAGE_BYTES + changes * RECORD_BYTES))
        spend(CONFIGURATION_BYTES_PER_S * STEP_S)
        if clock.now_s >= next_sketch_s:
            next_sketch_s += 0.5 if budget.allows(TrafficClass.OUTAGE_REPEAT) else 1.0
            spend(2 * EXCHANGE_BYTES)
        if clock.now_s >= next_list_s and budget.allows(TrafficClass.MEMBER_LIST):
            next_list_s = clock.now_s + 36.0
            spend(LIST_BYTES)
        if budget.allows(poll) or clock.now_s - polled_at_s >= POLL_GAP_MAX_S:
            polled_at_s = clock.now_s
            spend(POLL_BYTES)
    assert spent_bytes <= TARGET_BYTES_PER_S * RUN_S
