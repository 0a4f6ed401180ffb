"""Whether a fresh entry knows enough of its upstreams to choose between them."""

import time

from gooseberryquay.machines.upstream import Upstream
from gooseberryquay.machines.upstream_table import UpstreamTable

__all__ = ["FirstReports"]

HEARD_PER_SERVICE = 4
PATIENCE_S = 5.0


class FirstReports:
    """Wait for the first reports of some upstreams of each service.

    Work that arrives before them would all go to the upstream that reports first.
    """

    def __init__(self, table: UpstreamTable, patience_s: float = PATIENCE_S) -> None:
        self._table = table
        self._patience_s = patience_s
        self._waiting_since_s: float | None = None
        self._is_enough = False

    def has_enough(self) -> bool:
        """Tell whether enough reports have come, or have been waited for long enough."""
        if not self._is_enough:
            now_s = time.monotonic()
            if self._waiting_since_s is None:
                self._waiting_since_s = now_s
            is_late = now_s - self._waiting_since_s > self._patience_s
            self._is_enough = is_late or self._has_enough_of_each()
        return self._is_enough

    def _has_enough_of_each(self) -> bool:
        services = self._table.configuration().declaration.services
        return all(_has_enough_heard(self._table.usable(each)) for each in services)


def _has_enough_heard(upstreams: tuple[Upstream, ...]) -> bool:
    heard = sum(each.is_heard for each in upstreams)
    return heard >= min(HEARD_PER_SERVICE, len(upstreams))
