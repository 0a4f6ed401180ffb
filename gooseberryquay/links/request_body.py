"""Reading of request bodies within the memory and the time that callers may take."""

import io
import time
from typing import Any

from gooseberryquay.links.caller_budget import ROOM_WAIT_S, CallerBudget
from gooseberryquay.links.caller_watch import NullCallerWatch
from gooseberryquay.links.work_pace import SMALL_BYTES, SpareWork, WorkPace
from gooseberryquay.machines.caller_ledger import (
    SMALL_BODY_BYTES,
    UNCOUNTED_BYTES,
    CallerLimit,
    Exchange,
    Phase,
)

__all__ = ["BodyIncomplete", "BodyRefused", "read_whole_body"]

READ_BYTES = 64 * 1024
# Far more than any chunk needs for its size and extensions.
CHUNK_LINE_BYTES_MAX = 4096
TRAILERS_MAX = 100
HEX_DIGITS = frozenset(b"0123456789abcdefABCDEF")
# A chunk size of more digits exceeds every limit; leading zeros need no more either.
SIZE_DIGITS_MAX = 16


class BodyIncomplete(ValueError):
    """Raised for a body that ends early or is not framed as declared."""


class BodyRefused(Exception):
    """Raised for a body that a limit forbids to read, with the HTTP status that says so."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


def read_whole_body(
    request: Any, spare: SpareWork | None = None, room_wait_s: float = ROOM_WAIT_S
) -> bytes:
    """Read the complete body of a request; raises `BodyIncomplete` or `BodyRefused`.

    A body of many small chunks is read slowly; `spare` is shared with other bodies. A body for
    which there is no room waits for `room_wait_s` at most.
    """
    length = request.inheaders.get(b"Content-Length")
    exchange: Exchange | None = getattr(request.conn, "exchange", None)
    if length is None and not request.chunked_read:
        if exchange is not None:
            exchange.phase = Phase.SERVING
        return b""
    reader = _BodyReader(request, exchange, spare, room_wait_s)
    try:
        body = reader.read_chunks() if request.chunked_read else reader.read_sized(int(length))
    except (ValueError, IndexError) as error:
        if exchange is not None and exchange.ended_by is not None:
            raise BodyRefused(408, f"the limit of {exchange.ended_by.value} is reached") from error
        raise BodyIncomplete(str(error)) from error
    if exchange is not None:
        exchange.phase = Phase.SERVING
    return body


class _BodyReader:
    """Read one body; without an exchange only its size is limited."""

    def __init__(
        self, request: Any, exchange: Exchange | None, spare: SpareWork | None, room_wait_s: float
    ) -> None:
        self._room_wait_s = room_wait_s
        self._request = request
        self._file = request.conn.rfile
        self._server = request.server
        self._exchange = exchange
        self._budget: CallerBudget | None = getattr(request.server, "caller_budget", None)
        self._spare = spare
        self._admitted_bytes = UNCOUNTED_BYTES
        self._body = io.BytesIO()
        self._framing_bytes = 0

    def read_sized(self, length: int) -> bytes:
        """Read a body of stated length, for which there must be room before it is read."""
        rfile = self._request.rfile
        self._begin(length)
        if length <= SMALL_BODY_BYTES:
            body: bytes = rfile.read()
        else:
            # In parts, so that progress is seen; the buffer is handed out without a copy.
            while rfile.remaining and (part := self._read_part(rfile.remaining)):
                rfile.remaining -= len(part)
            body = self._body.getvalue()
        if len(body) != length:
            raise BodyIncomplete("the body ended before its declared length")
        return body

    def read_chunks(self) -> bytes:
        """Read a chunked body, taking memory as it grows."""
        self._begin(0)
        pace = WorkPace(self._spare or SpareWork())
        while size := self._read_size():
            self._read_chunk(size)
            if size < SMALL_BYTES:
                self._wait(pace)
        # Otherwise they would count as the start of the next request.
        self._skip_trailers()
        # Tells that the body is complete.
        self._request.rfile.closed = True
        return self._body.getvalue()

    def _begin(self, count: int) -> None:
        self._admit(count)
        if self._exchange is not None:
            self._exchange.enter(Phase.BODY, time.monotonic())
        send_continue = getattr(self._request, "send_continue", None)
        if send_continue is not None:
            send_continue()

    def _admit(self, count: int) -> None:
        if self._budget is None or self._exchange is None:
            return
        if not self._budget.admit(self._exchange, count, self._room_wait_s):
            raise BodyRefused(503, "the memory for requests is in use")

    def _read_part(self, count_max: int) -> bytes:
        """Append what has arrived to the body, and return it; empty at the end of the stream."""
        part: bytes = self._file.read1(min(count_max, READ_BYTES))
        self._body.write(part)
        exchange = self._exchange
        if exchange is not None:
            exchange.received_bytes += len(part)
            exchange.progress_at_s = time.monotonic()
            if exchange.ended_by is not None:
                raise ValueError("ended by a limit")
        return part

    def _wait(self, pace: WorkPace) -> None:
        """Let a body of small chunks wait; this is not the caller's time."""
        began_at_s = time.monotonic()
        pace.spend(1, NullCallerWatch(), float("inf"))
        if self._exchange is not None:
            self._exchange.postpone(time.monotonic() - began_at_s)

    def _read_size(self) -> int:
        line: bytes = self._read_line()
        digits = line.partition(b";")[0].strip()
        if not digits or len(digits) > SIZE_DIGITS_MAX or not HEX_DIGITS.issuperset(digits):
            raise ValueError("a chunk size is malformed")
        return int(digits, 16)

    def _read_chunk(self, size: int) -> None:
        total = self._body.tell() + size
        if total > self._server.max_request_body_size > 0:
            raise BodyRefused(413, "the body exceeds the limit")
        while size:
            if self._body.tell() + min(size, READ_BYTES) > self._admitted_bytes:
                self._admit(READ_BYTES)
                self._admitted_bytes += READ_BYTES
            part = self._read_part(size)
            if not part:
                raise ValueError("the body ended within a chunk")
            size -= len(part)
        if self._file.read(2) != b"\r\n":
            raise ValueError("a chunk does not end with CRLF")

    def _skip_trailers(self) -> None:
        left_bytes = self._server.max_request_header_size
        for _ in range(TRAILERS_MAX + 1):
            line = self._read_line()
            left_bytes -= len(line)
            if line == b"\r\n":
                return
            if left_bytes < 0:
                break
        self._refuse_framing("the trailers exceed the limits")

    def _read_line(self) -> bytes:
        line: bytes = self._file.readline(CHUNK_LINE_BYTES_MAX)
        if not line.endswith(b"\r\n"):
            if len(line) == CHUNK_LINE_BYTES_MAX:
                self._refuse_framing("a line of the chunked coding is too long")
            raise ValueError("a line of the chunked coding does not end with CRLF")
        self._framing_bytes += len(line)
        limit = self._server.max_request_body_size
        if self._framing_bytes > max(limit, CHUNK_LINE_BYTES_MAX) and limit > 0:
            self._refuse_framing("the chunked coding takes more than the largest body")
        return line

    def _refuse_framing(self, message: str) -> None:
        if self._budget is not None and self._exchange is not None:
            self._budget.report(CallerLimit.FRAMING, self._exchange, detail=message)
        raise BodyRefused(413, message)
