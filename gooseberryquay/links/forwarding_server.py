"""HTTP server for requests that are forwarded unmodified."""

from collections.abc import Callable
from typing import Any

from gooseberryquay.links.caller_budget import CallerBudget
from gooseberryquay.links.http_server import HttpServer, LogServerError, Router
from gooseberryquay.links.streaming_gateway import StreamingGateway
from gooseberryquay.links.strict_request import StrictConnection

__all__ = ["Forwarder", "ForwardingServer"]

Forwarder = Callable[[StreamingGateway], None]

MIN_THREADS = 4
# cheroot takes a limit of 0 for none.
ALMOST_0_BYTES = 0.5


class ForwardingServer(HttpServer):
    """Pass each parsed request to a forwarder, which writes the complete response."""

    def __init__(
        self,
        host: str,
        port: int,
        forward: Forwarder,
        header_bytes_max: int,
        body_bytes_max: int,
        *,
        log_error: LogServerError | None = None,
        budget: CallerBudget | None = None,
        descriptors_max: int | None = None,
    ) -> None:
        super().__init__(
            host,
            port,
            Router(),
            max_body_bytes=body_bytes_max,
            min_threads=MIN_THREADS,
            log_error=log_error,
            budget=budget,
            **({"max_threads": budget.bounds.threads_max} if budget is not None else {}),
        )
        self._server.limits_connections = budget is not None
        self._server.descriptors_max = descriptors_max
        self._forward = forward
        self._server.ConnectionClass = StrictConnection
        self._server.max_request_header_size = header_bytes_max

    def _respond(self, gateway: StreamingGateway) -> None:
        self._forward(gateway)

    def set_limits(self, header_bytes_max: int, body_bytes_max: int) -> None:
        """Set the header and body size limits, in bytes, of new requests; 0 lets none pass."""
        server: Any = self._server
        server.max_request_header_size = max(header_bytes_max, ALMOST_0_BYTES)
        server.max_request_body_size = max(body_bytes_max, ALMOST_0_BYTES)
