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

UNDECIDED = IndeterminateOutcome("broke off")
ANSWER = UpstreamResponse(200, "application/json", b"ok")
NOT_SENT = NotExecuted(UpstreamFailed("no connection", Ran.NO))


def send(*outcomes, repeat=RepeatPolicy.ALLOWED):
    """Send through an upstream with scripted outcomes; there is no place after the last one."""
    left = list(outcomes)
    link = SimpleNamespace(send=lambda _call, _may_send_again: left.pop(0))

    def place(_work):
        if not left:
            return Err(Overloaded("no place", Ran.NO))
        return Ok(SimpleNamespace(upstream=build_upstream(0), finish=lambda _outcome: None))

    dispatcher = SimpleNamespace(place=place)
    caller = ServiceCaller(dispatcher, lambda _upstream: link, RetryBudget(0.1))
    work = build_work(service=SERVICE)
    assert work.deadline_at_s > time.monotonic()
    return caller.send(work, ServiceCall("find", "request-1", b"{}", repeat, 10.0))


@pytest.mark.parametrize(
    "later", [[NOT_SENT], [RefusedByUpstream("busy")], [], [NOT_SENT, RefusedByUpstream("busy")]]
)
def test_send_that_may_have_run_is_not_forgotten_after_a_later_refusal(later):
    assert send(UNDECIDED, *later) == UNDECIDED


def test_later_answer_settles_a_send_that_may_have_run():
    assert send(UNDECIDED, NOT_SENT, ANSWER) == ANSWER


def test_refusals_alone_prove_that_nothing_ran():
    assert isinstance(send(RefusedByUpstream("busy"), NOT_SENT), NotExecuted)


def test_operation_that_may_not_repeat_stops_once_it_may_have_run():
    assert send(UNDECIDED, ANSWER, repeat=RepeatPolicy.NEVER) == UNDECIDED
