"""What one entry reports of itself: service levels and metrics."""

from collections.abc import Callable, Mapping

from gooseberryquay.contracts.declaration import Declaration
from gooseberryquay.contracts.settings import Settings
from gooseberryquay.daemons.cluster import Cluster
from gooseberryquay.links.http_server import Router
from gooseberryquay.links.request_log import RequestSink
from gooseberryquay.reports.level_api import LevelApi
from gooseberryquay.reports.level_recorder import LevelRecorder
from gooseberryquay.reports.level_store import LevelStore
from gooseberryquay.reports.statsd_sink import StatsdSink

__all__ = ["Reporting"]


class Reporting:
    """Wire the takers of ended requests."""

    def __init__(
        self, settings: Settings, cluster: Cluster, gauges: Callable[[], Mapping[str, float]]
    ) -> None:
        self._cluster = cluster
        recorder = LevelRecorder(self._declaration)
        entry = cluster.membership.this_entry().id
        self._store = LevelStore(cluster.platform, entry, recorder)
        self._api = LevelApi(recorder)
        self._statsd = StatsdSink(settings.statsd, gauges)
        self.sinks: tuple[RequestSink, ...] = (recorder, self._statsd)

    def add_routes(self, router: Router) -> None:
        """Serve operators."""
        self._api.add_routes(router)

    def start(self) -> None:
        """Start saving and sending."""
        self._store.start()
        self._statsd.start()

    def stop(self) -> None:
        """Save and send what is left."""
        self._store.stop()
        self._statsd.stop()

    def _declaration(self) -> Declaration:
        return self._cluster.configuration().declaration
