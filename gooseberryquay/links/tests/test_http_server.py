"""HTTP server over real sockets."""

import queue
import socket
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from gooseberryquay.links.http_client import HttpClient
from gooseberryquay.links.http_server import HttpServer, Request, Response, Router
from gooseberryquay.links.socket_files import SocketReader, SocketWriter

GET = b"GET /path?a=1&a=2 HTTP/1.1\r\nHost: x\r\nX-Two_Words: kept\r\n\r\n"
LAST_GET = b"GET /path HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
TIMEOUT_S = 10.0
ANSWER_TIMEOUT_S = 20.0


class ClosableBody:
    """Yield chunks; unlike a generator it isn't closed by being read to its end."""

    def __init__(self, *chunks: bytes) -> None:
        self._chunks = iter(chunks)
        self.is_closed = False

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        return next(self._chunks)

    def close(self) -> None:
        self.is_closed = True


@contextmanager
def _serve(handler: Callable[[Request], Response]) -> Iterator[int]:
    router = Router()
    router.add("GET", "/path", handler)
    server = HttpServer("127.0.0.1", 0, router)
    server.start()
    try:
        yield server.port
    finally:
        server.stop()


def _exchange(port: int, data: bytes) -> bytes:
    with socket.create_connection(("127.0.0.1", port), TIMEOUT_S) as connection:
        connection.sendall(data)
        return b"".join(iter(lambda: connection.recv(65536), b""))


def test_pipelined_requests_are_each_answered() -> None:
    seen: list[Request] = []

    def handler(request: Request) -> Response:
        seen.append(request)
        return Response(body=b"{}")

    with _serve(handler) as port:
        answers = _exchange(port, GET + LAST_GET)
    assert answers.count(b"HTTP/1.1 200 OK\r\n") == 2
    assert [each.query for each in seen] == [{"a": "2"}, {}]
    assert seen[0].headers == {"host": "x", "x-two-words": "kept"}


def test_response_that_has_started_is_not_started_again() -> None:
    def handler(request: Request) -> Response:
        request.open_stream("text/plain", {}).write(b"part")
        return Response(status=500, body=b"second")

    with _serve(handler) as port:
        answers = _exchange(port, GET)
    assert answers.count(b"HTTP/1.1 ") == 1
    assert answers.endswith(b"4\r\npart\r\n")


def test_iterator_body_is_chunked_and_closed() -> None:
    body = ClosableBody(b"ab", b"", b"c")
    with _serve(lambda _request: Response(body=body)) as port:
        answers = _exchange(port, LAST_GET)
    assert answers.endswith(b"\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")
    assert body.is_closed


def test_reader_reports_buffered_bytes_without_blocking() -> None:
    ours, theirs = socket.socketpair()
    with ours, theirs:
        reader = SocketReader(ours, 100)
        assert not reader.has_data()
        theirs.sendall(b"one\ntwo")
        assert reader.readline() == b"one\n"
        assert reader.has_data()
        assert reader.read(3) == b"two"
        assert not reader.has_data()


def test_corked_writer_buffers_bytes_for_the_next_write() -> None:
    ours, theirs = socket.socketpair()
    with ours, theirs:
        writer = SocketWriter(ours)
        writer.cork()
        writer.write(b"head")
        assert writer.uncork() == b"head"
        writer.write(b"body")
        assert theirs.recv(100) == b"body"


def test_callback_after_the_response_does_not_delay_the_response() -> None:
    """A callback that ran before the response was sent would wait here until its timeout."""
    has_answer, done = threading.Event(), []
    is_done = threading.Event()

    def act():
        done.append(has_answer.wait(ANSWER_TIMEOUT_S))
        is_done.set()

    def handler(request):
        request.after_response(act)
        return Response(status=503, body=b"refused")

    router = Router()
    router.add("POST", "/refused", handler)
    router.add("GET", "/next", lambda _request: Response(body=b"next"))
    server = HttpServer("127.0.0.1", 0, router)
    server.start()
    try:
        client = HttpClient("127.0.0.1", server.port, ANSWER_TIMEOUT_S, ANSWER_TIMEOUT_S / 2)
        assert client.send("POST", "/refused").unwrap().body == b"refused"
        assert client.send("GET", "/next").unwrap().body == b"next"
        assert not done
        has_answer.set()
        assert is_done.wait(ANSWER_TIMEOUT_S)
    finally:
        server.stop()
    assert done == [True]


def _serve_until_concluded(conclude_first: bool) -> tuple[bytes, list[bool]]:
    """Return what a caller got whose request was concluded before or after it was answered."""
    requests: queue.SimpleQueue[Request] = queue.SimpleQueue()
    may_answer = threading.Event()

    def handler(request: Request) -> Response:
        if not conclude_first:
            request.open_stream("text/plain", {}).write(b"own")
        requests.put(request)
        may_answer.wait(ANSWER_TIMEOUT_S)
        return Response(body=b"own") if conclude_first else Response.sent()

    answers: list[bytes] = []
    with _serve(handler) as port:
        caller = threading.Thread(target=lambda: answers.append(_exchange(port, LAST_GET)))
        caller.start()
        concluded = Response(status=502, body=b"concluded")
        results = [requests.get(timeout=ANSWER_TIMEOUT_S).conclude(concluded)]
        may_answer.set()
        caller.join(ANSWER_TIMEOUT_S)
    return answers[0], results


def test_concluded_request_gets_only_the_response_of_the_other_thread() -> None:
    answer, results = _serve_until_concluded(conclude_first=True)
    assert results == [True]
    assert answer.startswith(b"HTTP/1.1 502 ") and answer.endswith(b"\r\n\r\nconcluded")
    assert b"own" not in answer


def test_response_that_has_started_is_not_concluded() -> None:
    answer, results = _serve_until_concluded(conclude_first=False)
    assert results == [False]
    assert answer.startswith(b"HTTP/1.1 200 ") and answer.endswith(b"3\r\nown\r\n0\r\n\r\n")
