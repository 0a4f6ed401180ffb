"""Process the status that upstreams report in their response headers."""

import time
from collections.abc import Callable

from gooseberryquay.ids import UpstreamId
from gooseberryquay.serving.crash_guard import CrashGuard
from gooseberryquay.serving.decision_log import DecisionLog
from gooseberryquay.serving.machine_slowdown import MachineSlowdowns
from gooseberryquay.serving.ports import LoadHint, OpenResponse
from gooseberryquay.serving.room_gate import RoomGate
from gooseberryquay.serving.upstream_load import LoadTable
from gooseberryquay.serving.upstream_registry import (
    KnownUpstream,
    LimitStatement,
    StatedLimit,
    UpstreamRegistry,
)

__all__ = ["UpstreamSignals", "log_limit"]


def log_limit(
    log: DecisionLog, upstream: UpstreamId, limit: StatedLimit, per_s: float | None, told_by: str
) -> None:
    """Log that a stated limit has changed."""
    match limit:
        case StatedLimit.REQUESTS:
            log.belief(
                "upstream rate limit", upstream=upstream, requests_per_s=per_s, told_by=told_by
            )
        case StatedLimit.TURN_AWAYS:
            log.belief(
                "upstream brittle", upstream=upstream, turn_aways_per_s=per_s, told_by=told_by
            )


class UpstreamSignals:
    """Record an upstream's liveness, load, leave announcement, requested pause and limits."""

    def __init__(
        self,
        registry: UpstreamRegistry,
        loads: LoadTable,
        rooms: RoomGate,
        guard: CrashGuard,
        log: DecisionLog,
        *,
        slowdowns: MachineSlowdowns | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._clock = clock
        self._guard = guard
        self._registry = registry
        self._loads = loads
        self._rooms = rooms
        self._log = log
        self._slowdowns = slowdowns

    def process_response(self, known: KnownUpstream, response: OpenResponse) -> None:
        """Process the headers of a response."""
        if response.is_other_instance:
            self._guard.upstream_ended(known, "another instance has its address")
            return
        self._guard.upstream_alive(known)
        upstream, born_ms = known.record.id, known.record.born_ms
        if response.load is not None:
            self._loads.record_hint(upstream, response.load)
            self._record_slowdown(known, response.load)
        if response.is_leaving and self._registry.announce_leave(upstream, born_ms):
            self._log.belief("upstream leaving", upstream=upstream, told_by="answer")
        if response.pause_s is not None:
            self._registry.pause(upstream, born_ms, response.pause_s)
            self._log.belief("upstream pauses", upstream=upstream, pause_s=response.pause_s)
        self._process_limit(known, StatedLimit.REQUESTS, response.rate_limit_per_s)
        self._process_limit(known, StatedLimit.TURN_AWAYS, response.turn_aways_per_s)
        if response.is_not_run:
            self._rooms.record_turned_away(known)

    def _record_slowdown(self, known: KnownUpstream, load: LoadHint) -> None:
        if self._slowdowns is not None and load.slowdown is not None:
            self._slowdowns.record(known.record.service, known.record.id, load.slowdown)

    def _process_limit(self, known: KnownUpstream, limit: StatedLimit, per_s: float | None) -> None:
        if per_s is None and limit not in known.notice.limits:
            return
        statement = LimitStatement(per_s, self._clock())
        upstream, born_ms = known.record.id, known.record.born_ms
        if self._registry.state_limit(upstream, born_ms, limit, statement):
            log_limit(self._log, upstream, limit, per_s, told_by="answer")
