"""HTTP response of a client connection whose head must be complete."""

import http.client
from typing import Any

__all__ = ["CompleteHeadResponse"]


class CompleteHeadResponse(http.client.HTTPResponse):
    """Raise `RemoteDisconnected` if the connection ends within the head.

    `http.client` takes the end of the connection for the end of the headers.
    """

    def begin(self) -> None:
        """Read the status line and the headers."""
        reader: Any = self.fp
        self.fp = _HeadReader(reader)  # type: ignore[assignment]
        try:
            super().begin()
        finally:
            if self.fp is not None:
                self.fp = reader


class _HeadReader:
    """Read the lines of a head, each of which must be complete."""

    def __init__(self, reader: Any) -> None:
        self._reader = reader

    def readline(self, limit: int) -> bytes:
        """Return the next line; the caller rejects one that reaches the limit."""
        line: bytes = self._reader.readline(limit)
        if not line.endswith(b"\n") and len(line) < limit:
            raise http.client.RemoteDisconnected("connection closed within the response head")
        return line

    def close(self) -> None:
        """Close the reader."""
        self._reader.close()
