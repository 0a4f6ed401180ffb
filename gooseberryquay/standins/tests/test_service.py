import json

import pytest
from result import Err

from gooseberryquay.links.http_client import HttpClient, TransportTimeout
from gooseberryquay.standins.process import CommandProcess
from gooseberryquay.standins.service import ServiceSettings, ServiceStandIn
from gooseberryquay.standins.service_messages import (
    BreakAfterRun,
    CrossAnswers,
    DelayAnswers,
    RefuseBeforeRun,
    ServiceDies,
    ServiceHangs,
    TruncateAnswers,
)


@pytest.fixture
def service():
    standin = ServiceStandIn(ServiceSettings(delay_s=0.0))
    standin.start()
    yield standin
    standin.stop()


def _send(service, request_id="r1", key="", timeout_s=20.0):
    client = HttpClient("127.0.0.1", service.port)
    headers = {"X-Request-Id": request_id}
    if key:
        headers["Idempotency-Key"] = key
    body = json.dumps({"reference": f"ref-{request_id}"}).encode()
    return client.send("POST", "/operations/post-weights", body, headers, timeout_s)


def test_runs_are_counted_by_idempotency_key(service):
    first = json.loads(_send(service, "r1", "k1").unwrap().body)
    second = json.loads(_send(service, "r2", "k1").unwrap().body)
    assert (first["run"], second["run"]) == (1, 2)
    assert (first["request_id"], first["reference"]) == ("r1", "ref-r1")
    _send(service, "r3")
    assert service.counts().runs == {"k1": 2, "r3": 1}
    assert service.counts().keyed_runs == {"k1": 2}


def test_crossed_answer_names_another_request(service):
    service.apply_fault(CrossAnswers())
    crossed = _send(service).unwrap()
    assert crossed.headers["x-request-id"] != "r1"
    assert _send(service).unwrap().headers["x-request-id"] == "r1"


@pytest.mark.parametrize("fault", [BreakAfterRun(), TruncateAnswers()])
def test_broken_answer_comes_after_the_run(service, fault):
    service.apply_fault(fault)
    match _send(service):
        case Err(failure):
            assert failure.was_sent
        case other:
            raise AssertionError(other)
    assert service.counts().runs == {"r1": 1}


def test_late_answer_comes_after_the_run(service):
    service.apply_fault(DelayAnswers(delay_s=2.0))
    assert isinstance(_send(service, timeout_s=0.3).unwrap_err(), TransportTimeout)
    assert service.counts().runs == {"r1": 1}


def test_refusal_runs_nothing(service):
    service.apply_fault(RefuseBeforeRun(count=2))
    assert [_send(service).unwrap().status for _ in range(3)] == [503, 503, 200]
    assert service.counts().runs == {"r1": 1}


def test_hanging_service_neither_runs_nor_answers(service):
    service.apply_fault(ServiceHangs(duration_s=60))
    assert isinstance(_send(service, timeout_s=0.3).unwrap_err(), TransportTimeout)
    assert service.counts().runs == {}


def test_service_process_crashes_on_the_fault():
    with CommandProcess("standin", "service", "--delay_s", "0") as process:
        client = HttpClient("127.0.0.1", process.port)
        client.send("POST", "/standin/faults", ServiceDies().model_dump_json().encode())
        assert process.wait(20) == 70
