"""Process the status that upstreams report in their response headers."""

from gooseberryquay.serving.crash_guard import CrashGuard
from gooseberryquay.serving.decision_log import DecisionLog
from gooseberryquay.serving.ports import OpenResponse
from gooseberryquay.serving.upstream_load import LoadTable
from gooseberryquay.serving.upstream_registry import KnownUpstream, UpstreamRegistry

__all__ = ["UpstreamSignals"]


class UpstreamSignals:
    """Record an upstream's liveness, load, leave announcement and requested pause."""

    def __init__(
        self, registry: UpstreamRegistry, loads: LoadTable, guard: CrashGuard, log: DecisionLog
    ) -> None:
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
