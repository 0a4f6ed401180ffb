"""Composition root of the entry daemon."""

import time

from gooseberryquay.contracts.settings import EntrySettings, PlatformSettings, Settings
from gooseberryquay.daemons.cluster import Cluster
from gooseberryquay.daemons.dispatching import Dispatching
from gooseberryquay.daemons.entry_state import DrainableState
from gooseberryquay.daemons.reporting import Reporting
from gooseberryquay.links.caller_api import CallerApi
from gooseberryquay.links.completion_api import CHAT_PATH, COMPLETION_PATH, CompletionApi
from gooseberryquay.links.engine_client import EngineClient
from gooseberryquay.links.generation_relay import GenerationRelay
from gooseberryquay.links.health_api import HealthApi
from gooseberryquay.links.http_server import HttpServer
from gooseberryquay.links.in_flight import InFlightCounter
from gooseberryquay.links.request_log import RequestLog
from gooseberryquay.links.service_api import ServiceApi
from gooseberryquay.links.service_caller import ServiceCaller
from gooseberryquay.links.service_client import ServiceClient
from gooseberryquay.links.suspect_dispatcher import SuspectDispatcher
from gooseberryquay.links.upstream_client_pool import UpstreamClientPool
from gooseberryquay.machines.control_meter import MeteredRouter
from gooseberryquay.postings import PostingExecutor
from gooseberryquay.reports.entry_status import EntryStatus

__all__ = ["Entry"]

SERVICE_PATH = "/services/{service}/{operation}"
POSTING_FLUSH_TIMEOUT_S = 60.0
CLOSE_TIMEOUT_S = 1.0


class Entry:
    """Assemble the components of one entry, start them and drain them."""

    def __init__(self, settings: Settings, own: EntrySettings, platform: PlatformSettings) -> None:
        self._limits = settings.limits
        self._own = own
        self._cluster = Cluster(settings, own, platform)
        self._dispatching = Dispatching(settings, self._cluster)
        self._posting_executor = PostingExecutor(
            self._cluster.platform, self._cluster.membership, settings.postings
        )
        self._in_flight = InFlightCounter()
        self._state = DrainableState(
            self._cluster.is_configured, self._dispatching.first_reports.has_enough
        )
        self._reporting = Reporting(settings, self._cluster, self._gauges)
        self._log = RequestLog(self._reporting.sinks)
        caller_api = self._build_caller_api()
        control_api = MeteredRouter(self._cluster.budget)
        health = HealthApi(self._state, self.status)
        health.add_routes(caller_api)
        health.add_routes(control_api)
        self._cluster.add_routes(control_api)
        self._dispatching.add_routes(control_api)
        self._posting_executor.add_routes(control_api)
        self._reporting.add_routes(control_api)
        self._caller_server = HttpServer(*own.address, caller_api)
        self._control_server = HttpServer(*own.control_address, control_api)

    def _build_caller_api(self) -> CallerApi:
        configuration = self._cluster.configuration
        completions = CompletionApi(self._build_relay(), configuration, self._log, self._state)
        services = ServiceApi(
            self._build_service_caller(),
            self._posting_executor,
            configuration,
            self._log,
            key_length_max=self._limits.key_length_max,
            state=self._state,
        )
        api = CallerApi(configuration, self._state, self._in_flight, self._limits.body_bytes_max)
        for path in (COMPLETION_PATH, CHAT_PATH):
            api.add_work("POST", path, completions.complete)
        api.add_work("POST", SERVICE_PATH, services.call)
        return api

    def _build_relay(self) -> GenerationRelay:
        clients = UpstreamClientPool(self._cluster.configuration, EngineClient)
        suspect_dispatcher = SuspectDispatcher(
            self._dispatching.dispatcher, self._cluster.suspects, self._dispatching.suspect_reports
        )
        return GenerationRelay(
            suspect_dispatcher, clients.client_for, self._limits, self._dispatching.retries
        )

    def _build_service_caller(self) -> ServiceCaller:
        clients = UpstreamClientPool(
            self._cluster.configuration, lambda each: ServiceClient(each.address)
        )
        retries = self._dispatching.retries
        return ServiceCaller(self._dispatching.dispatcher, clients.client_for, retries)

    @property
    def port(self) -> int:
        """Return the bound TCP port of the caller API."""
        return self._caller_server.port

    def status(self) -> EntryStatus:
        """Return the state that is shown to operators."""
        return EntryStatus(
            entry=self._own.id,
            revision=self._cluster.configuration_sync.revision(),
            confirmed_age_s=self._cluster.configuration_sync.confirmed_age_s(),
            is_leaving=self._state.is_leaving,
            in_flight=self._in_flight.count,
            queued=self._dispatching.dispatcher.queued(),
            peers=tuple(sorted(each.id for each in self._cluster.membership.live())),
            upstreams=self._dispatching.upstream_statuses(),
        )

    def _gauges(self) -> dict[str, float]:
        return {
            "in_flight": self._in_flight.count,
            "queued": self._dispatching.dispatcher.queued(),
            "revision": self._cluster.configuration_sync.revision(),
            "peers": self._cluster.entry_count(),
        }

    def start(self) -> None:
        """Serve the control API, join the cluster and start serving callers."""
        self._control_server.start()
        self._cluster.start()
        self._dispatching.start()
        self._reporting.start()
        self._posting_executor.start()
        self._caller_server.start()

    def stop(self) -> None:
        """Drain: announce the leave, refuse new work, complete requests in flight, then close.

        Requests that are still in flight at the end of the drain get a final response.
        """
        drained_s = self._limits.leave_notice_s + self._limits.drain_timeout_s
        self._state.start_leaving(exit_at_s=time.monotonic() + drained_s)
        self._cluster.membership.announce_leave()
        time.sleep(self._limits.leave_notice_s)
        self._state.start_drain()
        self._caller_server.close_connections_after_responses()
        if not self._in_flight.wait_until_idle(self._limits.drain_timeout_s):
            self._in_flight.end_all()
        self._posting_executor.close(POSTING_FLUSH_TIMEOUT_S)
        self._reporting.stop()
        self._dispatching.stop()
        self._caller_server.finish(CLOSE_TIMEOUT_S)
        self._caller_server.stop()
        self._cluster.stop()
        self._control_server.stop()
