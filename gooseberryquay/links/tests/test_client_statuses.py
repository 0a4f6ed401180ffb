"""The own interface and the clients on urllib3 take no answer whose status is none of HTTP's."""

import json

import pytest
from result import Err

from gooseberryquay.contracts.service import RepeatPolicy
from gooseberryquay.ids import GenerationId
from gooseberryquay.links.completion_api import COMPLETION_PATH
from gooseberryquay.links.dispatch_outcome import IndeterminateOutcome, UpstreamResponse
from gooseberryquay.links.engine_client import EngineClient
from gooseberryquay.links.execution_proof import PROMISES_NOT_EXECUTED
from gooseberryquay.links.http_client import HttpClient
from gooseberryquay.links.platform_client import OutcomeUnknown, PlatformClient
from gooseberryquay.links.service_client import ServiceCall, ServiceClient
from gooseberryquay.links.tests.caller_api_builders import LOOKUP_PATH, MODEL, caller_api, exchange
from gooseberryquay.links.tests.status_builders import (
    FRAMINGS,
    ODD_STATUSES,
    AnsweringServer,
    build_answer,
)
from gooseberryquay.links.transport_failure import ConnectionBroken
from gooseberryquay.machines.tests.choice_builders import build_upstream

OWN = b"X-Request-Id: request-1"
BODIES = {
    LOOKUP_PATH: {"lot": 7},
    COMPLETION_PATH: {"model": MODEL, "prompt": "a", "stream": True},
}

ODD = pytest.mark.parametrize("status", ODD_STATUSES)
FRAMED = pytest.mark.parametrize("framing", FRAMINGS)


def _send(answer):
    with AnsweringServer(lambda _request: answer) as server:
        return HttpClient(*server.address).send("POST", "/x", b"{}")


def _call(repeat, *answers):
    """Call an operation; return the outcome and how often it was sent."""

    def answer_to(_request):
        return answers[min(len(server.requests), len(answers)) - 1]

    call = ServiceCall("post-weight", "request-1", b"{}", repeat, 5.0, "key-1")
    with AnsweringServer(answer_to) as server:
        outcome = ServiceClient(server.address, idle_timeout_s=1.0).send(call)
        return outcome, len(server.requests)


@ODD
@FRAMED
def test_server_that_answers_with_an_odd_status_may_have_run_the_request(status, framing):
    match _send(build_answer(status, framing)):
        case Err(ConnectionBroken(was_sent=True)):
            pass
        case other:
            raise AssertionError(other)


@ODD
@FRAMED
def test_operation_with_an_odd_answer_runs_again_only_if_it_may(status, framing):
    odd = build_answer(status, framing, headers=[OWN])
    proper = build_answer(200, body=b"{}", headers=[OWN])
    outcome, runs = _call(RepeatPolicy.NEVER, odd, proper)
    assert isinstance(outcome, IndeterminateOutcome) and runs == 1
    outcome, runs = _call(RepeatPolicy.ALLOWED, odd, proper)
    assert (outcome, runs) == (UpstreamResponse(200, "application/json", b"{}"), 2)


@ODD
@FRAMED
def test_engine_that_answers_with_an_odd_status_has_not_refused(status, framing):
    with AnsweringServer(lambda _request: build_answer(status, framing)) as server:
        client = EngineClient(build_upstream(address=server.address))
        opened = client.start("/v1/completions", GenerationId("g-1"), 1, b"{}", 1.0)
    assert isinstance(opened.unwrap_err(), ConnectionBroken)


@ODD
@FRAMED
def test_platform_that_answers_with_an_odd_status_may_have_written(status, framing):
    with AnsweringServer(lambda _request: build_answer(status, framing)) as server:
        client = PlatformClient(server.address)
        assert isinstance(client.write("key", "value").unwrap_err(), OutcomeUnknown)
        assert isinstance(client.delete("key", 1).unwrap_err(), OutcomeUnknown)


@ODD
@pytest.mark.parametrize("path", BODIES)
def test_caller_of_an_upstream_with_an_odd_status_is_promised_nothing(status, path):
    def answer_to(request):
        id = request.lower().partition(b"x-request-id: ")[2].partition(b"\r\n")[0]
        return build_answer(status, headers=[b"X-Request-Id: " + id])

    with AnsweringServer(answer_to) as upstream, caller_api(upstream.address) as port:
        head, _, body = exchange(port, path, **BODIES[path]).partition(b"\r\n\r\n")
    answered = int(head.split()[1])
    assert 500 <= answered < 600 and answered not in PROMISES_NOT_EXECUTED
    assert json.loads(body)["error"]["ran"] == "maybe"


@pytest.mark.parametrize("status", [200, 299, 404, 499, 500, 503, 599])
def test_proper_status_is_read_as_it_is(status):
    assert _send(build_answer(status)).unwrap().status == status


@pytest.mark.parametrize("interim", ["100", "102", "103", "199"])
def test_interim_answers_are_skipped(interim):
    announced = f"HTTP/1.1 {interim} Wait\r\nX-A: 1\r\n\r\n".encode()
    assert _send(3 * announced + build_answer(200)).unwrap().status == 200


def test_interim_answers_without_end_are_no_answer():
    announced = b"HTTP/1.1 102 Wait\r\n\r\n"
    assert _send(100 * announced + build_answer(200)).unwrap_err().was_sent
