"""Readiness of a new entry: whether enough upstreams have reported their load."""

import time

from gooseberryquay.machines.upstream import Upstream
from gooseberryquay.machines.upstream_table import UpstreamTable

__all__ = ["FirstReports"]

KNOWN_PER_SERVICE = 4
TIMEOUT_S = 5.0


class FirstReports:
    """Wait for the first load reports of some upstreams of each service.

    Otherwise all early requests would go to the upstream that reports first.
    """

    def __init__(self, table: UpstreamTable, timeout_s: float = TIMEOUT_S) -> None:
        self._table = table
        self._timeout_s = timeout_s
        self._waiting_since_s: float | None = None
        self._is_enough = False

    def has_enough(self) -> bool:
        """Return whether enough upstreams have reported or the wait has timed out."""
        if not self._is_enough:
            now_s = time.monotonic()
            if self._waiting_since_s is None:
                self._waiting_since_s = now_s
            has_timed_out = now_s - self._waiting_since_s > self._timeout_s
            self._is_enough = has_timed_out or self._has_enough_of_each()
        return self._is_enough

    def _has_enough_of_each(self) -> bool:
        services = self._table.configuration().declaration.services
        return all(_has_enough_known(self._table.usable(each)) for each in services)


def _has_enough_known(upstreams: tuple[Upstream, ...]) -> bool:
    known = sum(each.is_known for each in upstreams)
    return known >= min(KNOWN_PER_SERVICE, len(upstreams))
