"""Subsetting: the bounded part of a service's upstreams that one entry sends to."""

from collections import defaultdict
from collections.abc import Sequence

from gooseberryquay.contracts.upstream import UpstreamDeclaration
from gooseberryquay.ids import EntryId, ZoneId
from gooseberryquay.machines.rendezvous import member_weight

__all__ = ["SubsetRule"]


class SubsetRule:
    """Choose a subset by rendezvous hashing of entry and upstream, balanced over zones."""

    def __init__(self, entry: EntryId, size: int) -> None:
        self._entry = entry
        self._size = size

    def choose(self, upstreams: Sequence[UpstreamDeclaration]) -> tuple[UpstreamDeclaration, ...]:
        """Return at most `size` upstreams, or all of them if there are no more."""
        if len(upstreams) <= self._size:
            return tuple(upstreams)
        ranked = sorted(
            upstreams, key=lambda each: member_weight(self._entry, each.id), reverse=True
        )
        by_zone: dict[ZoneId, list[UpstreamDeclaration]] = defaultdict(list)
        for upstream in ranked:
            by_zone[upstream.zone].append(upstream)
        return tuple(self._interleave(list(by_zone.values())))

    def _interleave(self, zones: list[list[UpstreamDeclaration]]) -> list[UpstreamDeclaration]:
        chosen: list[UpstreamDeclaration] = []
        for rank in range(max(len(each) for each in zones)):
            for upstreams in zones:
                if rank < len(upstreams) and len(chosen) < self._size:
                    chosen.append(upstreams[rank])
        return chosen
