"""Complete exchanges with slow responses, and their interruption."""

import contextlib
import socket
import threading
import time

import pytest
from result import Err, Ok

from gooseberryquay.contracts.fields import Address
from gooseberryquay.links.connection_pool import ConnectionPool
from gooseberryquay.links.exchange import BufferedRequest, Interrupt, exchange
from gooseberryquay.links.transport_failure import TransportTimeout
from gooseberryquay.links.upstream_connection import CallerLeft

PARTS = 6
PART_PAUSE_S = 0.1
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"


class _SlowServer:
    """Send the response head after a delay, then the body in parts."""

    def __init__(self, head_after_s, parts):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = Address("127.0.0.1", self._listener.getsockname()[1])
        self._head_after_s = head_after_s
        self._parts = parts
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        connection, _ = self._listener.accept()
        connection.recv(4096)
        time.sleep(self._head_after_s)
        with contextlib.suppress(OSError):
            connection.sendall(HEAD % PARTS)
            for _ in range(self._parts):
                time.sleep(PART_PAUSE_S)
                connection.sendall(b"x")
            time.sleep(3.0)


@pytest.fixture
def send():
    pool = ConnectionPool(0.5, 2.0)

    def _send(server, timeout_s, interrupt=None):
        request = BufferedRequest("GET", "/")
        return exchange(pool, server.address, request, time.monotonic() + timeout_s, interrupt)

    return _send


def test_response_that_makes_progress_is_read_past_the_timeout_of_its_head(send):
    """In a fault-injection run, a large configuration timed out on a slow connection."""
    answer = send(_SlowServer(0.0, PARTS), PART_PAUSE_S * 2)
    assert answer.ok_value.body == b"x" * PARTS


def test_response_that_stalls_times_out(send):
    started_at_s = time.monotonic()
    assert isinstance(send(_SlowServer(0.0, 2), 0.2).err_value, TransportTimeout)
    assert time.monotonic() - started_at_s < 2.0


def test_interrupt_ends_the_wait_for_a_head_but_not_a_response_in_progress(send):
    interrupt = Interrupt()
    threading.Timer(0.2, interrupt.set).start()
    assert isinstance(send(_SlowServer(0.0, PARTS), 2.0, interrupt), Ok)
    assert send(_SlowServer(1.0, PARTS), 2.0, interrupt) == Err(CallerLeft())
