"""Source of event streams at a fixed rate, with little CPU load beside the measurement."""

import selectors
import socket
import threading
import time
from dataclasses import dataclass

__all__ = ["TokenSource"]

HEAD_END = b"\r\n\r\n"
RESPONSE_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)
LOAD_REQUEST = b"GET /load "
LOAD_BODY = b'{"condition":"warm"}'
LOAD_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(LOAD_BODY), LOAD_BODY)
LAST_CHUNK = b"0\r\n\r\n"
DONE_EVENT = b"data: [DONE]\n\n"
TOKEN_DATA = b'data: {"id":"c","object":"text_completion","choices":[{"index":0,"text":"token "}]}'
LISTEN_BACKLOG = 2048
READ_BYTES = 65536


@dataclass
class _Stream:
    connection: socket.socket
    generation: bytes
    index: int
    next_at_s: float


class TokenSource:
    """Respond to each request with a fixed number of tokens, one per period."""

    def __init__(self, token_count: int, period_s: float, port: int = 0) -> None:
        self._token_count = token_count
        self._period_s = period_s
        self._listener = socket.create_server(("127.0.0.1", port), backlog=LISTEN_BACKLOG)
        self._selector = selectors.DefaultSelector()
        self._requests: dict[socket.socket, bytes] = {}
        self._streams: list[_Stream] = []
        self._is_stopping = threading.Event()

    @property
    def port(self) -> int:
        """Return the bound TCP port."""
        return int(self._listener.getsockname()[1])

    def start(self) -> None:
        """Start serving in the background."""
        threading.Thread(target=self._serve, daemon=True).start()

    def stop(self) -> None:
        """Stop serving."""
        self._is_stopping.set()

    def _serve(self) -> None:
        self._selector.register(self._listener, selectors.EVENT_READ)
        while not self._is_stopping.is_set():
            for key, _ in self._selector.select(timeout=0.001):
                if key.fileobj is self._listener:
                    self._accept()
                elif isinstance(key.fileobj, socket.socket):
                    self._read(key.fileobj)
            self._send_due()

    def _accept(self) -> None:
        connection, _ = self._listener.accept()
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._requests[connection] = b""
        self._selector.register(connection, selectors.EVENT_READ)

    def _read(self, connection: socket.socket) -> None:
        data = connection.recv(READ_BYTES)
        if not data:
            self._selector.unregister(connection)
            self._requests.pop(connection, None)
            connection.close()
            return
        request = self._requests[connection] + data
        self._requests[connection] = request
        if _is_complete(request):
            self._requests[connection] = b""
            if request.startswith(LOAD_REQUEST):
                connection.sendall(LOAD_RESPONSE)
            else:
                self._start_stream(connection, request)

    def _start_stream(self, connection: socket.socket, request: bytes) -> None:
        connection.sendall(RESPONSE_HEAD)
        offset_s = (len(self._streams) % 50) / 50 * self._period_s
        stream = _Stream(connection, _find_generation(request), 0, time.monotonic() + offset_s)
        self._streams.append(stream)

    def _send_due(self) -> None:
        now_s = time.monotonic()
        ended = []
        for stream in self._streams:
            if stream.next_at_s <= now_s and not self._send_token(stream):
                ended.append(stream)
        for stream in ended:
            self._streams.remove(stream)

    def _send_token(self, stream: _Stream) -> bool:
        event = b"id: %s/%d\n%s\n\n" % (stream.generation, stream.index, TOKEN_DATA)
        stream.index += 1
        stream.next_at_s += self._period_s
        is_last = stream.index >= self._token_count
        try:
            stream.connection.sendall(_chunk(event))
            if is_last:
                stream.connection.sendall(_chunk(DONE_EVENT) + LAST_CHUNK)
        except OSError:
            return False
        return not is_last


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def _is_complete(request: bytes) -> bool:
    head, separator, body = request.partition(HEAD_END)
    if not separator:
        return False
    length = _find_header(head, b"content-length")
    return len(body) >= int(length or b"0")


def _find_generation(request: bytes) -> bytes:
    return _find_header(request.partition(HEAD_END)[0], b"x-request-id") or b"g"


def _find_header(head: bytes, name: bytes) -> bytes:
    for line in head.split(b"\r\n")[1:]:
        key, _, value = line.partition(b":")
        if key.strip().lower() == name:
            return value.strip()
    return b""
