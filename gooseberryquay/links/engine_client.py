"""HTTP client of one model engine: starts, resumes and cancels generations."""

from dataclasses import dataclass
from urllib.parse import quote

from result import Err, Ok, Result

from gooseberryquay.contracts.upstream import UpstreamDeclaration
from gooseberryquay.ids import GenerationId
from gooseberryquay.links.execution_proof import proves_not_executed
from gooseberryquay.links.http_client import HttpClient, ReplyStream, TransportFailure
from gooseberryquay.machines.load_report import LoadReport, parse_load_report

__all__ = ["EngineClient", "EngineRefusal", "GenerationUnknown", "OpenFailure"]

HTTP_OK = 200
HTTP_NOT_FOUND = 404
CANCEL_TIMEOUT_S = 1.0


@dataclass(frozen=True)
class EngineRefusal:
    """Report an error status from the engine instead of a stream.

    `is_not_executed` is True only if the response proves that a new generation did not run.
    """

    status: int
    report: LoadReport | None
    is_not_executed: bool


@dataclass(frozen=True)
class GenerationUnknown:
    """Report that the engine does not know the generation, or no longer stores it."""


OpenFailure = EngineRefusal | GenerationUnknown | TransportFailure


class EngineClient:
    """Open streams at one engine; thread-safe.

    When a stream is lost, pooled connections may have become unresponsive together with its own.
    A resume therefore opens a new connection and drops the whole pool.
    """

    def __init__(self, declaration: UpstreamDeclaration) -> None:
        self._address = declaration.address
        self._client = HttpClient(*declaration.address)

    def start(
        self,
        path: str,
        generation: GenerationId,
        priority: int,
        body: bytes,
        first_token_timeout_s: float,
    ) -> Result[ReplyStream, OpenFailure]:
        """Start a generation; the timeout bounds the wait for the first token."""
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": generation,
            "X-Priority": str(priority),
        }
        opened = self._client.open("POST", path, body, headers, first_token_timeout_s)
        return _check_status(opened, generation)

    def resume(
        self, generation: GenerationId, from_index: int, idle_timeout_s: float
    ) -> Result[ReplyStream, OpenFailure]:
        """Read a generation's events from an index on, over a new connection."""
        self._replace_connections()
        path = f"/generations/{quote(generation, safe='')}?from={from_index}"
        opened = self._client.open("GET", path, read_timeout_s=idle_timeout_s)
        return _check_status(opened, generation)

    def cancel(self, generation: GenerationId) -> None:
        """Ask the engine to cancel a generation; on failure its own timeout ends it."""
        path = f"/generations/{quote(generation, safe='')}"
        self._client.send("DELETE", path, read_timeout_s=CANCEL_TIMEOUT_S)

    def _replace_connections(self) -> None:
        former, self._client = self._client, HttpClient(*self._address)
        former.close()

    def close(self) -> None:
        """Close all pooled connections."""
        self._client.close()


def load_report_of(stream: ReplyStream) -> LoadReport | None:
    """Return the load report in a response's headers, if there is one."""
    text = stream.headers.get("x-engine-load")
    return parse_load_report(text) if text else None


def _check_status(
    opened: Result[ReplyStream, TransportFailure], generation: GenerationId
) -> Result[ReplyStream, OpenFailure]:
    match opened:
        case Err(failure):
            return Err(failure)
        case Ok(stream) if stream.status == HTTP_OK:
            return Ok(stream)
        case Ok(stream):
            is_not_executed = proves_not_executed(stream.status, stream.headers, generation)
            refusal = EngineRefusal(stream.status, load_report_of(stream), is_not_executed)
            is_unknown = stream.status == HTTP_NOT_FOUND
            stream.close()
            return Err(GenerationUnknown() if is_unknown else refusal)
