"""The bounded part of a service's upstreams that one entry sends to."""

from collections import defaultdict
from collections.abc import Sequence

from gooseberryquay.contracts.upstream import UpstreamDeclaration
from gooseberryquay.ids import EntryId, ZoneId
from gooseberryquay.machines.rendezvous import member_weight

__all__ = ["SubsetRule"]


class SubsetRule:
    """Choose by rendezvous hash of entry and upstream, spread evenly over zones."""

    def __init__(self, entry: EntryId, size: int) -> None:
        self._entry = entry
        self._size = size

    def choose(self, upstreams: Sequence[UpstreamDeclaration]) -> tuple[UpstreamDeclaration, ...]:
        """Give at most `size` upstreams; all of them where there are no more."""
        if len(upstreams) <= self._size:
            return tuple(upstreams)
        ranked = sorted(
            upstreams, key=lambda each: member_weight(self._entry, each.id), reverse=True
        )
        by_zone: dict[ZoneId, list[UpstreamDeclaration]] = defaultdict(list)
        for upstream in ranked:
            by_zone[upstream.zone].append(upstream)
        return tuple(self._take_in_turns(list(by_zone.values())))

    def _take_in_turns(self, zones: list[list[UpstreamDeclaration]]) -> list[UpstreamDeclaration]:
        chosen: list[UpstreamDeclaration] = []
        for turn in range(max(len(each) for each in zones)):
            for upstreams in zones:
                if turn < len(upstreams) and len(chosen) < self._size:
                    chosen.append(upstreams[turn])
        return chosen
