"""Health and status endpoints of one entry."""

from collections.abc import Callable

from pydantic import BaseModel

from gooseberryquay.links.caller_api import EntryState
from gooseberryquay.links.http_server import Request, Response, Router

__all__ = ["HealthApi", "ReadyMessage"]

HTTP_UNAVAILABLE = 503


class ReadyMessage(BaseModel):
    """Report whether an entry accepts new work, and the reason if it does not."""

    is_ready: bool
    reason: str = ""


class HealthApi:
    """Serve health checks of load balancers and status queries of operators."""

    def __init__(self, state: EntryState, status: Callable[[], BaseModel]) -> None:
        self._state = state
        self._status = status

    def add_routes(self, router: Router) -> None:
        """Register the health and status paths."""
        router.add("GET", "/livez", self._handle_live)
        router.add("GET", "/readyz", self._handle_ready)
        router.add("GET", "/status", self._handle_status)

    def _handle_live(self, _request: Request) -> Response:
        return Response(body=b'{"is_live":true}')

    def _handle_ready(self, _request: Request) -> Response:
        refusal = self._state.readiness()
        if refusal is None:
            return Response.of(ReadyMessage(is_ready=True))
        return Response.of(ReadyMessage(is_ready=False, reason=refusal.type), HTTP_UNAVAILABLE)

    def _handle_status(self, _request: Request) -> Response:
        return Response.of(self._status())
