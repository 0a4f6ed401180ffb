"""Usual work time on the machine of each upstream, apart from passing slowdowns.

Upstreams of a service differ in speed for as long as they live. What they state is the product of
that and of the slowdown of the moment, which only lengthens work.
"""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from gooseberryquay.ids import ServiceId, UpstreamId

__all__ = ["MachineSpeeds"]

FIGURES_KEPT = 16
# Below most figures of a slowed machine.
USUAL_SHARE = 0.2
# Upstreams that have not stated anything count as slower than most, until their first response.
CAUTIOUS_SHARE = 0.75
USUAL = 1.0
PERCENT = 100.0
PERCENT_MAX = 100_000


@dataclass
class _Figures:
    # Peers do not tell it; known once the upstream is considered for a request.
    service: ServiceId | None = None
    recent: deque[float] = field(default_factory=lambda: deque(maxlen=FIGURES_KEPT))
    told: float | None = None

    def usual(self) -> float | None:
        """Return the least of what was seen and what was told."""
        known = [] if self.told is None else [self.told]
        if self.recent:
            ordered = sorted(self.recent)
            known.append(ordered[int(USUAL_SHARE * len(ordered))])
        return min(known, default=None)


class MachineSpeeds:
    """Track the usual figure of each upstream; callers must serialize the calls."""

    def __init__(self) -> None:
        self._of: dict[UpstreamId, _Figures] = {}

    def record(self, service: ServiceId, upstream: UpstreamId, figure: float) -> float | None:
        """Add a figure; return the slowdown of the moment, or None while the usual is unknown."""
        figures = self._of.setdefault(upstream, _Figures())
        figures.service = service
        usual = figures.usual()
        figures.recent.append(figure)
        return max(1.0, figure / usual) if usual else None

    def receive(self, upstream: UpstreamId, percent: int) -> None:
        """Add the usual figure that a peer has found."""
        if not 0 < percent <= PERCENT_MAX:
            return
        figures = self._of.setdefault(upstream, _Figures())
        told = percent / PERCENT
        figures.told = told if figures.told is None else min(told, figures.told)

    def percent(self, upstream: UpstreamId) -> int:
        """Return the usual figure to tell peers, 0 if it is unknown."""
        figures = self._of.get(upstream)
        usual = figures.usual() if figures is not None else None
        return 0 if usual is None else round(usual * PERCENT)

    def usual(self, service: ServiceId, upstream: UpstreamId) -> float:
        """Return the usual figure of an upstream, or a cautious one."""
        figures = self._of.get(upstream)
        if figures is None:
            return self.cautious(service)
        figures.service = service
        known = figures.usual()
        return self.cautious(service) if known is None else known

    def cautious(self, service: ServiceId) -> float:
        """Return a figure that most upstreams of a service do not exceed."""
        ordered = self._ordered(service)
        return ordered[int(CAUTIOUS_SHARE * (len(ordered) - 1))] if ordered else USUAL

    def least(self, service: ServiceId) -> float:
        """Return the figure of the fastest upstream of a service."""
        ordered = self._ordered(service)
        return ordered[0] if ordered else USUAL

    def _ordered(self, service: ServiceId) -> list[float]:
        known = (each.usual() for each in self._of.values() if each.service == service)
        return sorted(each for each in known if each is not None)

    def forget(self, keep: Iterable[UpstreamId] | Mapping[UpstreamId, object]) -> None:
        """Drop upstreams that are not in `keep`."""
        kept = set(keep)
        self._of = {upstream: each for upstream, each in self._of.items() if upstream in kept}
