"""The response of one request, which is begun once, by its own thread or at the entry's exit."""

import threading
from collections.abc import Sequence

from gooseberryquay.links.streaming_gateway import CallerDisconnected
from gooseberryquay.serving.call import HeaderPair
from gooseberryquay.serving.ports import ResponseWriter

__all__ = ["FinalResponse"]

# Responses that two threads may send are short.
WRITE_TIMEOUT_S = 1.0


class FinalResponse:
    """Pass the first response of a request to the caller; thread-safe until it has begun.

    A second one raises `CallerDisconnected`, as if the caller had left after the first. It does so
    once the first is written, as the server closes the connection when the request's thread ends.
    """

    def __init__(self, writer: ResponseWriter) -> None:
        self._writer = writer
        self._lock = threading.Lock()
        self._is_begun = False
        self._written = threading.Event()

    @property
    def is_begun(self) -> bool:
        """Return whether the caller has received, or is about to receive, a response."""
        return self._is_begun

    def send(self, status: int, headers: Sequence[HeaderPair], body: bytes) -> None:
        """Send a complete response."""
        if not self.try_send(status, headers, body):
            self._written.wait(WRITE_TIMEOUT_S)
            raise CallerDisconnected("the request was answered by another thread")

    def try_send(self, status: int, headers: Sequence[HeaderPair], body: bytes) -> bool:
        """Send a complete response; return False at once if one has begun."""
        if not self._try_begin():
            return False
        try:
            self._writer.send(status, headers, body)
        finally:
            self._written.set()
        return True

    def start_stream(self, status: int, headers: Sequence[HeaderPair]) -> None:
        """Send the headers of a response whose body follows in parts."""
        if not self._try_begin():
            self._written.wait(WRITE_TIMEOUT_S)
            raise CallerDisconnected("the request was answered by another thread")
        self._writer.start_stream(status, headers)

    def write(self, content: bytes) -> None:
        """Send a part of the body immediately."""
        self._writer.write(content)

    def end_stream(self) -> None:
        """Mark the body as complete."""
        self._writer.end_stream()

    def abort(self) -> None:
        """Abort the connection, so that the response cannot appear complete."""
        self._writer.abort()

    def _try_begin(self) -> bool:
        with self._lock:
            if self._is_begun:
                return False
            self._is_begun = True
            return True
