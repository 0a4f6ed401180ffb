"""Connection that carries one order with a bounded delivery time."""

import http.client
import socket
from types import TracebackType
from typing import Self

from result import Err, Ok, Result
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from gooseberryquay.contracts.upstream import UpstreamDeclaration
from gooseberryquay.ids import UpstreamId
from gooseberryquay.links.response_head import CompleteHeadResponse
from gooseberryquay.machines.fenced_order_messages import (
    FencedOrder,
    OrderNotSent,
    OrderOutcomeUnknown,
)

__all__ = ["OrderConnection"]

ORDERS_PATH = "/orders"
MILLISECONDS = 1000


class _Connection(HTTPConnection):
    response_class = CompleteHeadResponse


class OrderConnection:
    """Connect before the lease check, then send the order, then wait for the response.

    The kernel drops a sent order that is not acknowledged within `delivery_s`.
    """

    def __init__(
        self, upstream: UpstreamDeclaration, *, delivery_s: float, response_timeout_s: float
    ) -> None:
        self._upstream: UpstreamId = upstream.id
        self._response_timeout_s = response_timeout_s
        delivery_ms = round(delivery_s * MILLISECONDS)
        self._connection = _Connection(
            upstream.address.host,
            upstream.address.port,
            timeout=delivery_s,
            socket_options=[
                (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
                (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, delivery_ms),
            ],
        )

    def connect(self) -> Result[None, OrderNotSent]:
        """Open the connection."""
        try:
            self._connection.connect()
        except (HTTPError, OSError) as error:
            return Err(OrderNotSent(self._upstream, str(error)))
        return Ok(None)

    def send(self, order: FencedOrder) -> Result[None, OrderOutcomeUnknown]:
        """Write the order to the socket."""
        try:
            self._connection.request("POST", ORDERS_PATH, body=order.model_dump_json().encode())
        except (HTTPError, OSError) as error:
            return Err(OrderOutcomeUnknown(self._upstream, str(error)))
        return Ok(None)

    def status(self) -> Result[int, OrderOutcomeUnknown]:
        """Wait for the response and return its HTTP status."""
        try:
            self._connection.timeout = self._response_timeout_s
            response = self._connection.getresponse()
            response.read()
        except (HTTPError, http.client.HTTPException, OSError) as error:
            return Err(OrderOutcomeUnknown(self._upstream, str(error)))
        return Ok(response.status)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        _type: type[BaseException] | None,
        _error: BaseException | None,
        _traceback: TracebackType | None,
    ) -> None:
        self._connection.close()
