"""Connections of the load tool's callers to the entries of one variant."""

import http.client
from collections.abc import Iterator, Mapping, Sequence
from contextlib import contextmanager

from gooseberryquay.contracts.fields import Address

__all__ = ["CallFailure", "Sender"]

CallFailure = (OSError, http.client.HTTPException)


class Sender:
    """Send calls to entries in turn, as a balancer does; a refused connection moves on."""

    def __init__(self, targets: Sequence[Address], idle_timeout_s: float) -> None:
        self._targets = targets
        self._idle_timeout_s = idle_timeout_s

    @contextmanager
    def send(
        self, path: str, body: bytes, headers: Mapping[str, str], turn: int
    ) -> Iterator[http.client.HTTPResponse]:
        """Send a request and give its answer; raises one of `CallFailure` without one."""
        connection = self._connect(turn)
        try:
            connection.request("POST", path, body, dict(headers))
            yield connection.getresponse()
        finally:
            connection.close()

    def _connect(self, turn: int) -> http.client.HTTPConnection:
        last_error: OSError | None = None
        for offset in range(len(self._targets)):
            host, port = self._targets[(turn + offset) % len(self._targets)]
            connection = http.client.HTTPConnection(host, port, timeout=self._idle_timeout_s)
            try:
                connection.connect()
                return connection
            except OSError as error:
                last_error = error
        raise last_error or ConnectionRefusedError
