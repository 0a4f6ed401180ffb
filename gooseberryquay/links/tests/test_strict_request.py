"""Ambiguous requests, which allow request smuggling, are not forwarded."""

import socket
import time

import pytest

from gooseberryquay.links.forwarding_server import ForwardingServer
from gooseberryquay.links.strict_request import BodyIncomplete, read_whole_body

IDLE_TIMEOUT_S = 1.0
HEAD = b"POST /x%2fy//z?q=%20 HTTP/1.1\r\nHost: a\r\n"


class _Forwarder:
    def __init__(self):
        self.seen = []
        self.broken = 0

    def __call__(self, gateway):
        try:
            body = read_whole_body(gateway.req)
        except BodyIncomplete:
            self.broken += 1
            gateway.abort()
            return
        self.seen.append((gateway.req.uri, body, list(gateway.req.inheaders.pairs)))
        gateway.start("200 OK", [("Content-Length", "2")])
        gateway.write_all(b"ok")


@pytest.fixture
def served():
    forwarder = _Forwarder()
    server = ForwardingServer("127.0.0.1", 0, forwarder, 16384, 100_000)
    server.start()
    yield forwarder, server.port
    server.stop()


def _send_raw(port, data, is_half_closed=False):
    with socket.create_connection(("127.0.0.1", port), 2.0) as connection:
        connection.settimeout(1.0)
        connection.sendall(data)
        if is_half_closed:
            connection.shutdown(socket.SHUT_WR)
        answer = b""
        try:
            while part := connection.recv(65536):
                answer += part
        except TimeoutError:
            pass
        return answer


def test_target_headers_and_body_are_unmodified(served):
    forwarder, port = served
    _send_raw(port, HEAD + b"X-A: 1\r\nx-a: 2\r\nContent-Length: 3\r\n\r\nabc")
    ((uri, body, pairs),) = forwarder.seen
    assert (uri, body) == (b"/x%2fy//z?q=%20", b"abc")
    assert pairs[1:3] == [(b"X-A", b"1"), (b"x-a", b"2")]


