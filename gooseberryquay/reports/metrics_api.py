"""HTTP endpoint for metrics in the Prometheus text format."""

from collections.abc import Callable

from gooseberryquay.links.http_server import Request, Response, Router

__all__ = ["METRICS_PATH", "metrics_router"]

METRICS_PATH = "/metrics"
TEXT_CONTENT_TYPE = "text/plain; version=0.0.4"


def metrics_router(text: Callable[[], bytes]) -> Router:
    """Return a router that serves the metrics at `METRICS_PATH`."""

    def handle(_: Request) -> Response:
        return Response(body=text(), content_type=TEXT_CONTENT_TYPE)

    router = Router()
    router.add("GET", METRICS_PATH, handle)
    return router
