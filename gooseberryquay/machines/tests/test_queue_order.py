import time

from result import Ok

from gooseberryquay.machines.choice import RequestEstimate
from gooseberryquay.machines.queue_order import QueueClass, WorkQueue
from gooseberryquay.machines.queue_waiter import Waiter
from gooseberryquay.machines.tests.choice_builders import build_work


def _add(queue, workspace, *, now_s=0.0, patience_s=10.0, is_quick=False, tokens=100.0):
    work = build_work(workspace=workspace, prompt_tokens=0)
    waiter = Waiter(RequestEstimate(work, tokens, is_quick, tokens), now_s, now_s + patience_s)
    queue.add(waiter)
    return waiter


def _serve(queue, count, weights, now_s=0.0):
    served = []
    for _ in range(count):
        waiter = queue.heads(now_s)[0]
        waiter.resolve(Ok(None))
        queue.remove(waiter)
        workspace = waiter.estimate.work.workspace
        queue.charge(waiter, weights.get(workspace, 1))
        served.append(workspace)
    return served


def test_large_workspace_does_not_starve_a_small_one():
    queue = WorkQueue()
    for _ in range(50):
        _add(queue, "large")
    _serve(queue, 10, {})
    for _ in range(3):
        _add(queue, "small")
    assert _serve(queue, 6, {}).count("small") >= 2


def test_shares_follow_weights_in_tokens():
    queue = WorkQueue()
    for _ in range(60):
        _add(queue, "heavy", tokens=50.0)
        _add(queue, "light", tokens=100.0)
    served = _serve(queue, 60, {"heavy": 3, "light": 1})
    heavy_tokens = 50.0 * served.count("heavy")
    light_tokens = 100.0 * served.count("light")
    assert 2.4 <= heavy_tokens / light_tokens <= 3.6


def test_quick_work_goes_before_long_work_until_that_is_urgent():
    queue = WorkQueue()
    long_waiter = _add(queue, "a")
    quick_waiter = _add(queue, "a", now_s=6.0, is_quick=True)
    assert queue.heads(4.0)[0] is quick_waiter
    assert queue.heads(6.5)[0] is long_waiter


def test_least_time_left_goes_first_within_a_workspace():
    queue = WorkQueue()
    _add(queue, "a", patience_s=9.0)
    hurried = _add(queue, "a", patience_s=3.0)
    assert queue.heads(0.0)[0] is hurried


def test_resolved_waiters_leave_nothing_behind():
    queue = WorkQueue()
    waiters = [_add(queue, f"w{number}", now_s=time.monotonic()) for number in range(20)]
    for waiter in waiters:
        waiter.resolve(Ok(None))
        queue.remove(waiter)
    assert len(queue) == 0
    assert queue.length_before(QueueClass.LONG) == 0
    assert queue.heads(0.0) == []
