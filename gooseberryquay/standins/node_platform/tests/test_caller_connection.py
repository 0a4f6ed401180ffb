"""Responses that end early, go on too long or are none are told from complete ones."""

import socket
import struct
import threading

import pytest

from gooseberryquay.standins.node_platform.call_result import CallEnd
from gooseberryquay.standins.node_platform.caller_connection import CallerConnection

TIMEOUT_S = 0.5
HEAD = b"HTTP/1.1 200 OK\r\n"
LENGTH = HEAD + b"Content-Length: 4\r\n\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


def _exchange(reply, then="close"):
    """Send a request to a server that replies with bytes, then closes, resets or stays."""
    done = threading.Event()
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def serve():
            opened, _ = listener.accept()
            opened.recv(65536)
            opened.sendall(reply)
            if then == "reset":
                opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            if then == "stay":
                done.wait(5.0)
            opened.close()

        thread = threading.Thread(target=serve)
        thread.start()
        connection = CallerConnection(listener.getsockname()[1], TIMEOUT_S)
        result = connection.exchange("/post/1", {"Host": "h"}, b"{}")
        done.set()
        thread.join()
        connection.close()
    return result


@pytest.mark.parametrize(
    ("reply", "body"),
    [
        (LENGTH + b"done", b"done"),
        (CHUNKED + b"4\r\ndone\r\n0\r\n\r\n", b"done"),
        (HEAD + b"Content-Length: 0\r\n\r\n", b""),
    ],
)
def test_complete_response_is_read_without_waiting_for_the_close(reply, body):
    result = _exchange(reply, then="stay")
    assert (result.end, result.status, result.body) == (CallEnd.COMPLETE, 200, body)


@pytest.mark.parametrize("then", ["close", "reset"])
@pytest.mark.parametrize(
    "reply",
    [
        b"",
        HEAD[:9],
        HEAD + b"Content-Len",
        LENGTH + b"don",
        CHUNKED + b"4\r\ndone\r\n",
        CHUNKED + b"4\r\ndone\r\n0\r\n",
    ],
)
def test_response_that_ends_early_is_not_complete(reply, then):
    result = _exchange(reply, then)
    assert result.end is CallEnd.CLOSED
    assert result.sent_at_s is not None


def test_response_without_a_length_ends_with_its_connection_unless_it_is_reset():
    assert _exchange(HEAD + b"\r\ndone").end is CallEnd.COMPLETE
    assert _exchange(HEAD + b"\r\ndone", "reset").end is CallEnd.CLOSED


@pytest.mark.parametrize(
    "reply",
    [
        b"HTTP/1.0 200 OK\r\n\r\n",
        b"nonsense\r\n\r\n",
        HEAD + b"no colon\r\n\r\n",
        HEAD + b"Content-Length: four\r\n\r\n",
        LENGTH + b"done and more",
        CHUNKED + b"4\r\ndone and more\r\n0\r\n\r\n",
    ],
)
def test_bytes_that_are_no_response_are_malformed(reply):
    assert _exchange(reply, then="stay").end is CallEnd.MALFORMED


def test_silent_connection_times_out():
    assert _exchange(b"", then="stay").end is CallEnd.TIMED_OUT


def test_refused_connection_is_not_sent():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
    assert CallerConnection(port, TIMEOUT_S).exchange("/", {}, b"").end is CallEnd.NOT_SENT
