"""Non-idempotent operations run at most once; other operations get their own response."""

import json
import socket
import threading

import pytest

from gooseberryquay.daemons.tests.builders import (
    FIND_PATH,
    POST_PATH,
    WORKSPACE,
    call,
    small_plan,
    wait_until,
)
from gooseberryquay.standins.local_fleet import LocalFleet
from gooseberryquay.standins.platform_control import PlatformControl
from gooseberryquay.standins.platform_faults import Outage, PlatformFaults
from gooseberryquay.standins.service_messages import (
    AnswerAfterRun,
    BreakAfterRun,
    CrossAnswers,
    DelayAnswers,
    RefuseBeforeRun,
    TruncateAnswers,
)

SERVICE = "service-1"
OUTAGE_KINDS = (Outage.REFUSE, Outage.DROP)


@pytest.fixture(scope="module")
def fleet():
    with LocalFleet(small_plan(entries=3, engines=1)) as running:
        yield running


@pytest.fixture
def platform(fleet):
    control = PlatformControl(fleet.addresses.own["platform"])
    yield control
    control.set_faults(PlatformFaults())
    fleet.wait_until_ready(fleet.plan.entry_names())


def _runs(fleet, key):
    return fleet.service_counts(SERVICE).runs.get(key, 0)


def test_concurrent_duplicates_at_all_entries_run_once(fleet):
    responses = []
    callers = [
        threading.Thread(
            target=lambda at=at: responses.append(call(at, POST_PATH, {"kg": 1}, "race"))
        )
        for at in fleet.entry_addresses() * 4
    ]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    assert _runs(fleet, "race") == 1
    good = [each for each in responses if each.status == 200]
    assert good
    assert all(each.body == good[0].body for each in good)
    assert all(each.error["ran"] == "maybe" for each in responses if each.status != 200)


def test_posting_without_a_key_is_refused(fleet):
    refused = call(fleet.entry_addresses()[0], POST_PATH, {})
    assert (refused.status, refused.error["type"]) == (400, "idempotency_key_required")
    assert refused.error["ran"] == "no"


