"""Probe engines for leave announcements while the list of upstreams is stale."""

import threading
import time
from collections.abc import Callable, Collection

from gooseberryquay.ids import ServiceId, UpstreamId
from gooseberryquay.serving.decision_log import DecisionLog
from gooseberryquay.serving.ports import UpstreamClient
from gooseberryquay.serving.upstream_record import UpstreamRecord
from gooseberryquay.serving.upstream_registry import KnownUpstream, UpstreamRegistry

__all__ = ["LeaveProbe"]

# A migration takes about 1 s, and the shortest notice of an engine is 1.5 s.
PERIOD_S = 0.25
TIMEOUT_S = 0.25
# Probing an unresponsive engine delays the probes of other engines.
UNRESPONSIVE_BACKOFF_S = 2.0


class LeaveProbe:
    """Probe the engines of this entry during a store outage, and the missing ones after it.

    Without probes, generations would be interrupted on engines that are reclaimed during an outage.
    """

    def __init__(
        self,
        *,
        upstream_client: UpstreamClient,
        registry: UpstreamRegistry,
        engine_services: Callable[[], Collection[ServiceId]],
        is_list_current: Callable[[], bool],
        owns_engine: Callable[[UpstreamId], bool],
        has_runs: Callable[[UpstreamId], bool],
        log: DecisionLog,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._upstream_client = upstream_client
        self._registry = registry
        self._engine_services = engine_services
        self._is_list_current = is_list_current
        self._owns_engine = owns_engine
        self._has_runs = has_runs
        self._log = log
        self._clock = clock
        self._skipped_until_s: dict[UpstreamId, float] = {}
        self._stopped = threading.Event()

    def start(self) -> None:
        """Start the background thread."""
        threading.Thread(target=self._run, name="leave-probe", daemon=True).start()

    def probe_missing(self, upstream: UpstreamId) -> None:
        """Probe an engine that is missing from the list after an outage.

        Its list entry may only have expired.
        """
        known = self._registry.find(upstream)
        if known is None or known.record.service not in self._engine_services():
            return
        if self._has_runs(upstream) or self._owns_engine(upstream):
            threading.Thread(target=self._probe_until_resolved, args=(known,), daemon=True).start()

    def _probe_until_resolved(self, known: KnownUpstream) -> None:
        """Probe repeatedly, as reports lag, until the list or the engine settles the question."""
        while known.is_missing and not known.is_leaving:
            self._probe(known.record)
            if self._stopped.wait(PERIOD_S):
                return

    def stop(self) -> None:
        """Stop after the round in progress."""
        self._stopped.set()

    def _run(self) -> None:
        while not self._stopped.wait(PERIOD_S):
            self.step()

    def step(self) -> None:
        """Probe each owned engine once if the list is stale."""
        if self._is_list_current():
            self._skipped_until_s.clear()
            return
        for service in self._engine_services():
            for known in self._registry.usable(service):
                upstream = known.record.id
                is_skipped = self._skipped_until_s.get(upstream, 0.0) > self._clock()
                if self._owns_engine(upstream) and not is_skipped:
                    self._probe(known.record)

    def _probe(self, record: UpstreamRecord) -> None:
        is_leaving = self._upstream_client.is_leaving(record, self._clock() + TIMEOUT_S)
        if is_leaving is None:
            self._skipped_until_s[record.id] = self._clock() + UNRESPONSIVE_BACKOFF_S
        elif is_leaving and self._registry.announce_leave(record.id, record.born_ms):
            self._log.belief("upstream leaving", upstream=record.id, told_by="probe")
