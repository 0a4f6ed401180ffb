"""Upstream that responds with given bytes."""

import socket
import threading
from contextlib import contextmanager, suppress

from gooseberryquay.contracts.fields import Address


@contextmanager
def raw_upstream(*answers, then=lambda _connection: None):
    """Respond to the requests on one connection with the given answers, in order."""
    listener = socket.create_server(("127.0.0.1", 0))

    def serve():
        with suppress(OSError):
            connection = listener.accept()[0]
            for answer in answers:
                connection.recv(65536)
                connection.sendall(answer)
            then(connection)

    threading.Thread(target=serve, daemon=True).start()
    yield Address(*listener.getsockname())
    listener.close()
