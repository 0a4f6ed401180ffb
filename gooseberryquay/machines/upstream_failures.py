"""Recent upstream failures, from all sources known to an entry."""

import time
from collections.abc import Iterator
from dataclasses import dataclass

from gooseberryquay.ids import UpstreamId, ZoneId
from gooseberryquay.machines.suspect_list import SuspectList
from gooseberryquay.machines.upstream_table import UpstreamTable

__all__ = ["UpstreamFailure", "UpstreamFailures"]


@dataclass(frozen=True)
class UpstreamFailure:
    """Failure of one upstream; `at_s` is monotonic clock time."""

    upstream: UpstreamId
    zone: ZoneId
    at_s: float


class UpstreamFailures:
    """Combine upstreams that refuse connections here with deaths reported by any entry."""

    def __init__(self, table: UpstreamTable, suspects: SuspectList) -> None:
        self._table = table
        self._suspects = suspects

    def recent(self) -> tuple[UpstreamFailure, ...]:
        """Return each recent failure."""
        return (*self._unreachable_here(), *self._reported())

    def _unreachable_here(self) -> Iterator[UpstreamFailure]:
        for each in self._table.all_usable():
            if each.unreachable_since_s is not None:
                yield UpstreamFailure(
                    each.declaration.id, each.declaration.zone, each.unreachable_since_s
                )

    def _reported(self) -> Iterator[UpstreamFailure]:
        declared = self._table.configuration().declaration.upstreams
        now_s = time.monotonic()
        for upstream, age_s in self._suspects.death_ages_s().items():
            declaration = declared.get(upstream)
            if declaration is not None:
                yield UpstreamFailure(upstream, declaration.zone, now_s - age_s)
