"""A server with more callers than threads."""

import socket
import time

import pytest

from gooseberryquay.links.http_server import HttpServer, Response, Router
from gooseberryquay.links.tests.raw_caller import RawCallers

GET = b"GET /path HTTP/1.1\r\nHost: a\r\n\r\n"
LAST_GET = b"GET /path HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
MAX_THREADS = 8
WORK_S = 0.01
SPAN_S = 1.0
TIMEOUT_S = 5.0


def _handle(_request):
    time.sleep(WORK_S)
    return Response(body=b"ok")


@pytest.fixture
def errors():
    return []


@pytest.fixture
def server(errors):
    router = Router()
    router.add("GET", "/path", _handle)
    server = HttpServer(
        "127.0.0.1",
        0,
        router,
        max_threads=MAX_THREADS,
        log_error=lambda message, _error: errors.append(message),
    )
    server.start()
    yield server
    server.stop()


def _fail_to_start_threads(server, monkeypatch):
    def fail():
        raise RuntimeError("can't start new thread")

    monkeypatch.setattr(server._server.requests, "_spawn_worker", fail)
    server._server.requests.max = 10 * MAX_THREADS


@pytest.mark.parametrize("is_keeping", [True, False], ids=["kept", "new"])
def test_callers_beyond_the_threads_wait_and_are_answered(server, is_keeping):
    callers = RawCallers(server.port, [lambda _id: GET], is_keeping, count=10 * MAX_THREADS)
    callers.start()
    time.sleep(SPAN_S)
    callers.join()
    assert len(callers.sent) > callers.count
    assert callers.unanswered() == []


@pytest.mark.parametrize("is_keeping", [True, False], ids=["kept", "new"])
def test_thread_that_cannot_be_started_loses_no_request(server, errors, monkeypatch, is_keeping):
    """Guard against a request that is served by no thread, and whose selector loop ends."""
    _fail_to_start_threads(server, monkeypatch)
    callers = RawCallers(server.port, [lambda _id: GET], is_keeping, count=10 * MAX_THREADS)
    callers.start()
    time.sleep(SPAN_S)
    callers.join()
    assert callers.unanswered() == []
    assert any("can't start new thread" in each for each in errors)


def test_thread_that_cannot_be_started_for_a_pipelined_request_does_not_stop_the_server(
    server, monkeypatch
):
    """Guard against a worker that fails as it returns its connection, which stops cheroot."""
    _fail_to_start_threads(server, monkeypatch)
    for _ in range(2):
        opened = [
            socket.create_connection(("127.0.0.1", server.port), TIMEOUT_S)
            for _ in range(2 * MAX_THREADS)
        ]
        for each in opened:
            each.sendall(GET * 5 + LAST_GET)
        for each in opened:
            answers = b"".join(iter(lambda each=each: each.recv(65536), b""))
            assert answers.count(b"HTTP/1.1 200 OK") == 6
            each.close()
