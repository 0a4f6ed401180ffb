"""Which upstreams may get one request now, whatever the rule."""

from dataclasses import dataclass

from gooseberryquay.machines.cold_slots import ColdSlots
from gooseberryquay.machines.upstream import Upstream, UpstreamView
from gooseberryquay.machines.work import Work

__all__ = ["UpstreamGate"]


@dataclass(frozen=True)
class UpstreamGate:
    """Hold back a request from upstreams that are excluded, silent, slow, full or cold."""

    work: Work
    slots: ColdSlots
    typical_gap_s: float
    now_s: float

    def is_open(self, upstream: Upstream) -> bool:
        """Tell whether an upstream may get the request."""
        declaration = upstream.declaration
        excluded = self.work.excluded
        if upstream.is_silent or (excluded and declaration.id in excluded):
            return False
        if len(upstream.work) >= declaration.in_flight_max:
            return False
        match upstream.view:
            case UpstreamView.WARM:
                return self._is_open_warm(upstream)
            case UpstreamView.LEAVING:
                return False
            case UpstreamView.COLD | UpstreamView.UNKNOWN:
                has_free = self.slots.has_free(declaration)
                return (
                    has_free and upstream.expected_in_flight(1.0) < declaration.cold_in_flight_max
                )

    def _is_open_warm(self, upstream: Upstream) -> bool:
        if upstream.is_slow_unreported(self.typical_gap_s, self.now_s):
            return False
        ramp = upstream.ramp
        return ramp.is_over or ramp.has_room(
            upstream.own_in_flight, upstream.token_gap_s, self.work.token_gap_s, self.now_s
        )
