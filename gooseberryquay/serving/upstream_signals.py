"""Process the status that upstreams report in their response headers."""

import time
from collections.abc import Callable

from gooseberryquay.serving.crash_guard import CrashGuard
from gooseberryquay.serving.decision_log import DecisionLog
from gooseberryquay.serving.ports import OpenResponse
from gooseberryquay.serving.upstream_load import LoadTable
from gooseberryquay.serving.upstream_registry import (
    KnownUpstream,
    RateLimitStatement,
    UpstreamRegistry,
)

__all__ = ["UpstreamSignals"]


class UpstreamSignals:
    """Record an upstream's liveness, load, leave announcement, requested pause and rate limit."""

    def __init__(
        self,
        registry: UpstreamRegistry,
        loads: LoadTable,
        guard: CrashGuard,
        log: DecisionLog,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._clock = clock
        self._guard = guard
        self._registry = registry
        self._loads = loads
        self._log = log

    def process_response(self, known: KnownUpstream, response: OpenResponse) -> None:
        """Process the headers of a response."""
        if response.is_other_instance:
            self._guard.upstream_ended(known, "another instance has its address")
            return
        self._guard.upstream_alive(known)
        upstream, born_ms = known.record.id, known.record.born_ms
        if response.load is not None:
            self._loads.record_hint(upstream, response.load)
        if response.is_leaving and self._registry.announce_leave(upstream, born_ms):
            self._log.belief("upstream leaving", upstream=upstream, told_by="answer")
        if response.pause_s is not None:
            self._registry.pause(upstream, born_ms, response.pause_s)
            self._log.belief("upstream pauses", upstream=upstream, pause_s=response.pause_s)
        self._process_rate_limit(known, response.rate_limit_per_s)

    def _process_rate_limit(self, known: KnownUpstream, requests_per_s: float | None) -> None:
        if requests_per_s is None and known.notice.rate_limit is None:
            return
        statement = RateLimitStatement(requests_per_s, self._clock())
        upstream, born_ms = known.record.id, known.record.born_ms
        if self._registry.state_rate_limit(upstream, born_ms, statement):
            self._log.belief(
                "upstream rate limit",
                upstream=upstream,
                requests_per_s=requests_per_s,
                told_by="answer",
            )
