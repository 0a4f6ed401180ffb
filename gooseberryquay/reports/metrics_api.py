"""Metrics of a process as text, for operators' scrapers."""

from collections.abc import Callable

from gooseberryquay.links.http_server import Request, Response, Router

__all__ = ["METRICS_PATH", "metrics_router"]

METRICS_PATH = "/metrics"
TEXT_TYPE = "text/plain; version=0.0.4"


def metrics_router(text: Callable[[], bytes]) -> Router:
    """Serve the metrics at their usual path."""

    def answer(_: Request) -> Response:
        return Response(body=text(), content_type=TEXT_TYPE)

    router = Router()
    router.add("GET", METRICS_PATH, answer)
    return router
