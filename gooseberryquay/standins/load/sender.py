"""Connections of the load tool's callers to the entries of one variant."""

import http.client
from collections.abc import Iterator, Mapping
from contextlib import contextmanager

from gooseberryquay.standins.load.balancer import Balancer

__all__ = ["CallFailure", "Sender"]

CallFailure = (OSError, http.client.HTTPException)


class Sender:
    """Send calls to entries as the balancer gives them; a refused connection moves on."""

    def __init__(self, balancer: Balancer, idle_timeout_s: float) -> None:
        self._balancer = balancer
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
        for host, port in self._balancer.in_turn(turn):
            connection = http.client.HTTPConnection(host, port, timeout=self._idle_timeout_s)
            try:
                connection.connect()
                return connection
            except OSError as error:
                last_error = error
        raise last_error or ConnectionRefusedError
