"""Serve an entry's service-level counts to operators."""

from pydantic import BaseModel

from gooseberryquay.links.http_server import Request, Response, Router
from gooseberryquay.reports.level_ledger import LevelLedger
from gooseberryquay.reports.level_recorder import LevelRecorder

__all__ = ["LEVEL_PATH", "LevelApi", "LevelMessage"]

LEVEL_PATH = "/service-levels"


class LevelMessage(BaseModel):
    """Hold one entry's counts and its histograms of total times in milliseconds."""

    ledger: LevelLedger
    total_ms: dict[str, str]


class LevelApi:
    """Answer with the counts of this entry."""

    def __init__(self, recorder: LevelRecorder) -> None:
        self._recorder = recorder

    def add_routes(self, router: Router) -> None:
        """Register the path."""
        router.add("GET", LEVEL_PATH, self._answer)

    def _answer(self, _request: Request) -> Response:
        message = LevelMessage(
            ledger=self._recorder.ledger(), total_ms=self._recorder.encoded_histograms()
        )
        return Response.of(message)
