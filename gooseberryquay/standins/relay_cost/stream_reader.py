"""Reader of many concurrent event streams that measures the gaps between tokens."""

import selectors
import socket
import time
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

__all__ = ["ReadResult", "StreamReader"]

GAP_MIN_US = 1
GAP_MAX_US = 60_000_000
SIGNIFICANT_DIGITS = 3
READ_BYTES = 65536
TOKEN_FIELD = b"id: "
END_MARK = b"[DONE]"
CONNECT_PAUSE_S = 0.002


@dataclass
class ReadResult:
    """Counts of tokens and finished streams, and the gaps between tokens in microseconds."""

    token_count: int = 0
    finished_count: int = 0
    gaps_us: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(GAP_MIN_US, GAP_MAX_US, SIGNIFICANT_DIGITS)
    )


class StreamReader:
    """Open streams at one port and read them all in one thread."""

    def __init__(self, port: int, request: bytes, stream_count: int) -> None:
        self._port = port
        self._request = request
        self._stream_count = stream_count
        self._last_at_s: dict[socket.socket, float] = {}

    def run(self, timeout_s: float) -> ReadResult:
        """Read all streams until they end or the timeout expires."""
        result = ReadResult()
        with selectors.DefaultSelector() as selector:
            for _ in range(self._stream_count):
                self._open(selector)
                self._read_ready(selector, result, 0)
            deadline_s = time.monotonic() + timeout_s
            while selector.get_map() and time.monotonic() < deadline_s:
                self._read_ready(selector, result, 0.1)
        return result

    def _open(self, selector: selectors.BaseSelector) -> None:
        connection = socket.create_connection(("127.0.0.1", self._port))
        connection.sendall(self._request)
        selector.register(connection, selectors.EVENT_READ)
        time.sleep(CONNECT_PAUSE_S)

    def _read_ready(
        self, selector: selectors.BaseSelector, result: ReadResult, timeout_s: float
    ) -> None:
        for key, _ in selector.select(timeout_s):
            connection = key.fileobj
            assert isinstance(connection, socket.socket)
            data = connection.recv(READ_BYTES)
            self._record_tokens(connection, data, result)
            if not data or END_MARK in data:
                selector.unregister(connection)
                connection.close()

    def _record_tokens(self, connection: socket.socket, data: bytes, result: ReadResult) -> None:
        tokens = data.count(TOKEN_FIELD)
        result.finished_count += END_MARK in data
        if not tokens:
            return
        now_s = time.monotonic()
        last_at_s = self._last_at_s.get(connection)
        if last_at_s is not None:
            result.gaps_us.record_value(int((now_s - last_at_s) * 1e6))
        self._last_at_s[connection] = now_s
        result.token_count += tokens
