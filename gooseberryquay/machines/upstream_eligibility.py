"""Eligibility of upstreams for one request, independent of the load-balancing rule."""

from dataclasses import dataclass

from gooseberryquay.machines.cold_slots import ColdSlots
from gooseberryquay.machines.upstream import Upstream, UpstreamView
from gooseberryquay.machines.work import Work

__all__ = ["EligibilityFilter"]


@dataclass(frozen=True)
class EligibilityFilter:
    """Filter out upstreams that are excluded, unresponsive, slow, full, leaving or cold."""

    work: Work
    slots: ColdSlots
    median_gap_s: float
    now_s: float

    def is_eligible(self, upstream: Upstream) -> bool:
        """Return whether an upstream may receive the request."""
        declaration = upstream.declaration
        excluded = self.work.excluded
        if upstream.is_silent or (excluded and declaration.id in excluded):
            return False
        if len(upstream.own_requests) >= declaration.in_flight_max:
            return False
        match upstream.view:
            case UpstreamView.WARM:
                return self._is_warm_eligible(upstream)
            case UpstreamView.LEAVING:
                return False
            case UpstreamView.COLD | UpstreamView.UNKNOWN:
                has_free = self.slots.has_free(declaration)
                return (
                    has_free and upstream.expected_in_flight(1.0) < declaration.cold_in_flight_max
                )

    def _is_warm_eligible(self, upstream: Upstream) -> bool:
        if upstream.is_slow_unreported(self.median_gap_s, self.now_s):
            return False
        slow_start = upstream.slow_start
        return slow_start.is_over or slow_start.has_room(
            upstream.own_in_flight, upstream.token_gap_s, self.work.token_gap_s, self.now_s
        )
