"""A server that closes a connection, or all of them, loses no answer."""

import socket
import threading
import time

import pytest

from gooseberryquay.links.forwarding_server import ForwardingServer
from gooseberryquay.links.http_server import HttpServer, Response, Router
from gooseberryquay.links.strict_request import BodyIncomplete, read_whole_body
from gooseberryquay.links.tests.raw_caller import RawCallers

HEAD = b"POST /x HTTP/1.1\r\nHost: a\r\n"
BODY_BYTES_MAX = 100_000
# Longer than a request may wait before its end without an answer.
SLACK_S = 0.2
FINISH_S = 0.35
TIMEOUT_S = 5.0


class _Forwarder:
    """Answer each request after `work_s`, and record those whose head was read."""

    def __init__(self, work_s=0.005):
        self.work_s = work_s
        self.seen = set()

    def __call__(self, gateway):
        self.seen.add(dict(gateway.req.inheaders.pairs).get(b"X-Id", b"").decode())
        try:
            read_whole_body(gateway.req)
        except BodyIncomplete:
            gateway.abort()
            return
        time.sleep(self.work_s)
        gateway.start("200 OK", [("Content-Length", "2")])
        gateway.write_all(b"ok")


@pytest.fixture
def forwarder():
    return _Forwarder()


@pytest.fixture
def server(forwarder):
    server = ForwardingServer("127.0.0.1", 0, forwarder, 16384, BODY_BYTES_MAX)
    server.start()
    yield server
    server.stop()


def _connect(server):
    connection = socket.create_connection(("127.0.0.1", server.port), TIMEOUT_S)
    connection.settimeout(TIMEOUT_S)
    return connection


def _read_all(connection):
    return b"".join(iter(lambda: connection.recv(65536), b""))


def _encode(id):
    return HEAD + b"X-Id: %s\r\nContent-Length: 2\r\n\r\nhi" % id.encode()


@pytest.mark.parametrize(
    ("headers", "status"),
    [
        (b"Content-Length: 1000000\r\n\r\n", b"413"),
        (b"Content-Length: 1000000\r\nContent-Length: 1\r\n\r\n", b"400"),
        (b"X A: 1\r\nContent-Length: 1000000\r\n\r\n", b"400"),
        (b"X-A: %s\r\nContent-Length: 1000000\r\n\r\n" % (b"x" * 20_000), b"413"),
    ],
    ids=["too long", "ambiguous length", "malformed name", "head too long"],
)
def test_answer_before_the_body_was_read_is_not_lost_by_a_reset(server, headers, status):
    with _connect(server) as connection:
        connection.sendall(HEAD + headers)
        for _ in range(40):
            connection.sendall(b"x" * 25_000)
            time.sleep(0.001)
        assert _read_all(connection).split()[1] == status


def test_requests_sent_after_the_last_answer_do_not_reset_it(server):
    server.close_connections_after_responses()
    with _connect(server) as connection:
        connection.sendall(_encode("1") * 5000)
        assert _read_all(connection).endswith(b"\r\n\r\nok")


def test_callers_that_send_nothing_shut_out_nobody():
    """With a thread each, they would take all threads."""
    router = Router()
    router.add("GET", "/path", lambda _request: Response(body=b"ok"))
    server = HttpServer("127.0.0.1", 0, router, max_threads=8)
    server.start()
    silent = [_connect(server) for _ in range(20)]
    try:
        with _connect(server) as connection:
            connection.sendall(b"GET /path HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            assert _read_all(connection).endswith(b"ok")
    finally:
        for each in silent:
            each.close()
        server.stop()


@pytest.mark.parametrize("is_keeping", [True, False], ids=["kept", "new"])
def test_finish_loses_no_answer_to_a_request_that_was_read(server, forwarder, is_keeping):
    callers = RawCallers(server.port, [_encode], is_keeping, count=40)
    callers.start()
    time.sleep(0.5)
    server.finish(FINISH_S)
    callers.join()
    assert len(callers.sent) > 100
    assert [each for each in callers.unanswered() if each.id in forwarder.seen] == []
    assert callers.unanswered(longer_than_s=SLACK_S) == []


def test_finish_answers_requests_that_wait_in_the_listen_queue(server):
    waiting = [_connect(server) for _ in range(200)]
    for number, each in enumerate(waiting):
        each.sendall(_encode(f"w{number}"))
    server.finish(TIMEOUT_S)
    for each in waiting:
        assert _read_all(each).endswith(b"\r\n\r\nok")
        each.close()


def test_finish_ends_idle_connections_in_good_order(server):
    with _connect(server) as idle, _connect(server) as silent:
        idle.sendall(_encode("1"))
        assert idle.recv(65536).endswith(b"ok")
        ended = threading.Thread(target=server.finish, args=(FINISH_S,))
        ended.start()
        assert _read_all(idle) == b"" and _read_all(silent) == b""
        # The caller has not read the end of the stream when it sends its next request.
        idle.sendall(_encode("2"))
        assert idle.recv(65536) == b""
        ended.join()


def test_finish_returns_in_time_though_a_caller_keeps_its_connection(server):
    with _connect(server) as idle:
        idle.sendall(_encode("1"))
        assert idle.recv(65536).endswith(b"ok")
        began_at_s = time.monotonic()
        assert not server.finish(FINISH_S)
        assert time.monotonic() < began_at_s + FINISH_S + SLACK_S


def test_finish_refuses_new_connections(server):
    server.finish(FINISH_S)
    with pytest.raises(ConnectionRefusedError):
        _connect(server)


def test_answer_that_takes_until_the_end_is_awaited(server, forwarder):
    forwarder.work_s = 0.25
    with _connect(server) as connection:
        connection.sendall(_encode("1"))
        time.sleep(0.05)
        server.finish(FINISH_S)
        assert _read_all(connection).endswith(b"ok")
