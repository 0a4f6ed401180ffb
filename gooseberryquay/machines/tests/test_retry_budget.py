import random

import pytest

from gooseberryquay.machines.retry_budget import RetryBudget, SharedAllowance

RATE_PER_S = 5.0
BROWN_OUT_S = 10.0
# Retry limits required by users.
RATIO = 0.2
WINDOW_S = 10.0


class Clock:
    def __init__(self):
        self.now_s = 0.0

    def __call__(self):
        return self.now_s


def _run(budget, clock, rate_per_s, duration_s, is_failing):
    """Send requests at an even rate; failing ones are retried as often as the budget allows."""
    requests = retries = 0
    for _ in range(round(rate_per_s * duration_s)):
        clock.now_s += 1.0 / rate_per_s
        budget.record_request("model")
        requests += 1
        while is_failing and budget.may_retry("model"):
            retries += 1
    return (requests + retries) / requests


def test_retries_stay_a_tenth_of_requests_in_a_brown_out():
    budget = RetryBudget(0.1)
    retries = 0
    for _ in range(10_000):
        budget.record_request("model")
        while budget.may_retry("model"):
            retries += 1
    assert (10_000 + retries) / 10_000 <= 1.2


@pytest.mark.parametrize("rate_per_s", [RATE_PER_S, 11.0, 88.0])
def test_saved_up_retries_do_not_amplify_a_short_brown_out(rate_per_s):
    clock = Clock()
    budget = RetryBudget(0.1, clock=clock)
    _run(budget, clock, rate_per_s, 60.0, is_failing=False)
    assert _run(budget, clock, rate_per_s, BROWN_OUT_S, is_failing=True) <= 1.2


def test_saved_up_retries_fade_with_the_rate_that_earned_them():
    clock = Clock()
    budget = RetryBudget(0.1, clock=clock)
    _run(budget, clock, 88.0, 60.0, is_failing=False)
    clock.now_s += 60.0
    retries = 0
    while budget.may_retry("model"):
        retries += 1
    assert retries == 3


def test_services_have_budgets_of_their_own():
    budget = RetryBudget(0.0)
    while budget.may_retry("one"):
        pass
    assert budget.may_retry("other")


def test_backoff_is_jittered_and_bounded():
    budget = RetryBudget(0.1, random.Random(1))
    waits = [budget.backoff_s(attempt) for attempt in range(1, 40)]
    assert len(set(waits)) == len(waits)
    assert 0 <= min(waits) <= max(waits) <= 1.0


def _fleet(count, allowance, clock, counts=None):
    counted = SharedAllowance(allowance, WINDOW_S, lambda: counts[0] if counts else count)
    return [RetryBudget(RATIO, clock=clock, allowance=counted) for _ in range(count)]


def _retry_at_every_chance(fleet, clock, span_s, requests_per_s):
    """Let all entries retry as often as allowed; return the times of all retries."""
    retried_at_s = []
    for step in range(round(span_s * requests_per_s)):
        clock.now_s += 1.0 / requests_per_s
        fleet[step % len(fleet)].record_request("model")
        for each in fleet:
            while each.may_retry("model"):
                retried_at_s.append(clock.now_s)
    return retried_at_s


def _most_in_a_window(times_s):
    counts = [sum(first <= each < first + WINDOW_S for each in times_s) for first in set(times_s)]
    return max(counts, default=0)


@pytest.mark.parametrize(("count", "allowance"), [(6, 52), (8, 56), (195, 430)])
@pytest.mark.parametrize("requests_per_s", [5.0, 30.0, 120.0])
def test_retries_of_all_entries_stay_within_the_allowance(count, allowance, requests_per_s):
    clock = Clock()
    fleet = _fleet(count, allowance, clock)
    for step in range(round(20.0 * requests_per_s)):
        clock.now_s += 1.0 / requests_per_s
        fleet[step % count].record_request("model")
    most = _most_in_a_window(_retry_at_every_chance(fleet, clock, 3 * WINDOW_S, requests_per_s))
    assert most <= RATIO * requests_per_s * WINDOW_S + allowance
    assert most >= allowance / 2


def test_entries_that_all_start_again_bring_no_retries_with_them():
    clock, count, allowance = Clock(), 195, 430
    retried_at_s = []
    for _ in range(4):
        fleet = _fleet(count, allowance, clock, counts=[None])
        retried_at_s += _retry_at_every_chance(fleet, clock, 2.0, 80.0)
    assert _most_in_a_window(retried_at_s) <= RATIO * 80.0 * WINDOW_S + allowance


def test_moves_that_must_be_made_come_off_later_retries():
    clock = Clock()
    (budget,) = _fleet(1, 10, clock)
    budget.record_request("model")
    clock.now_s += 30.0
    for _ in range(7):
        budget.spend("model")
    assert not budget.may_retry("model")
    clock.now_s += 3.0
    assert not budget.may_retry("model")
    clock.now_s += 5.0
    assert budget.may_retry("model")
