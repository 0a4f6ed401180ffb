"""Stand-in for a plain service that counts the runs of each request."""

import threading
import time
from dataclasses import dataclass
from http import HTTPStatus

from pydantic import BaseModel, ValidationError

from gooseberryquay.links.http_server import Request, Response, Router
from gooseberryquay.machines.load_report import LoadReport
from gooseberryquay.standins.connection_break import broken_body
from gooseberryquay.standins.later import call_later
from gooseberryquay.standins.service_messages import (
    AnswerAfterRun,
    BreakAfterRun,
    CrossAnswers,
    DelayAnswers,
    OperationResponse,
    RefuseBeforeRun,
    ServiceCounts,
    ServiceDies,
    ServiceFault,
    ServiceHangs,
    TruncateAnswers,
    parse_service_fault,
)
from gooseberryquay.standins.upstream_stand_in import UpstreamStandIn

__all__ = ["ServiceSettings", "ServiceStandIn"]


@dataclass(frozen=True)
class ServiceSettings:
    """Settings of a plain service stand-in; `delay_s` is the duration of an operation."""

    delay_s: float = 0.005


class _Body(BaseModel):
    reference: str = ""


CountedFault = (
    AnswerAfterRun | CrossAnswers | DelayAnswers | BreakAfterRun | TruncateAnswers | RefuseBeforeRun
)


class ServiceStandIn(UpstreamStandIn):
    """Run operations, count the runs of each key and inject faults."""

    def __init__(
        self,
        settings: ServiceSettings,
        host: str = "127.0.0.1",
        port: int = 0,
        is_own_process: bool = False,
    ) -> None:
        self._settings = settings
        self._lock = threading.Lock()
        self._counts = ServiceCounts()
        self._in_flight = 0
        self._faults: list[CountedFault] = []
        self._unpaused = threading.Event()
        self._unpaused.set()
        super().__init__(host, port, is_own_process)

    def stop(self) -> None:
        """Stop serving."""
        self._unpaused.set()
        super().stop()

    def counts(self) -> ServiceCounts:
        """Return the counts since the start."""
        with self._lock:
            return self._counts.model_copy(deep=True)

    def apply_fault(self, fault: ServiceFault) -> None:
        """Inject a fault."""
        match fault:
            case ServiceHangs(duration_s=duration_s):
                self._unpaused.clear()
                call_later(duration_s, self._unpaused.set)
            case ServiceDies():
                self.crash()
            case _:
                with self._lock:
                    self._faults += [fault] * fault.count

    def _add_routes(self, router: Router) -> None:
        router.add("POST", "/operations/{operation}", self._operate)
        router.add("GET", "/load", self._load)

    def _operate(self, request: Request) -> Response:
        self._unpaused.wait()
        fault = self._record_arrival()
        try:
            if isinstance(fault, RefuseBeforeRun):
                return self._refuse(request)
            response = self._run(request)
            time.sleep(self._settings.delay_s)
            return _respond(response, fault)
        finally:
            with self._lock:
                self._in_flight -= 1

    def _record_arrival(self) -> CountedFault | None:
        with self._lock:
            self._counts.arrivals += 1
            self._in_flight += 1
            self._counts.peak_in_flight = max(self._counts.peak_in_flight, self._in_flight)
            return self._faults.pop(0) if self._faults else None

    def _refuse(self, request: Request) -> Response:
        with self._lock:
            self._counts.refused += 1
        own_id = request.headers.get("x-request-id", "")
        return Response(status=503, headers={"X-Request-Id": own_id})

    def _run(self, request: Request) -> OperationResponse:
        request_id = request.headers.get("x-request-id", "")
        idempotency_key = request.headers.get("idempotency-key")
        key = idempotency_key or request_id
        with self._lock:
            run = self._counts.runs.get(key, 0) + 1
            self._counts.runs[key] = run
            if idempotency_key:
                self._counts.keyed_runs[key] = run
        return OperationResponse(
            request_id=request_id,
            operation=request.path_values["operation"],
            key=key,
            run=run,
            reference=_read_reference(request.body),
        )

    def _load(self, _request: Request) -> Response:
        self._unpaused.wait()
        return Response.of(LoadReport(in_flight=self._in_flight))

    def _parse_and_apply_fault(self, body: bytes) -> None:
        self.apply_fault(parse_service_fault(body))


def _read_reference(body: bytes) -> str:
    try:
        return _Body.model_validate_json(body).reference
    except ValidationError:
        return ""


def _respond(response: OperationResponse, fault: CountedFault | None) -> Response:
    match fault:
        case CrossAnswers():
            crossed = {
                "request_id": f"{response.request_id}x",
                "reference": f"{response.reference}x",
            }
            response = response.model_copy(update=crossed)
        case DelayAnswers(delay_s=delay_s):
            time.sleep(delay_s)
        case BreakAfterRun():
            return Response(body=broken_body(b""))
    headers = {"X-Request-Id": response.request_id}
    body = response.model_dump_json().encode()
    if isinstance(fault, TruncateAnswers):
        headers["Content-Length"] = str(len(body))
        return Response(body=broken_body(body[: len(body) // 2]), headers=headers)
    status = fault.status if isinstance(fault, AnswerAfterRun) else HTTPStatus.OK
    return Response(status, body, headers=headers)