def _post_and_half_close(address, key, body, sent_bytes):
    head = (
        f"POST {POST_PATH} HTTP/1.1\r\nHost: entry\r\nX-Workspace: {WORKSPACE}\r\n"
        f"Idempotency-Key: {key}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    with socket.create_connection(address, timeout=20) as connection:
        connection.sendall(head.encode() + body[:sent_bytes])
        connection.shutdown(socket.SHUT_WR)
        return b"".join(iter(lambda: connection.recv(4096), b""))


def test_posting_whose_body_ends_early_is_not_run(fleet):
    body = json.dumps({"kg": 1, "reference": "whole"}).encode()
    answer = _post_and_half_close(fleet.entry_addresses()[0], "cut-body", body, len(body) - 1)
    assert answer.startswith(b"HTTP/1.1 400 ")
    assert _runs(fleet, "cut-body") == 0
    whole = call(fleet.entry_addresses()[1], POST_PATH, json.loads(body), "cut-body")
    assert (whole.status, whole.body["reference"]) == (200, "whole")


def test_posting_of_a_caller_that_closes_only_its_sending_side_is_answered(fleet):
    body = json.dumps({"kg": 1}).encode()
    fleet.inject(SERVICE, DelayAnswers(delay_s=0.5))
    answer = _post_and_half_close(fleet.entry_addresses()[0], "half-closed", body, len(body))
    assert answer.startswith(b"HTTP/1.1 200 ")
    assert _runs(fleet, "half-closed") == 1


def test_header_that_cannot_be_sent_on_does_not_close_its_key(fleet):
    head = (
        f"POST {POST_PATH} HTTP/1.1\r\nHost: entry\r\nX-Workspace: {WORKSPACE}\r\n"
        "Connection: close\r\nIdempotency-Key: bad-header\r\nX-Retry-Count: 0\r\n"
        "Content-Type: text/\rplain\r\nContent-Length: 2\r\n\r\n{}"
    )
    with socket.create_connection(fleet.entry_addresses()[0], timeout=20) as connection:
        connection.sendall(head.encode())
        answer = b"".join(iter(lambda: connection.recv(4096), b""))
    assert answer.startswith(b"HTTP/1.1 400 ")
    assert json.loads(answer.partition(b"\r\n\r\n")[2])["error"]["ran"] == "no"
    assert call(fleet.entry_addresses()[1], POST_PATH, {}, "bad-header").status == 200


@pytest.mark.parametrize(
    "fault", [CrossAnswers(), BreakAfterRun(), TruncateAnswers()], ids=lambda fault: fault.kind
)
def test_posting_with_a_lost_response_gets_unknown_outcome_and_never_reruns(fleet, fault):
    key = f"lost-{fault.kind}"
    fleet.inject(SERVICE, fault)
    first = call(fleet.entry_addresses()[0], POST_PATH, {"kg": 2}, key)
    assert (first.status, first.error["type"]) == (409, "unknown_outcome")
    assert first.error["ran"] == "maybe"
    for at in fleet.entry_addresses():
        again = call(at, POST_PATH, {"kg": 2}, key)
        assert again.error["type"] == "unknown_outcome"
    assert _runs(fleet, key) == 1


@pytest.mark.parametrize("status", [408, 421, 429])
def test_status_of_a_posting_that_ran_is_not_passed_on_as_a_promise_that_it_did_not(fleet, status):
    key = f"ran-{status}"
    fleet.inject(SERVICE, AnswerAfterRun(status=status))
    first = call(fleet.entry_addresses()[0], POST_PATH, {"kg": 7}, key)
    assert (first.status, first.error["ran"]) == (409, "maybe")
    again = call(fleet.entry_addresses()[1], POST_PATH, {"kg": 7}, key)
    assert (again.status, again.error["ran"]) == (409, "maybe")
    assert _runs(fleet, key) == 1


def test_lookup_gets_its_own_response_when_responses_are_swapped(fleet):
    fleet.inject(SERVICE, CrossAnswers())
    response = call(fleet.entry_addresses()[0], FIND_PATH, {"lot": 3}, "lookup-3")
    assert response.status == 200
    assert response.body["key"] == "lookup-3"


def test_posting_refused_by_the_upstream_can_run_later(fleet):
    fleet.inject(SERVICE, RefuseBeforeRun(count=10))
    refused = call(fleet.entry_addresses()[0], POST_PATH, {"kg": 4}, "refused")
    assert refused.error["ran"] == "no"
    assert _runs(fleet, "refused") == 0
    fleet.inject(SERVICE, RefuseBeforeRun(count=0))
    wait_until(
        lambda: call(fleet.entry_addresses()[1], POST_PATH, {"kg": 4}, "refused").status == 200
    )
    assert _runs(fleet, "refused") == 1


@pytest.mark.parametrize("outage", OUTAGE_KINDS)
def test_platform_outage_refuses_postings_as_not_run_while_lookups_continue(
    fleet, platform, outage
):
    key = f"outage-{outage.value}"
    platform.set_faults(PlatformFaults(outage=outage))
    first = {"X-Retry-Count": "0"}
    refused = call(fleet.entry_addresses()[0], POST_PATH, {"kg": 5}, key, **first)
    assert (refused.status, refused.error["ran"]) == (503, "no")
    assert _runs(fleet, key) == 0
    wait_until(lambda: call(fleet.entry_addresses()[1], FIND_PATH, {"lot": 5}).status == 200)
    platform.set_faults(PlatformFaults())
    wait_until(lambda: call(fleet.entry_addresses()[2], POST_PATH, {"kg": 5}, key).status == 200)
    assert _runs(fleet, key) == 1


def test_entry_killed_during_a_posting_never_leads_to_a_second_run(fleet):
    fleet.inject(SERVICE, DelayAnswers(delay_s=1.5))
    caller = threading.Thread(
        target=call, args=(fleet.entry_addresses()[2], POST_PATH, {"kg": 6}, "killed")
    )
    caller.start()
    wait_until(lambda: _runs(fleet, "killed") == 1)
    fleet.kill("entry-3")
    caller.join()
    for at in fleet.entry_addresses()[:2]:
        again = call(at, POST_PATH, {"kg": 6}, "killed")
        assert again.error["type"] == "unknown_outcome"
    assert _runs(fleet, "killed") == 1
    fleet.start("entry-3")
    fleet.wait_until_ready(["entry-3"])
    assert call(fleet.entry_addresses()[2], POST_PATH, {"kg": 6}, "killed").status == 409
    assert _runs(fleet, "killed") == 1
