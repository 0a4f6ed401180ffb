"""Reporting of one entry: service levels and metrics."""

from collections.abc import Callable, Mapping

from gooseberryquay.contracts.declaration import Declaration
from gooseberryquay.contracts.settings import Settings
from gooseberryquay.daemons.cluster import Cluster
from gooseberryquay.links.http_server import Router
from gooseberryquay.links.request_log import RequestSink
from gooseberryquay.reports.level_api import ServiceLevelApi
from gooseberryquay.reports.level_recorder import ServiceLevelRecorder
from gooseberryquay.reports.level_store import ServiceLevelStore
from gooseberryquay.reports.statsd_sink import StatsdSink

__all__ = ["Reporting"]


class Reporting:
    """Assemble the sinks that receive completed requests."""

    def __init__(
        self, settings: Settings, cluster: Cluster, gauges: Callable[[], Mapping[str, float]]
    ) -> None:
        self._cluster = cluster
        recorder = ServiceLevelRecorder(self._declaration)
        entry = cluster.membership.this_entry().id
        self._store = ServiceLevelStore(cluster.platform, entry, recorder)
        self._api = ServiceLevelApi(recorder)
        self._statsd = StatsdSink(settings.statsd, gauges)
        self.sinks: tuple[RequestSink, ...] = (recorder, self._statsd)

    def add_routes(self, router: Router) -> None:
        """Register the paths that operators call."""
        self._api.add_routes(router)

    def start(self) -> None:
        """Start saving service levels and sending metrics."""
        self._store.start()
        self._statsd.start()

    def stop(self) -> None:
        """Save and send what is pending."""
        self._store.stop()
        self._statsd.stop()

    def _declaration(self) -> Declaration:
        return self._cluster.configuration().declaration
