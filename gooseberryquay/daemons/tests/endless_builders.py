"""Engines whose answers are bytes without end, and callers beside them."""

import contextlib
import threading
import time
from enum import Enum

from gooseberryquay.daemons.tests.platform_builders import send_request
from gooseberryquay.daemons.tests.stream_builders import StreamCaller

BYTES_PER_S = 150_000
INTERVAL_S = 0.01
ENDLESS_MAX_S = 30.0
HEAD = (
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: {0}\r\n"
    "X-Response-Seal: {0}.s\r\n"
)
CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n"
UNTIL_CLOSED = HEAD + "Connection: close\r\n\r\n"


class Endless(Enum):
    """Name what an engine sends without end: a head, and bytes that are repeated."""

    NO_LINE_END = (UNTIL_CLOSED, b"x" * 1400)
    NO_BLANK_LINE = (UNTIL_CLOSED, b"data: 1\n" * 175)
    ALMOST_BLANK_LINES = (UNTIL_CLOSED, b"\r\n\r" * 460)
    EMPTY_EVENTS = (UNTIL_CLOSED, b"\n\n" * 700)
    COMMENTS = (UNTIL_CLOSED, b":\n\n" * 460)
    CHUNKS_OF_ONE_BYTE = (CHUNKED, b"1\r\nx\r\n" * 230)
    CHUNKS_OF_ONE_LINE_END = (CHUNKED, b"1\r\n\n\r\n" * 230)
    INTERIM_RESPONSES = ("", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 50)
    HEAD_LINES = (HEAD, b"X-More: 1\r\n" * 120)
    TRAILER_LINES = (CHUNKED + "0\r\n", b"X-More: 1\r\n" * 120)


def send_without_end(engine, endless):
    """Let an engine answer each stream with bytes that never end."""
    head, piece = endless.value

    def stream(received, *_arguments):
        connection = received.gateway.connection
        until_s = time.monotonic() + ENDLESS_MAX_S
        sent, began_at_s = 0, time.monotonic()
        with contextlib.suppress(OSError):
            connection.sendall(head.format(received.id).encode())
            while time.monotonic() < until_s:
                due = int((time.monotonic() - began_at_s) * BYTES_PER_S)
                while sent < due:
                    connection.sendall(piece)
                    sent += len(piece)
                time.sleep(INTERVAL_S)
        received.gateway.abort()

    engine._stream = stream


class Postings:
    """Post at a steady rate, each posting in a thread of its own, and keep how long it took."""

    def __init__(self, port, per_s):
        self._port = port
        self._per_s = per_s
        self.took_s = []

    def run(self, duration_s):
        """Post for `duration_s`, then wait for the answers."""
        posting = []
        until_s = time.monotonic() + duration_s
        while time.monotonic() < until_s:
            posting.append(threading.Thread(target=self._post))
            posting[-1].start()
            time.sleep(1.0 / self._per_s)
        for each in posting:
            each.join()

    def _post(self):
        began_at_s = time.monotonic()
        response = send_request(self._port, "/post/1", b"x")
        took_s = time.monotonic() - began_at_s
        self.took_s.append(took_s if response.status == 200 else float("inf"))


def start_streams_in_trouble(port, count):
    """Begin streams that nobody expects to end; return their threads."""
    callers = [StreamCaller(path="/note/1") for _ in range(count)]
    threads = [threading.Thread(target=each.read, args=(port,), daemon=True) for each in callers]
    for each in threads:
        each.start()
    return threads
