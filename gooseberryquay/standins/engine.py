"""Stand-in for an external LLM engine, served over HTTP."""

import random

from pydantic import ValidationError

from gooseberryquay.ids import GenerationId
from gooseberryquay.links.http_server import (
    EVENT_STREAM_TYPE,
    Request,
    Response,
    Router,
)
from gooseberryquay.standins.batch import DecodingBatch
from gooseberryquay.standins.cache_events import CacheEventLog
from gooseberryquay.standins.engine_faults import (
    Die,
    DropReports,
    EngineFault,
    Hang,
    Reclaim,
    RefuseStarts,
    ReportLag,
    SlowDown,
    TurnCold,
    WrongGeneration,
    parse_engine_fault,
)
from gooseberryquay.standins.engine_messages import EngineCounts, EngineOrder
from gooseberryquay.standins.engine_orders import OrderExecutor
from gooseberryquay.standins.engine_settings import EngineSettings
from gooseberryquay.standins.generation import Generation
from gooseberryquay.standins.generation_request import read_generation_request
from gooseberryquay.standins.later import call_later
from gooseberryquay.standins.token_events import ApiKind
from gooseberryquay.standins.upstream_stand_in import UpstreamStandIn

__all__ = ["EngineStandIn"]

REPORT_HEADER = "X-Engine-Load"


class EngineStandIn(UpstreamStandIn):
    """Serve generations from a simulated batch; a crash can end the whole process."""

    def __init__(
        self,
        settings: EngineSettings,
        host: str = "127.0.0.1",
        port: int = 0,
        is_own_process: bool = False,
    ) -> None:
        self._settings = settings
        self._rng = random.Random(settings.seed)
        self._events = CacheEventLog(
            settings.event_lag_s, settings.event_drop_ratio, random.Random(settings.seed + 1)
        )
        self._batch = DecodingBatch(settings, self._events, self.crash)
        self._orders = OrderExecutor(settings, self._batch.counts)
        self._has_reports = True
        super().__init__(host, port, is_own_process)

    def start(self) -> None:
        """Start decoding and serving in background threads."""
        self._batch.start()
        super().start()

    def stop(self) -> None:
        """Stop decoding and serving."""
        self._batch.stop()
        super().stop()

    def counts(self) -> EngineCounts:
        """Return the counts since the start."""
        return self._batch.copy_counts()

    def apply_fault(self, fault: EngineFault) -> None:
        """Inject a fault."""
        match fault:
            case TurnCold(cold_s=cold_s):
                self._batch.turn_cold(cold_s)
            case ReportLag(lag_s=lag_s):
                self._batch.reports.lag_s = lag_s
            case DropReports(is_on=is_on):
                self._has_reports = not is_on
            case SlowDown(factor=factor):
                self._batch.slow_factor = factor
            case RefuseStarts(is_on=is_on):
                self._batch.refuses_starts = is_on
            case Reclaim(after_s=after_s):
                self._batch.is_leaving = True
                call_later(after_s, self.crash)
            case Die():
                self.crash()
            case Hang(duration_s=duration_s):
                self._batch.unpaused.clear()
                call_later(duration_s, self._batch.unpaused.set)
            case WrongGeneration(tokens=tokens):
                self._batch.wrong_tokens = tokens

    def _add_routes(self, router: Router) -> None:
        router.add("POST", "/v1/completions", self._complete)
        router.add("POST", "/v1/chat/completions", self._chat)
        router.add("GET", "/generations/{id}", self._resume)
        router.add("DELETE", "/generations/{id}", self._cancel)
        router.add("GET", "/load", self._load)
        router.add("POST", "/orders", self._order)
        router.add("GET", "/events", self._list_events)

    def _complete(self, request: Request) -> Response:
        return self._generate(request, ApiKind.COMPLETION)

    def _chat(self, request: Request) -> Response:
        return self._generate(request, ApiKind.CHAT)

    def _generate(self, request: Request, kind: ApiKind) -> Response:
        self._batch.unpaused.wait()
        try:
            parsed = read_generation_request(request, kind, self._settings, self._rng)
        except ValueError:
            return Response(status=400)
        generation = self._batch.submit(parsed.generation)
        if generation is None:
            return Response(status=503, headers=self._report_headers())
        if parsed.is_stream:
            return self._stream(generation, 0)
        return self._unary_response(generation)

    def _resume(self, request: Request) -> Response:
        self._batch.unpaused.wait()
        generation = self._batch.find(GenerationId(request.path_values["id"]))
        if generation is None:
            return Response(status=404, headers=self._report_headers())
        self._batch.counts.resumed += 1
        return self._stream(generation, int(request.query.get("from", "0")))

    def _stream(self, generation: Generation, index: int) -> Response:
        return Response(
            body=generation.reader(index),
            content_type=EVENT_STREAM_TYPE,
            headers={**self._report_headers(), "X-Request-Id": generation.id},
        )

    def _unary_response(self, generation: Generation) -> Response:
        for _event in generation.reader(0):
            pass
        headers = {**self._report_headers(), "X-Request-Id": generation.id}
        return Response(body=generation.encode_response(), headers=headers)

    def _cancel(self, request: Request) -> Response:
        self._batch.unpaused.wait()
        was_known = self._batch.cancel(GenerationId(request.path_values["id"]))
        return Response(status=200 if was_known else 404, headers=self._report_headers())

    def _load(self, _request: Request) -> Response:
        self._batch.unpaused.wait()
        if not self._has_reports:
            return Response(status=503)
        return Response.of(self._batch.report())

    def _order(self, request: Request) -> Response:
        self._batch.unpaused.wait()
        try:
            order = EngineOrder.model_validate_json(request.body)
        except ValidationError:
            return Response(status=400)
        is_executed = self._orders.execute(order)
        return Response(status=200 if is_executed else 409, body=b"{}")

    def _list_events(self, request: Request) -> Response:
        return Response.of(self._events.read(int(request.query.get("after", "0"))))

    def _parse_and_apply_fault(self, body: bytes) -> None:
        self.apply_fault(parse_engine_fault(body))

    def _report_headers(self) -> dict[str, str]:
        if not self._has_reports:
            return {}
        return {REPORT_HEADER: self._batch.report().model_dump_json()}
