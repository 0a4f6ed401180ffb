"""HTTP API for the service level counts of an entry."""

from pydantic import BaseModel

from gooseberryquay.links.http_server import Request, Response, Router
from gooseberryquay.reports.level_ledger import ServiceLevelLedger
from gooseberryquay.reports.level_recorder import ServiceLevelRecorder

__all__ = ["SERVICE_LEVEL_PATH", "ServiceLevelApi", "ServiceLevelMessage"]

SERVICE_LEVEL_PATH = "/service-levels"


class ServiceLevelMessage(BaseModel):
    """Report the counts of one entry and its histograms of request durations in milliseconds."""

    ledger: ServiceLevelLedger
    total_ms: dict[str, str]


class ServiceLevelApi:
    """Serve the counts of this entry."""

    def __init__(self, recorder: ServiceLevelRecorder) -> None:
        self._recorder = recorder

    def add_routes(self, router: Router) -> None:
        """Register the path of the service level counts."""
        router.add("GET", SERVICE_LEVEL_PATH, self._handle)

    def _handle(self, _request: Request) -> Response:
        message = ServiceLevelMessage(
            ledger=self._recorder.ledger(), total_ms=self._recorder.encoded_histograms()
        )
        return Response.of(message)
