"""Take in what upstreams say of themselves beside their answers."""

from gooseberryquay.serving.crash_guard import CrashGuard
from gooseberryquay.serving.decision_log import DecisionLog
from gooseberryquay.serving.ports import OpenAnswer
from gooseberryquay.serving.upstream_load import LoadTable
from gooseberryquay.serving.upstream_registry import KnownUpstream, UpstreamRegistry

__all__ = ["UpstreamSignals"]


class UpstreamSignals:
    """Note an upstream's life, its load, its leaving and the pause that it asks for."""

    def __init__(
        self, registry: UpstreamRegistry, loads: LoadTable, guard: CrashGuard, log: DecisionLog
    ) -> None:
        self._guard = guard
        self._book = registry
        self._loads = loads
        self._log = log

    def saw(self, known: KnownUpstream, answer: OpenAnswer) -> None:
        """Take in the head of an answer."""
        if answer.is_other_instance:
            self._guard.upstream_ended(known, "another has its address")
            return
        self._guard.upstream_heard(known)
        upstream, born_ms = known.record.id, known.record.born_ms
        if answer.load is not None:
            self._loads.saw_hint(upstream, answer.load)
        if answer.is_leaving and self._book.announce_leave(upstream, born_ms):
            self._log.belief("upstream leaving", upstream=upstream, told_by="answer")
        if answer.pause_s is not None:
            self._book.pause(upstream, born_ms, answer.pause_s)
            self._log.belief("upstream pauses", upstream=upstream, pause_s=answer.pause_s)
