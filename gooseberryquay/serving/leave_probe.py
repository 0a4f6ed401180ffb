"""Ask engines whether they leave while the list of upstreams cannot tell."""

import threading
import time
from collections.abc import Callable, Collection

from gooseberryquay.ids import ServiceId, UpstreamId
from gooseberryquay.serving.decision_log import DecisionLog
from gooseberryquay.serving.ports import UpstreamClient
from gooseberryquay.serving.upstream_record import UpstreamRecord
from gooseberryquay.serving.upstream_registry import KnownUpstream, UpstreamRegistry

__all__ = ["LeaveProbe"]

# A move takes about a second, and the shortest notice is one and a half.
PERIOD_S = 0.25
TIMEOUT_S = 0.25
# A silent engine holds up the questions to others.
SILENT_SKIP_S = 2.0


class LeaveProbe:
    """Probe this entry's share of the engines while the store is away, and what lapsed in it.

    Answers load: generations on engines that are reclaimed during an outage of the store.
    """

    def __init__(
        self,
        *,
        calls: UpstreamClient,
        registry: UpstreamRegistry,
        engine_services: Callable[[], Collection[ServiceId]],
        is_list_current: Callable[[], bool],
        owns_engine: Callable[[UpstreamId], bool],
        has_runs: Callable[[UpstreamId], bool],
        log: DecisionLog,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._calls = calls
        self._book = registry
        self._engine_services = engine_services
        self._is_list_sound = is_list_current
        self._is_own_engine = owns_engine
        self._has_runs = has_runs
        self._log = log
        self._clock = clock
        self._skipped_until_s: dict[UpstreamId, float] = {}
        self._stopped = threading.Event()

    def start(self) -> None:
        """Probe in the background."""
        threading.Thread(target=self._run, name="leave-probe", daemon=True).start()

    def probe_missing(self, upstream: UpstreamId) -> None:
        """Ask an engine that the list lacks after an outage whether it leaves or only lapsed."""
        known = self._book.find(upstream)
        if known is None or known.record.service not in self._engine_services():
            return
        if self._has_runs(upstream) or self._is_own_engine(upstream):
            threading.Thread(target=self._resolve, args=(known,), daemon=True).start()

    def _resolve(self, known: KnownUpstream) -> None:
        """Ask again, as reports lag, until the list has spoken or the engine has."""
        while known.is_in_doubt and not known.is_leaving:
            self._probe(known.record)
            if self._stopped.wait(PERIOD_S):
                return

    def stop(self) -> None:
        """End after the round in progress."""
        self._stopped.set()

    def _run(self) -> None:
        while not self._stopped.wait(PERIOD_S):
            self.step()

    def step(self) -> None:
        """Probe each own engine once if the list is old."""
        if self._is_list_sound():
            self._skipped_until_s.clear()
            return
        for service in self._engine_services():
            for known in self._book.usable(service):
                upstream = known.record.id
                is_skipped = self._skipped_until_s.get(upstream, 0.0) > self._clock()
                if self._is_own_engine(upstream) and not is_skipped:
                    self._probe(known.record)

    def _probe(self, record: UpstreamRecord) -> None:
        is_leaving = self._calls.is_leaving(record, self._clock() + TIMEOUT_S)
        if is_leaving is None:
            self._skipped_until_s[record.id] = self._clock() + SILENT_SKIP_S
        elif is_leaving and self._book.announce_leave(record.id, record.born_ms):
            self._log.belief("upstream leaving", upstream=record.id, told_by="probe")
