"""Incremental reading of an HTTP response body."""

import socket
from collections.abc import Callable
from typing import Any

import urllib3
from result import Err, Ok, Result
from urllib3.exceptions import HTTPError

from gooseberryquay.links.chunk_decoder import ChunkDecoder, MalformedChunk
from gooseberryquay.links.socket_timeout import set_read_timeout
from gooseberryquay.links.transport_failure import (
    ConnectionBroken,
    TransportFailure,
    classify_error,
)

__all__ = ["READ_BYTES", "BodyReader"]

READ_BYTES = 64 * 1024

Receive = Callable[[int], bytes]


class BodyReader:
    """Read a response body in parts as they arrive.

    A chunked body is read directly from the socket: reading it through urllib3 and http.client
    costs several times as much per token as the system call.
    """

    def __init__(self, response: urllib3.BaseHTTPResponse, read_timeout_s: float) -> None:
        self._response = response
        self._read_timeout_s = read_timeout_s
        self._decoder = ChunkDecoder()
        self._socket, self._buffered = _raw_parts(response)
        self._receive: Receive | None = None

    @property
    def receive_raw(self) -> Receive | None:
        """Return the socket's `recv` if the next byte starts a chunk, else None."""
        return self._receive if self._decoder.is_at_boundary else None

    def read(self) -> Result[bytes, TransportFailure]:
        """Wait for data and return the decoded content; empty at the end of the body."""
        if self._socket is None:
            return self._read_plain()
        while not self._decoder.is_ended:
            try:
                raw = self._read_raw(self._socket)
            except OSError as error:
                return Err(classify_error(error))
            match self.decode(raw):
                case Ok(b""):
                    continue
                case decoded:
                    return decoded
        return Ok(b"")

    def decode(self, raw: bytes) -> Result[bytes, TransportFailure]:
        """Return the content of bytes that were read with `receive_raw`."""
        if not raw:
            return Err(ConnectionBroken("connection closed before the last chunk", was_sent=True))
        try:
            return Ok(self._decoder.decode(raw))
        except MalformedChunk as error:
            return Err(ConnectionBroken(str(error), was_sent=True))

    @property
    def is_ended(self) -> bool:
        """Return whether a chunked body has been read to its end."""
        return self._decoder.is_ended

    def _read_raw(self, connection: socket.socket) -> bytes:
        if self._receive is not None:
            return self._receive(READ_BYTES)
        # Bytes that arrived together with the headers are in the buffered reader.
        raw: bytes = self._buffered.read1(READ_BYTES)
        set_read_timeout(connection, self._read_timeout_s)
        self._receive = connection.recv
        return raw

    def _read_plain(self) -> Result[bytes, TransportFailure]:
        try:
            return Ok(self._response.read1(READ_BYTES))
        except (HTTPError, OSError) as error:
            return Err(classify_error(error))


def _raw_parts(response: urllib3.BaseHTTPResponse) -> tuple[socket.socket | None, Any]:
    connection = getattr(response, "connection", None)
    opened: socket.socket | None = getattr(connection, "sock", None)
    original = getattr(response, "_original_response", None)
    is_chunked = getattr(response, "chunked", False)
    if opened is None or original is None or not is_chunked:
        return None, None
    return opened, original.fp
