"""Connections of the load tool's callers to the entries of one variant."""

import http.client
from collections.abc import Iterator, Mapping
from contextlib import contextmanager

from gooseberryquay.standins.load.balancer import Balancer

__all__ = ["CallFailure", "Sender"]

CallFailure = (OSError, http.client.HTTPException)


class Sender:
    """Send calls to the entries that the balancer selects; try the next one if refused."""

    def __init__(self, balancer: Balancer, idle_timeout_s: float) -> None:
        self._balancer = balancer
        self._idle_timeout_s = idle_timeout_s

    @contextmanager
    def send(
        self, path: str, body: bytes, headers: Mapping[str, str], rotation: int
    ) -> Iterator[http.client.HTTPResponse]:
        """Send a request and yield its response.

        Raises one of `CallFailure` if the request or the connection fails.
        """
        connection = self._connect(rotation)
        try:
            connection.request("POST", path, body, dict(headers))
            yield connection.getresponse()
        finally:
            connection.close()

    def _connect(self, rotation: int) -> http.client.HTTPConnection:
        last_error: OSError | None = None
        for host, port in self._balancer.rotate_targets(rotation):
            connection = http.client.HTTPConnection(host, port, timeout=self._idle_timeout_s)
            try:
                connection.connect()
                return connection
            except OSError as error:
                last_error = error
        raise last_error or ConnectionRefusedError
