import random

import pytest

from gooseberryquay.machines.retry_budget import RetryBudget

RATE_PER_S = 5.0
BROWN_OUT_S = 10.0


class Clock:
    def __init__(self):
        self.now_s = 0.0

    def __call__(self):
        return self.now_s


def _run(budget, clock, rate_per_s, duration_s, is_failing):
    """Make requests evenly; while failing, each is retried as often as the budget lets it."""
    requests = retries = 0
    for _ in range(round(rate_per_s * duration_s)):
        clock.now_s += 1.0 / rate_per_s
        budget.saw_request("model")
        requests += 1
        while is_failing and budget.may_retry("model"):
            retries += 1
    return (requests + retries) / requests


def test_retries_stay_a_tenth_of_requests_in_a_brown_out():
    budget = RetryBudget(0.1)
    retries = 0
    for _ in range(10_000):
        budget.saw_request("model")
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
