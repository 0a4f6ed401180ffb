"""Distinction of requests that crash upstreams from those affected by a zone failure."""

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
class _AffectedRequest:
    """Request that was in flight at an upstream that died."""

    fingerprint: str
    failure: UpstreamFailure


class SuspectReports:
    """Report suspected requests immediately; withdraw those explained by a zone failure.

    Suspected requests run one at a time; the many requests affected by a zone failure must not be
    delayed that way. A request that was in flight at two deaths is never withdrawn.
    """

    def __init__(
        self,
        suspects: SuspectList,
        failures: Callable[[], Iterable[UpstreamFailure]],
        span_s: float = ZONE_FAILURE_SPAN_S,
    ) -> None:
        self._suspects = suspects
        self._failures = failures
        self._span_s = span_s
        self._lock = threading.Lock()
        self._recent: list[_AffectedRequest] = []
        self._stopped = threading.Event()

    def start(self) -> None:
        """Start withdrawing reports in the background."""
        threading.Thread(target=self._run, name="suspect-reports", daemon=True).start()

    def stop(self) -> None:
        """Stop withdrawing reports."""
        self._stopped.set()

    def upstream_died(self, upstream: UpstreamDeclaration, fingerprint: str) -> None:
        """Report that an upstream died with a request in flight."""
        failure = UpstreamFailure(upstream.id, upstream.zone, time.monotonic())
        with self._lock:
            self._recent.append(_AffectedRequest(fingerprint, failure))
        self._suspects.upstream_died(upstream.id, [fingerprint])

    def withdraw(self, now_s: float) -> None:
        """Clear requests with a single death that is one of several in a zone."""
        if not self._recent:
            return
        failures = tuple(self._failures())
        with self._lock:
            by_zone_failure = [
                each for each in self._recent if self._is_zone_failure(each, failures, now_s)
            ]
            retention_s = 2 * self._span_s
            self._recent = [
                each
                for each in self._recent
                if each not in by_zone_failure and now_s - each.failure.at_s <= retention_s
            ]
        for each in by_zone_failure:
            self._suspects.finished(each.fingerprint)

    def _is_zone_failure(
        self, affected: _AffectedRequest, failures: tuple[UpstreamFailure, ...], now_s: float
    ) -> bool:
        if (
            now_s - affected.failure.at_s < self._span_s
            or not self._suspects.has_at_most_one_death(affected.fingerprint)
        ):
            return False
        own_failures = [each.failure for each in self._recent]
        same_zone = {
            each.upstream
            for each in (*own_failures, *failures)
            if each.zone == affected.failure.zone
            and abs(each.at_s - affected.failure.at_s) <= self._span_s
        }
        return len(same_zone) >= ZONE_FAILURE_UPSTREAMS

    def _run(self) -> None:
        while not self._stopped.wait(ROUND_S):
            self.withdraw(time.monotonic())
