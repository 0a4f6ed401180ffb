"""An answer that only the close delimits looks complete to its caller only if it is."""

import threading
import time

import pytest

from gooseberryquay.links.http_server import HttpServer, Response, Router
from gooseberryquay.links.tests.unframed_builders import read_to_end, serving

PART = b"x" * 1000
# More than the buffers of a connection take whose caller reads nothing.
LARGE_BYTES = 16_000_000
# Longer than the server waits for the end of a caller's own stream.
PAUSE_S = 1.5
PROMPT_S = 0.5


def _abort(request):
    request.open_stream("text/plain", {}).write(PART)
    request.abort()
    return Response.sent()


def _fail(request):
    request.open_stream("text/plain", {}).write(PART)
    raise ValueError("a fault in the handler")


def _fail_in_the_body(_request):
    def body():
        yield PART
        raise ValueError("a fault in the body")

    return Response(body=body())


@pytest.mark.parametrize("handler", [_abort, _fail, _fail_in_the_body])
def test_answer_that_is_broken_off_is_reset_at_once(handler):
    with serving(handler) as port:
        began_at_s = time.monotonic()
        answer = read_to_end(port)
        assert time.monotonic() < began_at_s + PROMPT_S
    assert answer.is_reset


@pytest.mark.parametrize("handler", [_abort, _fail, _fail_in_the_body])
def test_chunks_that_are_broken_off_end_without_a_reset_or_a_last_chunk(handler):
    with serving(handler) as port:
        answer = read_to_end(port, version=b"1.1")
    assert not answer.is_reset
    assert answer.received.endswith(PART + b"\r\n")


def test_answer_that_is_broken_off_is_reset_though_the_caller_has_read_nothing():
    def handler(request):
        request.open_stream("text/plain", {}).write(100 * PART)
        request.abort()
        return Response.sent()

    with serving(handler) as port:
        answer = read_to_end(port, pause_s=PAUSE_S)
    assert answer.is_reset


@pytest.mark.parametrize("size_bytes", [0, 1000, 100_000, LARGE_BYTES])
@pytest.mark.parametrize("is_iterator", [True, False], ids=["iterator", "writer"])
def test_whole_answer_arrives_whole_at_a_slow_reader(size_bytes, is_iterator):
    body = b"x" * size_bytes

    def handler(request):
        if is_iterator:
            return Response(body=iter([body]))
        request.open_stream("text/plain", {}).write(body)
        return Response.sent()

    with serving(handler) as port:
        answer = read_to_end(port, pause_s=PAUSE_S)
    assert not answer.is_reset
    assert answer.received.partition(b"\r\n\r\n")[2] == body


def test_whole_answer_arrives_whole_after_the_server_has_finished():
    body = b"x" * 100_000
    router = Router()
    router.add("GET", "/path", lambda _request: Response(body=iter([body])))
    server = HttpServer("127.0.0.1", 0, router)
    server.start()
    reader = threading.Thread(
        target=lambda: answers.append(read_to_end(server.port, pause_s=PAUSE_S))
    )
    answers = []
    reader.start()
    time.sleep(PROMPT_S / 2)
    server.finish(PROMPT_S)
    server.stop()
    reader.join()
    assert not answers[0].is_reset
    assert answers[0].received.endswith(b"\r\n\r\n" + body)


def test_answer_with_a_length_is_not_reset():
    def handler(request):
        request.after_response(request.abort)
        return Response(body=PART)

    with serving(handler) as port:
        answer = read_to_end(port)
    assert not answer.is_reset
    assert answer.received.endswith(PART)


def test_failure_before_the_first_bytes_gets_its_answer():
    def handler(request):
        request.open_stream("text/plain", {})
        raise ValueError("a fault in the handler")

    with serving(handler) as port:
        answer = read_to_end(port)
    assert not answer.is_reset
    assert answer.received.split()[1] == b"500"


def test_thread_that_watches_the_caller_sees_that_the_answer_was_aborted():
    seen = []

    def handler(request):
        request.open_stream("text/plain", {}).write(PART)
        seen.append(request.caller.is_disconnected())
        request.abort()
        seen.append(request.caller.is_disconnected())
        return Response.sent()

    with serving(handler) as port:
        assert read_to_end(port).is_reset
    assert seen == [False, True]


def test_descriptor_that_is_used_again_is_not_reset():
    """Guard against an abort that acts on the next connection with the same descriptor."""
    aborts = []

    def handler(request):
        if aborts:
            aborts.pop()()
            return Response(body=iter([PART]))
        aborts.append(request.abort)
        return _abort(request)

    with serving(handler) as port:
        assert read_to_end(port).is_reset
        answer = read_to_end(port)
    assert not answer.is_reset
    assert answer.received.endswith(PART)
