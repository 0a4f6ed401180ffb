"""Which upstreams died lately, by all that an entry knows."""

import time
from collections.abc import Iterator
from dataclasses import dataclass

from gooseberryquay.ids import UpstreamId, ZoneId
from gooseberryquay.machines.suspect_list import SuspectList
from gooseberryquay.machines.upstream_table import UpstreamTable

__all__ = ["UpstreamFailure", "UpstreamFailures"]


@dataclass(frozen=True)
class UpstreamFailure:
    """Hold when an upstream died; the time is of the monotonic clock."""

    upstream: UpstreamId
    zone: ZoneId
    at_s: float


class UpstreamFailures:
    """Join the upstreams that refuse connections here with the deaths that entries report."""

    def __init__(self, table: UpstreamTable, suspects: SuspectList) -> None:
        self._table = table
        self._suspects = suspects

    def recent(self) -> tuple[UpstreamFailure, ...]:
        """Give each loss that is still remembered."""
        return (*self._gone_here(), *self._reported())

    def _gone_here(self) -> Iterator[UpstreamFailure]:
        for each in self._table.all_usable():
            if each.gone_since_s is not None:
                yield UpstreamFailure(each.declaration.id, each.declaration.zone, each.gone_since_s)

    def _reported(self) -> Iterator[UpstreamFailure]:
        declared = self._table.configuration().declaration.upstreams
        now_s = time.monotonic()
        for upstream, age_s in self._suspects.death_ages_s().items():
            declaration = declared.get(upstream)
            if declaration is not None:
                yield UpstreamFailure(upstream, declaration.zone, now_s - age_s)
