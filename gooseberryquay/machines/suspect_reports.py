"""Tell a request that crashes upstreams from one that was hit by the failure of a whole zone."""

import threading
import time
from dataclasses import dataclass

from gooseberryquay.contracts.upstream import UpstreamDeclaration
from gooseberryquay.ids import UpstreamId, ZoneId
from gooseberryquay.machines.suspect_list import SuspectList

__all__ = ["SuspectReports"]

ZONE_FAILURE_SPAN_S = 2.0
ZONE_FAILURE_UPSTREAMS = 2
ROUND_S = 0.25


@dataclass(frozen=True)
class _Hit:
    """Hold one request that was in flight at a dying upstream."""

    fingerprint: str
    upstream: UpstreamId
    zone: ZoneId
    at_s: float


class SuspectReports:
    """Report requests as suspects at once, and withdraw those that a zone's failure explains.

    Suspects must wait for each other; after the failure of a zone its many requests must not. A
    request that was hit at two upstreams is never withdrawn.
    """

    def __init__(self, suspects: SuspectList, span_s: float = ZONE_FAILURE_SPAN_S) -> None:
        self._suspects = suspects
        self._span_s = span_s
        self._lock = threading.Lock()
        self._recent: list[_Hit] = []
        self._stopped = threading.Event()

    def start(self) -> None:
        """Withdraw reports in the background."""
        threading.Thread(target=self._run, name="suspect-reports", daemon=True).start()

    def stop(self) -> None:
        """End the withdrawing."""
        self._stopped.set()

    def upstream_died(self, upstream: UpstreamDeclaration, fingerprint: str) -> None:
        """Report that an upstream died with a request in flight."""
        hit = _Hit(fingerprint, upstream.id, upstream.zone, time.monotonic())
        with self._lock:
            self._recent.append(hit)
        self._suspects.upstream_died(upstream.id, [fingerprint])

    def withdraw(self, now_s: float) -> None:
        """Clear requests hit once, by one death among several in a zone."""
        with self._lock:
            explained = [each for each in self._recent if self._is_explained(each, now_s)]
            kept_s = 2 * self._span_s
            self._recent = [
                each
                for each in self._recent
                if each not in explained and now_s - each.at_s <= kept_s
            ]
        for each in explained:
            self._suspects.finished(each.fingerprint)

    def _is_explained(self, hit: _Hit, now_s: float) -> bool:
        if now_s - hit.at_s < self._span_s:
            return False
        same_zone = {
            each.upstream
            for each in self._recent
            if each.zone == hit.zone and abs(each.at_s - hit.at_s) <= self._span_s
        }
        hit_at = {each.upstream for each in self._recent if each.fingerprint == hit.fingerprint}
        return len(same_zone) >= ZONE_FAILURE_UPSTREAMS and len(hit_at) == 1

    def _run(self) -> None:
        while not self._stopped.wait(ROUND_S):
            self.withdraw(time.monotonic())