def test_chunked_body_is_read_completely(served):
    forwarder, port = served
    _send_raw(port, HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
    assert forwarder.seen[0][1] == b"abcde"


@pytest.mark.parametrize("trailers", [b"", b"X-Trailer: a\r\nX-More: b\r\n"])
def test_trailers_are_not_taken_for_the_next_request(served, trailers):
    forwarder, port = served
    chunked = HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n" + trailers + b"\r\n"
    answers = _send_raw(port, chunked + chunked + HEAD + b"Connection: close\r\n\r\n")
    assert answers.count(b"HTTP/1.1 200 ") == answers.count(b"HTTP/1.1 ") == 3
    assert [body for _, body, _ in forwarder.seen] == [b"abc", b"abc", b""]


def test_idle_connection_after_a_chunked_request_gets_no_unasked_answer():
    """Guard against a 408 on an idle connection, whose last empty line counted as a request."""
    server = ForwardingServer("127.0.0.1", 0, _Forwarder(), 16384, 100_000)
    server._server.timeout = IDLE_TIMEOUT_S
    server.start()
    chunked = HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
    with socket.create_connection(("127.0.0.1", server.port), 4 * IDLE_TIMEOUT_S) as connection:
        connection.sendall(chunked)
        answers = b"".join(iter(lambda: connection.recv(65536), b""))
    assert answers.count(b"HTTP/1.1 ") == 1 and answers.endswith(b"ok")
    server.stop()


@pytest.mark.parametrize(
    "headers",
    [
        b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        b"Content-Length: +3\r\n\r\nabc",
        b"Content-Length: -3\r\n\r\n",
        b"Content-Length : 3\r\n\r\nabc",
        b"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n",
        b"X-A: 1\r\n folded\r\n\r\n",
        b"X A: 1\r\n\r\n",
        b": 1\r\n\r\n",
        b"no colon\r\n\r\n",
        b"X-A: 1\n\r\n",
        b"Host: b\r\n\r\n",
    ],
)
def test_ambiguous_request_gets_400_and_its_connection_closed(served, headers):
    forwarder, port = served
    smuggled = b"GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n"
    answer = _send_raw(port, HEAD + headers + smuggled)
    assert answer.startswith(b"HTTP/1.1 400")
    assert answer.count(b"HTTP/1.1 ") == 1
    assert forwarder.seen == []


def test_unknown_transfer_coding_is_refused(served):
    forwarder, port = served
    answer = _send_raw(port, HEAD + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n")
    assert answer.split()[1] in {b"400", b"501"}
    assert forwarder.seen == []


def test_body_over_the_limit_gets_413(served):
    forwarder, port = served
    answer = _send_raw(port, HEAD + b"Content-Length: 100001\r\n\r\n")
    assert answer.startswith(b"HTTP/1.1 413")
    assert forwarder.seen == []


# Guards against a limit of 0 bytes that counts as none.
def test_limit_of_0_bytes_lets_only_requests_without_a_body_pass():
    forwarder = _Forwarder()
    server = ForwardingServer("127.0.0.1", 0, forwarder, 16384, 100_000)
    server.start()
    server.set_limits(16384, 0)
    chunked = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    for body in (b"Content-Length: 1\r\n\r\na", b"Content-Length: 9000\r\n\r\n"):
        assert _send_raw(server.port, HEAD + body).startswith(b"HTTP/1.1 413")
    # Which status a refused chunked body gets is up to the forwarder.
    assert b" 200 " not in _send_raw(server.port, chunked + b"1\r\na\r\n0\r\n\r\n")
    assert forwarder.seen == []
    for body in (b"\r\n", b"Content-Length: 0\r\n\r\n"):
        assert _send_raw(server.port, HEAD + body).startswith(b"HTTP/1.1 200")
    assert _send_raw(server.port, chunked + b"0\r\n\r\n").startswith(b"HTTP/1.1 200")
    server.set_limits(0, 0)
    assert _send_raw(server.port, HEAD + b"\r\n").split()[1] in {b"413", b"414", b"431"}
    server.stop()


def test_headers_over_the_limit_are_not_passed_on(served):
    forwarder, port = served
    answer = _send_raw(port, HEAD + b"X-A: " + b"x" * 20000 + b"\r\n\r\n")
    assert answer.split()[1] in {b"413", b"431"}
    assert forwarder.seen == []


@pytest.mark.parametrize(
    "rest",
    [
        b"Content-Length: 5\r\n\r\nabc",
        b"Transfer-Encoding: chunked\r\n\r\n5\r\nabc",
        b"Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
    ],
)
def test_body_that_ends_early_or_is_malformed_is_not_passed_on(served, rest):
    forwarder, port = served
    _send_raw(port, HEAD + rest, is_half_closed=True)
    assert forwarder.seen == []


def test_draining_server_closes_connections_after_their_responses():
    forwarder = _Forwarder()
    server = ForwardingServer("127.0.0.1", 0, forwarder, 16384, 100_000)
    server.start()
    server.close_connections_after_responses()
    answer = _send_raw(server.port, b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
    assert b"connection: close" in answer.lower()
    server.stop()


def test_exception_in_a_request_thread_is_logged_with_its_traceback():
    errors = []

    def fail(gateway):
        raise KeyError("unexpected")

    def log_error(message, error):
        errors.append((message, error))

    server = ForwardingServer("127.0.0.1", 0, fail, 16384, 100_000, log_error=log_error)
    server.start()
    try:
        assert _send_raw(server.port, HEAD + b"\r\n").startswith(b"HTTP/1.1 500 ")
    finally:
        server.stop()
    ((message, error),) = errors
    assert "unexpected" in message
    assert isinstance(error, KeyError) and error.__traceback__ is not None


# Guards against work that grows with the square of the number of chunks of a caller's body.
def test_body_of_chunks_of_one_byte_is_read_whole_and_slowly(served):
    forwarder, port = served
    count = 12_000
    body = b"".join(b"1\r\n%c\r\n" % (97 + each % 26) for each in range(count)) + b"0\r\n\r\n"
    began_at_s, cpu_s = time.monotonic(), time.process_time()
    with socket.create_connection(("127.0.0.1", port), 10.0) as connection:
        connection.sendall(HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + body)
        assert connection.recv(65536).startswith(b"HTTP/1.1 200")
    share = (time.process_time() - cpu_s) / (time.monotonic() - began_at_s)
    (seen,) = forwarder.seen
    assert len(seen[1]) == count
    assert seen[1][:26] == b"abcdefghijklmnopqrstuvwxyz"
    assert share < 0.4
