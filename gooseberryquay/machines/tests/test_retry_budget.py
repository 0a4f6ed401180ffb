import random

from gooseberryquay.machines.retry_budget import RetryBudget


def test_retries_stay_a_tenth_of_requests_in_a_brown_out():
    budget = RetryBudget(0.1)
    retries = 0
    for _ in range(10_000):
        budget.saw_request("model")
        while budget.may_retry("model"):
            retries += 1
    assert (10_000 + retries) / 10_000 <= 1.2


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
