"""Timeouts in a request's thread, which the HTTP library answers by itself."""

import socket

from gooseberryquay.links.forwarding_server import ForwardingServer
from gooseberryquay.links.strict_request import read_whole_body

HEAD = b"POST /x HTTP/1.1\r\nHost: a\r\n"
BODY_TIMEOUT_S = 0.5
ANSWER_TIMEOUT_S = 5.0


def _send(port, data):
    with socket.create_connection(("127.0.0.1", port), ANSWER_TIMEOUT_S) as connection:
        connection.sendall(data)
        return b"".join(iter(lambda: connection.recv(65536), b""))


def test_timeout_in_a_handler_is_not_answered_as_if_nothing_had_run():
    """Guard against 408, which guarantees that the request did not run."""

    def fail(gateway):
        read_whole_body(gateway.req)
        raise TimeoutError("timed out")

    server = ForwardingServer("127.0.0.1", 0, fail, 16384, 100_000, log_error=lambda *_: None)
    server.start()
    try:
        for rest in [b"\r\n", b"Content-Length: 3\r\n\r\nabc"]:
            assert _send(server.port, HEAD + rest).startswith(b"HTTP/1.1 500 ")
    finally:
        server.stop()


def test_request_whose_body_does_not_arrive_gets_408():
    seen = []

    def forward(gateway):
        seen.append(read_whole_body(gateway.req))

    server = ForwardingServer("127.0.0.1", 0, forward, 16384, 100_000)
    server._server.timeout = BODY_TIMEOUT_S
    server.start()
    try:
        answer = _send(server.port, HEAD + b"Content-Length: 3\r\n\r\nab")
        assert answer.startswith(b"HTTP/1.1 408 ") and seen == []
    finally:
        server.stop()
