"""Reference relays for an entry: bare sockets, and unmodified cheroot with urllib3."""

import socket
import threading
from collections.abc import Callable, Iterator
from typing import Any

import cheroot.wsgi
import urllib3

__all__ = ["BareRelay", "PlainRelay"]

READ_BYTES = 65536
LISTEN_BACKLOG = 2048
STACK_BYTES = 256 * 1024
PLAIN_THREADS = 600
POOLED_CONNECTIONS = 1000


class BareRelay:
    """Copy bytes between two sockets, with one thread per connection."""

    def __init__(self, source_port: int, port: int = 0) -> None:
        threading.stack_size(STACK_BYTES)
        self._source_port = source_port
        self._listener = socket.create_server(("127.0.0.1", port), backlog=LISTEN_BACKLOG)

    @property
    def port(self) -> int:
        """Return the bound TCP port."""
        return int(self._listener.getsockname()[1])

    def start(self) -> None:
        """Start serving in the background."""
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self) -> None:
        """Stop accepting connections."""
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                caller, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._relay, args=(caller,), daemon=True).start()

    def _relay(self, caller: socket.socket) -> None:
        caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with caller, socket.create_connection(("127.0.0.1", self._source_port)) as source:
            source.sendall(caller.recv(READ_BYTES))
            while data := source.recv(READ_BYTES):
                try:
                    caller.sendall(data)
                except OSError:
                    return


class PlainRelay:
    """Forward each chunk that urllib3 reads through the writer of cheroot."""

    def __init__(self, source_port: int, port: int = 0) -> None:
        threading.stack_size(STACK_BYTES)
        self._pool = urllib3.HTTPConnectionPool(
            "127.0.0.1", source_port, maxsize=POOLED_CONNECTIONS
        )
        self._server = cheroot.wsgi.Server(
            ("127.0.0.1", port), self._serve_wsgi, numthreads=PLAIN_THREADS
        )
        self._server.request_queue_size = LISTEN_BACKLOG

    @property
    def port(self) -> int:
        """Return the bound TCP port."""
        return int(self._server.bind_addr[1])

    def start(self) -> None:
        """Start serving in the background."""
        self._server.prepare()
        threading.Thread(target=self._server.serve, daemon=True).start()

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop()

    def _serve_wsgi(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterator[bytes]:
        body = environ["wsgi.input"].read()
        response = self._pool.urlopen("POST", "/", body=body, preload_content=False)
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        return response.read_chunked()
