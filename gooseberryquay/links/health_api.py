"""Health and status of one entry."""

from collections.abc import Callable

from pydantic import BaseModel

from gooseberryquay.links.caller_api import EntryState
from gooseberryquay.links.http_server import Request, Response, Router

__all__ = ["HealthApi", "ReadyMessage"]

HTTP_UNAVAILABLE = 503


class ReadyMessage(BaseModel):
    """Say whether an entry takes new work, and why not."""

    is_ready: bool
    reason: str = ""


class HealthApi:
    """Answer the balancer's and the operators' questions."""

    def __init__(self, state: EntryState, status: Callable[[], BaseModel]) -> None:
        self._state = state
        self._status = status

    def add_routes(self, router: Router) -> None:
        """Register the health and status paths."""
        router.add("GET", "/livez", self._answer_live)
        router.add("GET", "/readyz", self._answer_ready)
        router.add("GET", "/status", self._answer_status)

    def _answer_live(self, _request: Request) -> Response:
        return Response(body=b'{"is_live":true}')

    def _answer_ready(self, _request: Request) -> Response:
        refusal = self._state.readiness()
        if refusal is None:
            return Response.of(ReadyMessage(is_ready=True))
        return Response.of(ReadyMessage(is_ready=False, reason=refusal.type), HTTP_UNAVAILABLE)

    def _answer_status(self, _request: Request) -> Response:
        return Response.of(self._status())
