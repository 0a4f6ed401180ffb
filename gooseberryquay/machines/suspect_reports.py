"""Tell a request that crashes upstreams from one that was hit by the failure of a whole zone."""

import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from gooseberryquay.contracts.upstream import UpstreamDeclaration
from gooseberryquay.machines.suspect_list import SuspectList
from gooseberryquay.machines.upstream_failures import UpstreamFailure

__all__ = ["SuspectReports"]

ZONE_FAILURE_SPAN_S = 2.0
ZONE_FAILURE_UPSTREAMS = 2
ROUND_S = 0.25


@dataclass(frozen=True)
class _Hit:
    """Hold one request that was in flight at a dying upstream."""

    fingerprint: str
    loss: UpstreamFailure


class SuspectReports:
    """Report requests as suspects at once, and withdraw those that a zone's failure explains.

    Suspects must wait for each other; after the failure of a zone its many requests must not. A
    request that was hit at two upstreams is never withdrawn.
    """

    def __init__(
        self,
        suspects: SuspectList,
        losses: Callable[[], Iterable[UpstreamFailure]],
        span_s: float = ZONE_FAILURE_SPAN_S,
    ) -> None:
        self._suspects = suspects
        self._losses = losses
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
        loss = UpstreamFailure(upstream.id, upstream.zone, time.monotonic())
        with self._lock:
            self._recent.append(_Hit(fingerprint, loss))
        self._suspects.upstream_died(upstream.id, [fingerprint])

    def withdraw(self, now_s: float) -> None:
        """Clear requests hit once, by one death among several in a zone."""
        if not self._recent:
            return
        losses = tuple(self._losses())
        with self._lock:
            explained = [each for each in self._recent if self._is_explained(each, losses, now_s)]
            kept_s = 2 * self._span_s
            self._recent = [
                each
                for each in self._recent
                if each not in explained and now_s - each.loss.at_s <= kept_s
            ]
        for each in explained:
            self._suspects.finished(each.fingerprint)

    def _is_explained(self, hit: _Hit, losses: tuple[UpstreamFailure, ...], now_s: float) -> bool:
        if now_s - hit.loss.at_s < self._span_s or not self._suspects.is_hit_once(hit.fingerprint):
            return False
        own_losses = [each.loss for each in self._recent]
        same_zone = {
            each.upstream
            for each in (*own_losses, *losses)
            if each.zone == hit.loss.zone and abs(each.at_s - hit.loss.at_s) <= self._span_s
        }
        return len(same_zone) >= ZONE_FAILURE_UPSTREAMS

    def _run(self) -> None:
        while not self._stopped.wait(ROUND_S):
            self.withdraw(time.monotonic())
