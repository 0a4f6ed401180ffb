"""Build the limits on callers from the settings, with their metric and their log lines."""

import threading
import time
from collections import Counter

from gooseberryquay.contracts.node_settings import NodeSettings
from gooseberryquay.links.caller_budget import CallerBudget
from gooseberryquay.machines.caller_ledger import CallerBounds, CallerLimit
from gooseberryquay.serving.decision_log import DecisionLog
from gooseberryquay.serving.request_counters import RequestCounters

__all__ = ["build_caller_budget"]

# Lines of one limit are merged within this time, so that they displace no others.
LINE_INTERVAL_S = 1.0


def build_caller_budget(
    settings: NodeSettings, counters: RequestCounters, log: DecisionLog
) -> CallerBudget:
    """Return the budget of an instance, which reports each limit that a caller reaches."""
    bounds = CallerBounds(
        memory_mb=settings.memory_mb,
        memory_share=settings.caller_memory_share,
        body_bytes_per_s_min=settings.body_bytes_per_s_min,
        body_grace_s=settings.body_grace_s,
    )
    budget = CallerBudget(bounds, _LimitReporter(counters, log).report)
    counters.watch_caller_memory(lambda: budget.used_bytes)
    return budget


class _LimitReporter:
    """Count each limit that is reached, and log the first case of each interval."""

    def __init__(self, counters: RequestCounters, log: DecisionLog) -> None:
        self._counters = counters
        self._log = log
        self._lock = threading.Lock()
        self._logged_at_s: dict[CallerLimit, float] = {}
        self._unlogged: Counter[CallerLimit] = Counter()

    def report(self, limit: CallerLimit, fields: dict[str, object]) -> None:
        self._counters.record_limit(limit.value)
        now_s = time.monotonic()
        with self._lock:
            if now_s - self._logged_at_s.get(limit, -LINE_INTERVAL_S) < LINE_INTERVAL_S:
                self._unlogged[limit] += 1
                return
            self._logged_at_s[limit] = now_s
            unlogged = self._unlogged.pop(limit, 0)
        self._log.belief("caller limit reached", limit=limit.value, **fields, before=unlogged)
