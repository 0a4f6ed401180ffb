"""A leaving entry takes only what can end before it exits, and answers what is open then."""

import threading
import time

import pytest

from gooseberryquay.daemons.tests.builders import (
    COMPLETION_PATH,
    FIND_PATH,
    MODEL,
    POST_PATH,
    WORKSPACE,
    BackgroundStream,
    call,
    small_plan,
    stream,
    wait_until,
)
from gooseberryquay.links.execution_proof import PROMISES_NOT_EXECUTED
from gooseberryquay.links.tests.raw_caller import RawCallers
from gooseberryquay.standins.local_fleet import LocalFleet
from gooseberryquay.standins.service_messages import DelayAnswers

NOTICE_S = 3.0
DRAIN_S = 1.0
LONG_TOKENS = 2000
# Several times what a busy machine needs to write an answer or to end a process.
SLACK_S = 8.0
LATE_ANSWER_S = 30.0
FIRST = {"X-Retry-Count": "0"}


@pytest.fixture
def fleet():
    limits = {"leave_notice_s": NOTICE_S, "drain_timeout_s": DRAIN_S}
    with LocalFleet(small_plan(engines=1, limits=limits)) as running:
        wait_until(lambda: stream(running.entry_addresses()[0], 2).is_done)
        yield running


def _is_leaving(address):
    return call(address, "/readyz", {}, method="GET").status == 503


class BackgroundCall:
    """Send one request in a background thread and note when it was answered."""

    def __init__(self, address, path, body, key=None, **headers):
        self.response = None
        self.answered_at_s = None
        self._arguments = (address, path, body, key)
        self._headers = headers
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        self.response = call(*self._arguments, **self._headers)
        self.answered_at_s = time.monotonic()

    def join(self):
        self._thread.join(LATE_ANSWER_S + SLACK_S)
        return self.response


def test_leaving_entry_takes_only_requests_whose_deadline_lies_before_its_exit(fleet):
    at = fleet.entry_addresses()[0]
    prompt = {"model": MODEL, "prompt": "p", "standin_output_tokens": 1}
    late = {"X-Deadline-Ms": str(int((NOTICE_S + DRAIN_S) * 1000)), **FIRST}
    soon = {"X-Deadline-Ms": "1000", **FIRST}
    fleet.terminate("entry-1")
    wait_until(lambda: _is_leaving(at))
    refused = [
        call(at, POST_PATH, {"kg": 1}, "late", **late),
        call(at, FIND_PATH, {"lot": 1}, **late),
        call(at, COMPLETION_PATH, prompt, **late),
        call(at, COMPLETION_PATH, {**prompt, "stream": True}, **late),
        call(at, FIND_PATH, {"lot": 1}),
    ]
    taken = [
        call(at, POST_PATH, {"kg": 1}, "soon", **soon),
        call(at, COMPLETION_PATH, prompt, **soon),
    ]
    assert [each.error["type"] for each in refused] == ["entry_leaving"] * len(refused)
    assert [each.error["ran"] for each in refused] == ["no"] * len(refused)
    assert all(each.headers["retry-after"] for each in refused)
    assert fleet.service_counts("service-1").runs.get("late", 0) == 0
    assert [each.status for each in taken] == [200, 200]


def test_request_that_is_open_at_the_end_of_a_drain_gets_an_answer_that_promises_nothing(fleet):
    at = fleet.entry_addresses()[0]
    fleet.inject("service-1", DelayAnswers(delay_s=LATE_ANSWER_S, count=10))
    prompt = {"model": MODEL, "prompt": "p", "standin_output_tokens": LONG_TOKENS}
    before = fleet.engine_counts("engine-1").arrivals
    callers = [
        BackgroundCall(at, POST_PATH, {"kg": 1}, "open", **FIRST),
        BackgroundCall(at, FIND_PATH, {"lot": 1}),
        BackgroundCall(at, COMPLETION_PATH, prompt),
    ]
    wait_until(lambda: fleet.service_counts("service-1").arrivals == 2)
    wait_until(lambda: fleet.engine_counts("engine-1").arrivals > before)
    fleet.terminate("entry-1")
    exit_at_s = time.monotonic() + NOTICE_S + DRAIN_S
    responses = [each.join() for each in callers]
    assert all(response is not None for response in responses)
    assert [response.error["ran"] for response in responses] == ["maybe"] * 3
    assert not {response.status for response in responses} & PROMISES_NOT_EXECUTED
    assert all(each.answered_at_s < exit_at_s + SLACK_S for each in callers)
    again = call(fleet.entry_addresses()[1], POST_PATH, {"kg": 1}, "open")
    assert again.status == 200 or again.error["ran"] == "maybe"
    assert fleet.service_counts("service-1").runs["open"] == 1


def test_entry_exits_after_its_drain_while_a_stream_goes_on(fleet):
    first, second = fleet.entry_addresses()
    running = BackgroundStream(first, LONG_TOKENS).wait_for_tokens(2)
    fleet.terminate("entry-1")
    assert fleet.process("entry-1").wait(NOTICE_S + DRAIN_S + SLACK_S) == 0
    got = running.join()
    assert got.is_broken and not got.is_done
    rest = stream(second, LONG_TOKENS, last_event_id=got.last_event_id, stop_after=2)
    assert rest.indexes()[0] == got.indexes()[-1] + 1


def _encode_lookup(request_id):
    body = b'{"lot":1}'
    head = (
        f"POST {FIND_PATH} HTTP/1.1\r\nHost: entry\r\nX-Workspace: {WORKSPACE}\r\n"
        f"X-Deadline-Ms: 500\r\nX-Request-Id: {request_id}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


@pytest.mark.parametrize("is_keeping", [True, False], ids=["kept", "new"])
def test_requests_sent_up_to_the_exit_are_answered(fleet, is_keeping):
    """Guard against requests that wait unread as the process exits."""
    callers = RawCallers(fleet.entry_addresses()[0].port, [_encode_lookup], is_keeping)
    callers.start()
    wait_until(lambda: len(callers.sent) > callers.count)
    fleet.terminate("entry-1")
    assert fleet.process("entry-1").wait(NOTICE_S + DRAIN_S + SLACK_S) == 0
    callers.join()
    assert callers.unanswered() == []
