"""What may be tried again, and what a refusal may promise."""

import itertools

import pytest

from gooseberryquay.links.upstream_connection import CallerLeft
from gooseberryquay.serving.call_handler import WholeAnswer
from gooseberryquay.serving.ports import NotExecuted
from gooseberryquay.serving.refusal import Refusal, RefusalReason
from gooseberryquay.serving.route import RouteKind
from gooseberryquay.serving.tests.builders import (
    BROKEN,
    LEDGER,
    ScriptedAnswer,
    ScriptedCalls,
    build_path,
    build_record,
    build_request,
    build_route,
)

RECORDS = [build_record(f"app-{number}", LEDGER) for number in range(3)]
SHED = ScriptedAnswer(503, is_not_run=True)


def _serve(kind, *answers, records=RECORDS, retry_ratio=1.0, **changes):
    calls = ScriptedCalls(list(answers))
    path = build_path(records, calls, retry_ratio=retry_ratio)
    end = path.call_handler.serve(build_request(build_route(kind, **changes)))
    assert path.loads.in_flight() == 0
    return end, calls


def _ok(body=b"done"):
    return ScriptedAnswer(200, [body])


def test_answer_is_passed_on_whole_and_its_connection_kept():
    answer = ScriptedAnswer(200, [b"a", b"b"], headers=[("seal", "s")])
    end, _ = _serve(RouteKind.NON_IDEMPOTENT, answer)
    assert end == WholeAnswer(200, [("seal", "s")], b"ab")
    assert answer.is_finished


@pytest.mark.parametrize("first", [BROKEN, ScriptedAnswer(200, [b"a"], BROKEN)])
def test_request_that_may_have_run_is_sent_again_only_where_it_may_repeat(first):
    end, calls = _serve(RouteKind.IDEMPOTENT, first, _ok())
    assert isinstance(end, WholeAnswer)
    assert len(set(calls.upstreams())) == 2


@pytest.mark.parametrize("first", [BROKEN, ScriptedAnswer(200, [b"a"], BROKEN)])
def test_posting_that_may_have_run_is_never_sent_again(first):
    end, calls = _serve(RouteKind.NON_IDEMPOTENT, first)
    assert isinstance(end, Refusal)
    assert end.reason is RefusalReason.OUTCOME_UNKNOWN
    assert not end.reason.says_not_run
    assert len(calls.opened) == 1


@pytest.mark.parametrize(
    "first", [SHED, NotExecuted("refused"), ScriptedAnswer(421, is_not_run=True)]
)
def test_posting_that_has_not_run_goes_to_another_upstream(first):
    end, calls = _serve(RouteKind.NON_IDEMPOTENT, first, _ok())
    assert isinstance(end, WholeAnswer)
    assert len(set(calls.upstreams())) == 2


def test_status_that_promises_not_run_is_not_believed_without_proof():
    end, _ = _serve(RouteKind.NON_IDEMPOTENT, ScriptedAnswer(503, [b"busy"]))
    assert end.reason is RefusalReason.OUTCOME_UNKNOWN


def test_attempts_of_the_route_bound_the_upstreams_that_may_have_run_it():
    failed = ScriptedAnswer(500, [b"oops"])
    end, calls = _serve(RouteKind.IDEMPOTENT, failed, ScriptedAnswer(500, [b"again"]), _ok())
    assert end == WholeAnswer(500, [], b"again")
    assert len(calls.opened) == 2


def test_failure_of_the_upstream_is_kept_when_the_second_attempt_is_lost():
    end, _ = _serve(RouteKind.IDEMPOTENT, ScriptedAnswer(500, [b"oops"]), BROKEN)
    assert end == WholeAnswer(500, [], b"oops")


def test_spent_retry_budget_ends_with_a_true_refusal_at_once():
    path_end, calls = _serve(RouteKind.IDEMPOTENT, *[SHED] * 9, retry_ratio=0.0)
    assert path_end.reason is RefusalReason.NOT_RUN
    assert path_end.retry_after_s is not None
    assert len(calls.opened) == 4  # the first attempt and the smallest burst of retries


def test_no_upstream_is_a_refusal_that_has_not_run():
    end, _ = _serve(RouteKind.NON_IDEMPOTENT, records=[])
    assert end.reason is RefusalReason.NOT_RUN
    assert ("retry-after", "0.30") in end.headers()


def test_caller_that_leaves_ends_the_attempts():
    end, calls = _serve(RouteKind.IDEMPOTENT, CallerLeft(), _ok())
    assert isinstance(end, CallerLeft)
    assert len(calls.opened) == 1


def test_deadline_that_passed_is_a_refusal_without_an_attempt():
    end, calls = _serve(RouteKind.IDEMPOTENT, timeout_s=0.0)
    assert end.reason is RefusalReason.DEADLINE_PAST
    assert calls.opened == []


def test_connections_that_fail_do_not_spend_the_retry_budget():
    """On a day with a zone cold, requests were refused though they had reached no upstream."""
    refused = [NotExecuted("refused")] * 5
    end, calls = _serve(RouteKind.NON_IDEMPOTENT, *refused, _ok(), retry_ratio=0.0)
    assert isinstance(end, WholeAnswer)
    assert len(calls.opened) == 6


def test_connections_that_always_fail_end_in_a_refusal():
    end, calls = _serve(RouteKind.NON_IDEMPOTENT, *[NotExecuted("refused")] * 30, retry_ratio=0.0)
    assert end.reason is RefusalReason.NOT_RUN
    assert len(calls.opened) <= 10


def test_answers_without_end_take_no_more_than_their_share_of_the_memory():
    """Two bodies that never ended were held up to 64 MB each, the whole of a small instance."""
    endless = [ScriptedAnswer(200, itertools.repeat(b"x" * 65536)) for _ in range(2)]
    path = build_path(RECORDS, ScriptedCalls([*endless, _ok()]), memory_mb=1)
    for _ in endless:
        end = path.call_handler.serve(build_request(build_route(RouteKind.NON_IDEMPOTENT)))
        assert end.reason is RefusalReason.OUTCOME_UNKNOWN
    assert all(each.is_closed for each in endless)
    end = path.call_handler.serve(build_request(build_route(RouteKind.NON_IDEMPOTENT)))
    assert isinstance(end, WholeAnswer)
