"""HTTP response of a client connection whose head must be complete and state a status."""

import http.client
from typing import Any

from gooseberryquay.links.status_code import StatusKind, kind_of_status, parse_status

__all__ = ["CompleteHeadResponse"]

# Far more than a server announces before its answer.
INTERIM_RESPONSES_MAX = 32


class CompleteHeadResponse(http.client.HTTPResponse):
    """Raise `RemoteDisconnected` if the connection ends within the head.

    `http.client` takes the end of the connection for the end of the headers, and any number up to
    999 for a status, also an interim one.
    """

    _interim_count = 0

    def begin(self) -> None:
        """Read the status line and the headers."""
        reader: Any = self.fp
        self.fp = _HeadReader(reader)  # type: ignore[assignment]
        try:
            super().begin()
        finally:
            if self.fp is not None:
                self.fp = reader

    def _read_status(self) -> tuple[str, int, str]:
        """Read a status line; return status 100 for each that announces another one."""
        reader: Any = self.fp
        version, _, reason = super()._read_status()  # type: ignore[misc]
        status = parse_status(reader.line.decode("latin-1").split()[1])
        if status is None:
            raise http.client.BadStatusLine(repr(reader.line))
        if kind_of_status(status) is StatusKind.FINAL:
            return version, status, reason
        self._interim_count += 1
        if self._interim_count > INTERIM_RESPONSES_MAX:
            raise http.client.BadStatusLine("too many interim responses")
        return version, http.client.CONTINUE, reason


class _HeadReader:
    """Read the lines of a head, each of which must be complete."""

    line = b""

    def __init__(self, reader: Any) -> None:
        self._reader = reader

    def readline(self, limit: int) -> bytes:
        """Return the next line; the caller rejects one that reaches the limit."""
        self.line = self._reader.readline(limit)
        if not self.line.endswith(b"\n") and len(self.line) < limit:
            raise http.client.RemoteDisconnected("connection closed within the response head")
        return self.line

    def close(self) -> None:
        """Close the reader."""
        self._reader.close()
