"""Count of the control traffic that an entry sends and serves."""

from gooseberryquay.links.http_client import Reply
from gooseberryquay.links.http_server import Request, Response, Router
from gooseberryquay.machines.control_budget import ControlBudget

__all__ = ["CONTROL_PATHS", "MeteredRouter", "count_exchange"]

# Claims of postings share the links but are work, not control.
CONTROL_PATHS = ("/heartbeat", "/members", "/suspects", "/peer/config/", "/peer/cold-upstream")
REQUEST_HEADER_BYTES = 90
ANSWER_HEADER_BYTES = 150


class MeteredRouter(Router):
    """Answer requests as any router does, and count those of control."""

    def __init__(self, budget: ControlBudget) -> None:
        super().__init__()
        self._budget = budget

    def handle(self, request: Request) -> Response:
        """Answer a request and count it."""
        response = super().handle(request)
        body = response.body
        answer_bytes = len(body) if isinstance(body, bytes) else 0
        _count(self._budget, request.path, len(request.body) + answer_bytes)
        return response


def count_exchange(budget: ControlBudget, path: str, body: bytes, reply: Reply | None) -> None:
    """Count a request that was sent and its answer, if it came."""
    _count(budget, path, len(body) + (len(reply.body) if reply is not None else 0))


def _count(budget: ControlBudget, path: str, body_bytes: int) -> None:
    if path.startswith(CONTROL_PATHS):
        budget.spend(REQUEST_HEADER_BYTES + ANSWER_HEADER_BYTES + body_bytes)
