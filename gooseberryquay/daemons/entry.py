"""Composition root of the entry daemon."""

from pydantic import BaseModel

from gooseberryquay.contracts.settings import EntrySettings, Settings
from gooseberryquay.daemons.entry_state import DrainableState
from gooseberryquay.daemons.least_in_flight import LeastInFlightDispatcher
from gooseberryquay.ids import EntryId, Revision, ServiceId, UpstreamId
from gooseberryquay.links.caller_api import CallerApi
from gooseberryquay.links.completion_api import CHAT_PATH, COMPLETION_PATH, CompletionApi
from gooseberryquay.links.generation_relay import GenerationRelay, RelayHooks
from gooseberryquay.links.health_api import HealthApi
from gooseberryquay.links.http_server import HttpServer, Router
from gooseberryquay.links.in_flight import InFlight
from gooseberryquay.links.request_log import RequestLog
from gooseberryquay.links.upstream_links import EngineLinks
from gooseberryquay.machines.work import Work
from gooseberryquay.zones.configuration import Configuration

__all__ = ["Entry", "EntryStatus"]

FIRST_REVISION = Revision(1)


class EntryStatus(BaseModel):
    """Show one entry's state to operators."""

    entry: EntryId
    revision: Revision
    is_leaving: bool
    in_flight: int


class Entry:
    """Wire the parts of one entry, start them and drain them."""

    def __init__(self, settings: Settings, own: EntrySettings) -> None:
        self._settings = settings
        self._own = own
        self._configuration = Configuration(
            revision=FIRST_REVISION, declaration=settings.declaration
        )
        self._in_flight = InFlight()
        self._state = DrainableState(lambda: True)
        caller_api = self._build_caller_api()
        control_api = Router()
        health = HealthApi(self._state, self.status)
        health.add_routes(caller_api)
        health.add_routes(control_api)
        self._caller_server = HttpServer(*own.address, caller_api)
        self._control_server = HttpServer(*own.control_address, control_api)

    def _build_caller_api(self) -> CallerApi:
        links = EngineLinks(self._current_configuration)
        dispatcher = LeastInFlightDispatcher(self._current_configuration)
        hooks = RelayHooks(may_retry=_allow_retry, upstream_died=_ignore_death)
        limits = self._settings.limits
        relay = GenerationRelay(dispatcher, links.link_to, limits, hooks)
        completions = CompletionApi(relay, self._current_configuration, RequestLog())
        api = CallerApi(
            self._current_configuration, self._state, self._in_flight, limits.body_bytes_max
        )
        for path in (COMPLETION_PATH, CHAT_PATH):
            api.add_work("POST", path, completions.complete)
        return api

    def _current_configuration(self) -> Configuration:
        return self._configuration

    @property
    def port(self) -> int:
        """Give the bound TCP port of the caller API."""
        return self._caller_server.port

    def status(self) -> EntryStatus:
        """Give the state that operators see."""
        return EntryStatus(
            entry=self._own.id,
            revision=self._configuration.revision,
            is_leaving=self._state.is_leaving,
            in_flight=self._in_flight.count,
        )

    def start(self) -> None:
        """Start listening."""
        self._control_server.start()
        self._caller_server.start()

    def stop(self) -> None:
        """Drain: refuse new work, finish all that is in flight, then close."""
        self._state.start_drain()
        self._caller_server.close_connections_after_answers()
        self._in_flight.wait_until_none(self._settings.limits.drain_timeout_s)
        self._caller_server.stop()
        self._control_server.stop()


def _allow_retry(_service: ServiceId) -> bool:
    return True


def _ignore_death(_upstream: UpstreamId, _work: Work) -> None:
    return None
