"""Whole exchanges with answers that come slowly, and their interruption."""

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
    """Answer one request with a head after a pause, then with parts."""

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
def ask():
    pool = ConnectionPool(0.5, 2.0)

    def _ask(server, timeout_s, interrupt=None):
        request = BufferedRequest("GET", "/")
        return exchange(pool, server.address, request, time.monotonic() + timeout_s, interrupt)

    return _ask


def test_answer_that_goes_on_arriving_is_read_beyond_the_time_for_its_head(ask):
    """A hunted day broke CONFIG: a large configuration never arrived whole on a slow link."""
    answer = ask(_SlowServer(0.0, PARTS), PART_PAUSE_S * 2)
    assert answer.ok_value.body == b"x" * PARTS


def test_answer_that_stops_arriving_times_out(ask):
    began_at_s = time.monotonic()
    assert isinstance(ask(_SlowServer(0.0, 2), 0.2).err_value, TransportTimeout)
    assert time.monotonic() - began_at_s < 2.0


def test_interrupt_ends_the_wait_for_a_head_but_not_an_answer_that_arrives(ask):
    interrupt = Interrupt()
    threading.Timer(0.2, interrupt.set).start()
    assert isinstance(ask(_SlowServer(0.0, PARTS), 2.0, interrupt), Ok)
    assert ask(_SlowServer(1.0, PARTS), 2.0, interrupt) == Err(CallerLeft())
