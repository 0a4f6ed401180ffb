"""Upstreams that answer the requests of a connection one after the other."""

import socket
import threading
from contextlib import contextmanager, suppress

from gooseberryquay.contracts.fields import Address

ID = "X-Attempt-Id: r-1\r\n"
UNFRAMED_HEAD = f"HTTP/1.1 200 OK\r\n{ID}X-Response-Seal: s\r\n\r\n".encode()


@contextmanager
def answering_upstream(respond):
    """Call `respond(socket, request_number, connection_number)` for each request."""
    listener = socket.create_server(("127.0.0.1", 0))

    def serve(connection, number):
        with suppress(OSError), connection:
            request = 0
            while connection.recv(65536):
                if respond(connection, request, number) is False:
                    return
                request += 1

    def accept():
        with suppress(OSError):
            for number in range(100):
                arguments = (listener.accept()[0], number)
                threading.Thread(target=serve, args=arguments, daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    yield Address(*listener.getsockname())
    listener.close()
