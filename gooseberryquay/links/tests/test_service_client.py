import socket
import threading
import time
from contextlib import contextmanager, suppress

import pytest

from gooseberryquay.contracts import Address
from gooseberryquay.contracts.service import RepeatPolicy
from gooseberryquay.links.dispatch_outcome import (
    IndeterminateOutcome,
    NotExecuted,
    RefusedByUpstream,
    UpstreamResponse,
)
from gooseberryquay.links.service_client import ServiceCall, ServiceClient
from gooseberryquay.standins.process import find_free_port

HEAD = "HTTP/1.1 {} OK\r\nX-Request-Id: {}\r\nContent-Length: {}\r\n\r\n"


def build_call(repeat=RepeatPolicy.NEVER, timeout_s=10.0):
    return ServiceCall("post-weight", "request-1", b"{}", repeat, timeout_s, "key-1")


@contextmanager
def serving(*answers):
    """Send one scripted response per connection; None sends nothing and keeps it open."""
    listener = socket.create_server(("127.0.0.1", 0))
    opened = []

    def serve():
        with suppress(OSError):
            for answer in answers:
                connection, _ = listener.accept()
                opened.append(connection)
                connection.recv(65536)
                if answer is not None:
                    connection.sendall(answer.encode())
                    connection.shutdown(socket.SHUT_WR)

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    yield ServiceClient(Address(*listener.getsockname()), idle_timeout_s=0.3), opened
    listener.close()
    for each in opened:
        each.close()


def test_complete_response_to_the_own_request_is_returned():
    with serving(HEAD.format(200, "request-1", 2) + "ok") as (client, _):
        assert client.send(build_call()) == UpstreamResponse(200, "application/json", b"ok")


@pytest.mark.parametrize(
    "answer",
    [
        HEAD.format(200, "request-2", 2) + "ok",
        HEAD.format(503, "request-2", 2) + "no",
        HEAD.format(200, "request-1", 5) + "ok",
        HEAD.format(200, "request-1", 2).replace("Content-Length: 2\r\n", "") + "ok",
        "HTTP/1.1 200 OK\r\nContent-Le",
        HEAD.format(200, "request-1", 0)[:-2],
        HEAD.format(503, "request-1", 0)[:-2],
        "",
        None,
    ],
    ids=[
        "misdirected",
        "misdirected refusal",
        "cut",
        "no length",
        "cut head",
        "cut after the last header",
        "refusal cut after the last header",
        "closed",
        "no data",
    ],
)
def test_bad_response_to_an_operation_that_may_not_repeat_is_undecided_after_one_attempt(answer):
    with serving(answer, HEAD.format(200, "request-1", 2) + "ok") as (client, opened):
        assert isinstance(client.send(build_call()), IndeterminateOutcome)
        assert len(opened) == 1


@pytest.mark.parametrize("answer", [HEAD.format(200, "request-2", 2) + "ok", "", None])
def test_repeatable_operation_is_retried_on_a_new_connection(answer):
    with serving(answer, HEAD.format(200, "request-1", 2) + "ok") as (client, opened):
        assert isinstance(client.send(build_call(RepeatPolicy.ALLOWED)), UpstreamResponse)
        assert len(opened) == 2


def test_refusal_after_an_attempt_that_may_have_run_stays_undecided():
    with serving(None, HEAD.format(503, "request-1", 0)) as (client, opened):
        assert isinstance(client.send(build_call(RepeatPolicy.ALLOWED)), IndeterminateOutcome)
        assert len(opened) == 2


def test_refusal_by_the_upstream_has_its_own_outcome():
    refusal = HEAD.format(503, "request-1", 0).replace("\r\n\r\n", "\r\nRetry-After: 3\r\n\r\n")
    with serving(refusal) as (client, _):
        assert client.send(build_call()) == RefusedByUpstream(
            "the upstream did not run the operation", 3.0
        )


def test_refused_connection_is_proof_that_nothing_was_sent():
    client = ServiceClient(Address("127.0.0.1", find_free_port()))
    assert isinstance(client.send(build_call()), NotExecuted)


def test_response_that_trickles_past_the_deadline_is_abandoned():
    with serving(None) as (client, opened):
        outcomes = []
        call = build_call(timeout_s=0.5)
        sender = threading.Thread(target=lambda: outcomes.append(client.send(call)))
        sender.start()
        while not opened:
            time.sleep(0.01)
        opened[0].sendall(HEAD.format(200, "request-1", 1000).encode())
        for _ in range(1000):
            if not sender.is_alive():
                break
            time.sleep(0.05)
            try:
                opened[0].sendall(b"x")
            except OSError:
                break
        sender.join(20)
    assert isinstance(outcomes[0], IndeterminateOutcome)
