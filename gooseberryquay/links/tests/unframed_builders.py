"""A server of one path, and a caller of HTTP/1.0 that reads to the end of its connection."""

import socket
import time
from contextlib import contextmanager
from dataclasses import dataclass

from gooseberryquay.links.http_server import HttpServer, Router

TIMEOUT_S = 10.0
# The least that the kernel grants, so that most of an answer waits at its sender.
RECEIVE_BUFFER_BYTES = 1


@dataclass
class RawAnswer:
    """Represent what a caller received, and whether a reset ended it."""

    received: bytes
    is_reset: bool


@contextmanager
def serving(handler):
    """Serve one path; yield the port."""
    router = Router()
    router.add("GET", "/path", handler)
    server = HttpServer("127.0.0.1", 0, router)
    server.start()
    try:
        yield server.port
    finally:
        server.stop()


def connect_with_small_buffer(port):
    """Open a connection whose receive buffer takes a few kB."""
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    connection.settimeout(TIMEOUT_S)
    connection.connect(("127.0.0.1", port))
    return connection


def read_to_end(port, version=b"1.0", pause_s=0.0):
    """Send a request, wait for `pause_s`, and read until the connection ends."""
    head = b"GET /path HTTP/%b\r\nHost: a\r\nConnection: close\r\n\r\n" % version
    parts = []
    with connect_with_small_buffer(port) as connection:
        connection.sendall(head)
        time.sleep(pause_s)
        try:
            while part := connection.recv(65536):
                parts.append(part)
        except ConnectionResetError:
            return RawAnswer(b"".join(parts), True)
    return RawAnswer(b"".join(parts), False)
