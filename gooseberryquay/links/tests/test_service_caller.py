import time
from types import SimpleNamespace

import pytest
from result import Err, Ok

from gooseberryquay.contracts.service import RepeatPolicy
from gooseberryquay.errors import Overloaded, Ran, UpstreamFailed
from gooseberryquay.links.dispatch_outcome import (
    IndeterminateOutcome,
    NotExecuted,
    RefusedByUpstream,
    UpstreamResponse,
)
from gooseberryquay.links.service_caller import ServiceCaller
from gooseberryquay.links.service_client import ServiceCall
from gooseberryquay.machines.retry_budget import RetryBudget
from gooseberryquay.machines.tests.choice_builders import SERVICE, build_upstream, build_work

INDETERMINATE = IndeterminateOutcome("broke off")
ANSWER = UpstreamResponse(200, "application/json", b"ok")
NOT_EXECUTED = NotExecuted(UpstreamFailed("no connection", Ran.NO))


def send(*outcomes, repeat=RepeatPolicy.ALLOWED):
    """Send through an upstream with scripted outcomes; no slot is left after the last one."""
    left = list(outcomes)
    client = SimpleNamespace(send=lambda _call, _may_send_again: left.pop(0))

    def place(_work):
        if not left:
            return Err(Overloaded("no place", Ran.NO))
        return Ok(SimpleNamespace(upstream=build_upstream(0), finish=lambda _outcome: None))

    dispatcher = SimpleNamespace(place=place)
    caller = ServiceCaller(dispatcher, lambda _upstream: client, RetryBudget(0.1))
    work = build_work(service=SERVICE)
    assert work.deadline_at_s > time.monotonic()
    return caller.send(work, ServiceCall("find", "request-1", b"{}", repeat, 10.0))


@pytest.mark.parametrize(
    "later",
    [[NOT_EXECUTED], [RefusedByUpstream("busy")], [], [NOT_EXECUTED, RefusedByUpstream("busy")]],
)
def test_attempt_that_may_have_run_stays_undecided_after_a_later_refusal(later):
    assert send(INDETERMINATE, *later) == INDETERMINATE


def test_later_response_settles_an_attempt_that_may_have_run():
    assert send(INDETERMINATE, NOT_EXECUTED, ANSWER) == ANSWER


def test_refusals_alone_prove_that_nothing_ran():
    assert isinstance(send(RefusedByUpstream("busy"), NOT_EXECUTED), NotExecuted)


def test_operation_that_may_not_repeat_stops_once_it_may_have_run():
    assert send(INDETERMINATE, ANSWER, repeat=RepeatPolicy.NEVER) == INDETERMINATE
