"""Idle connections to upstreams that come and go."""

import http.server
import threading
import time
from contextlib import ExitStack, contextmanager

import pytest

from gooseberryquay.contracts.fields import Address
from gooseberryquay.links import connection_pool
from gooseberryquay.links.connection_pool import ConnectionPool
from gooseberryquay.links.exchange import BufferedRequest, exchange

UPSTREAMS = 20
IDLE_LIMIT_S = 0.3


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_GET(self):
        self.send_response(200)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *_arguments):
        pass


@contextmanager
def _upstream():
    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), _Handler)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()
    yield Address(*server.server_address)
    server.shutdown()
    server.server_close()


def _call(pool, address):
    request = BufferedRequest("GET", "/")
    assert exchange(pool, address, request, time.monotonic() + 2.0).ok_value.status == 200


# Guards against descriptors that are used up by connections to upstreams that have left.
def test_idle_connections_to_upstreams_that_nobody_asks_for_are_closed(monkeypatch):
    monkeypatch.setattr(connection_pool, "EXPIRY_CHECK_S", 0.1, raising=False)
    pool = ConnectionPool(1.0, IDLE_LIMIT_S)
    with _upstream() as kept, ExitStack() as left:
        _call(pool, kept)
        for _ in range(UPSTREAMS):
            _call(pool, left.enter_context(_upstream()))
        time.sleep(IDLE_LIMIT_S + 0.1)
        _call(pool, kept)
        assert sum(len(each) for each in pool._idle.values()) == 1


@pytest.mark.parametrize("count", [1, 3])
def test_idle_connection_is_used_again_within_its_limit(count):
    pool = ConnectionPool(1.0, IDLE_LIMIT_S)
    with _upstream() as address:
        _call(pool, address)
        used = pool.acquire(address)
        pool.release(used)
        for _ in range(count):
            _call(pool, address)
        assert pool.acquire(address) is used
