"""Metering of the control traffic that an entry sends and serves."""

from gooseberryquay.links.http_client import Reply
from gooseberryquay.links.http_server import Request, Response, Router
from gooseberryquay.machines.control_budget import ControlBudget

__all__ = ["CONTROL_PATHS", "MeteredRouter", "count_exchange"]

# Claims of postings share the connections but are not control traffic.
CONTROL_PATHS = ("/heartbeat", "/members", "/suspects", "/peer/config/", "/peer/cold-upstream")
REQUEST_HEADER_BYTES = 90
RESPONSE_HEADER_BYTES = 150


class MeteredRouter(Router):
    """Router that spends control traffic from a byte budget."""

    def __init__(self, budget: ControlBudget) -> None:
        super().__init__()
        self._budget = budget

    def handle(self, request: Request) -> Response:
        """Handle a request and spend its bytes if it is control traffic."""
        response = super().handle(request)
        body = response.body
        response_bytes = len(body) if isinstance(body, bytes) else 0
        _count(self._budget, request.path, len(request.body) + response_bytes)
        return response


def count_exchange(budget: ControlBudget, path: str, body: bytes, reply: Reply | None) -> None:
    """Spend the bytes of a sent control request and of its response, if any."""
    _count(budget, path, len(body) + (len(reply.body) if reply is not None else 0))


def _count(budget: ControlBudget, path: str, body_bytes: int) -> None:
    if path.startswith(CONTROL_PATHS):
        budget.spend(REQUEST_HEADER_BYTES + RESPONSE_HEADER_BYTES + body_bytes)
