"""Readiness endpoint, by which the platform asks whether an entry takes new connections."""

from collections.abc import Callable
from http import HTTPStatus

from gooseberryquay.links.http_server import Request, Response, Router
from gooseberryquay.platform import names

__all__ = ["readiness_router"]


def readiness_router(is_ready: Callable[[], bool]) -> Router:
    """Build the router for the readiness checks of the platform's load balancer."""

    def handle(_: Request) -> Response:
        status = HTTPStatus.OK if is_ready() else HTTPStatus.SERVICE_UNAVAILABLE
        return Response(status=status, body=b"{}")

    router = Router()
    router.add("GET", names.READY_PATH, handle)
    return router
