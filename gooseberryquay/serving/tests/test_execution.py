"""What the outcomes of sends prove about the execution of a request."""

import threading

import pytest
from result import Err, Ok

from gooseberryquay.contracts.fields import Address
from gooseberryquay.links.caller_watch import NullCallerWatch
from gooseberryquay.links.upstream_connection import CallerLeft
from gooseberryquay.serving.execution import Execution
from gooseberryquay.serving.ports import (
    Continuation,
    CopyHandle,
    IndeterminateOutcome,
    NotExecuted,
    SendOptions,
)
from gooseberryquay.serving.tests.builders import (
    ScriptedCalls,
    ScriptedResponse,
    build_call,
    build_record,
)

UNTIL_S = 0.0
COPY = CopyHandle(Address("127.0.0.1", 9000), "h-1")


def _send(execution, outcome, continuation=None):
    options = SendOptions(None, UNTIL_S, continuation=continuation)
    client = ScriptedCalls([outcome])
    return execution.send(
        client, build_record("engine-1"), build_call(), options, NullCallerWatch()
    )


@pytest.mark.parametrize(
    ("outcome", "may_have_run"),
    [
        (NotExecuted("refused"), False),
        (ScriptedResponse(503, is_not_run=True), False),
        (ScriptedResponse(503), True),
        (ScriptedResponse(500), True),
        (ScriptedResponse(200), True),
        (IndeterminateOutcome("reset"), True),
        (CallerLeft(), True),
    ],
)
def test_send_counts_as_a_run_unless_its_outcome_disproves_it(outcome, may_have_run):
    execution = Execution()
    _send(execution, outcome)
    assert execution.may_have_run is may_have_run


def test_refusal_does_not_disprove_an_earlier_run():
    execution = Execution()
    _send(execution, IndeterminateOutcome("reset"))
    _send(execution, NotExecuted("refused"))
    assert execution.run_count == 1


@pytest.mark.parametrize("outcome", [ScriptedResponse(200), NotExecuted("refused")])
def test_continuation_from_a_copy_is_part_of_the_run_that_was_counted(outcome):
    execution = Execution()
    _send(execution, ScriptedResponse(200))
    _send(execution, outcome, Continuation("3", COPY))
    assert execution.run_count == 1
    _send(execution, ScriptedResponse(200), Continuation("3", None))
    assert execution.run_count == 2


def test_exception_during_a_send_counts_as_a_run():
    class FailingClient:
        def open(self, *_arguments):
            raise TimeoutError("timed out")

    execution = Execution()
    options = SendOptions(None, UNTIL_S)
    with pytest.raises(TimeoutError):
        execution.send(
            FailingClient(), build_record("engine-1"), build_call(), options, NullCallerWatch()
        )
    assert execution.may_have_run


def test_withdrawn_request_is_not_sent():
    execution = Execution()
    execution.withdraw()
    assert isinstance(_send(execution, ScriptedResponse(200)), Err)
    assert not execution.may_have_run


def test_only_a_request_that_cannot_have_run_is_withdrawn_as_unsent():
    sent, unsent = Execution(), Execution()
    assert isinstance(_send(sent, ScriptedResponse(200)), Ok)
    for each in (sent, unsent):
        each.withdraw_unsent()
    assert (sent.is_withdrawn, unsent.is_withdrawn) == (False, True)


def test_request_withdrawn_while_others_send_never_runs_afterwards():
    execution = Execution()
    counts = []

    def send():
        for _ in range(200):
            _send(execution, ScriptedResponse(200))

    senders = [threading.Thread(target=send) for _ in range(4)]
    for each in senders:
        each.start()
    execution.withdraw()
    counts.append(execution.run_count)
    for each in senders:
        each.join()
    counts.append(execution.run_count)
    assert counts[0] == counts[1]
