"""Queue and statistics that the dispatcher maintains for one service."""

from collections.abc import Sequence
from statistics import median

from gooseberryquay.ids import ServiceId
from gooseberryquay.machines.decaying_rate import DecayingRate
from gooseberryquay.machines.queue_order import WorkQueue
from gooseberryquay.machines.queue_waiter import Waiter
from gooseberryquay.machines.upstream import Upstream
from gooseberryquay.machines.upstream_peak import expected_peak_tokens

__all__ = ["ServiceQueue"]

MEDIAN_GAP_REFRESH_S = 0.5
SHED_CHECK_S = 0.1
OWN_SHARE_REFRESH_S = 0.25
SHED_WAIT_FACTOR = 2.0


class ServiceQueue:
    """Waiters of one service, the rate at which it drains and its median token gap."""

    def __init__(self, service: ServiceId) -> None:
        self.service = service
        self.waiters = WorkQueue()
        self.finish_rate = DecayingRate()
        self._median_gap_s = 0.0
        self._median_gap_at_s = 0.0
        self._shed_at_s = 0.0
        self._own_share = 0.0
        self._own_share_at_s = 0.0

    def median_gap_s(self, upstreams: Sequence[Upstream], now_s: float) -> float:
        """Return the median of the token gaps observed at the upstreams."""
        if now_s - self._median_gap_at_s >= MEDIAN_GAP_REFRESH_S:
            gaps_s = [each.token_gap_s for each in upstreams if each.token_gap_s > 0]
            self._median_gap_s = median(gaps_s) if gaps_s else 0.0
            self._median_gap_at_s = now_s
        return self._median_gap_s

    def own_memory_share(
        self, upstreams: Sequence[Upstream], sharing_entries: float, now_s: float
    ) -> float:
        """Return the memory share of all upstreams if every entry had the load of this one."""
        if now_s - self._own_share_at_s >= OWN_SHARE_REFRESH_S:
            self._own_share = _own_memory_share(upstreams, sharing_entries, now_s)
            self._own_share_at_s = now_s
        return self._own_share

    def expected_wait_s(self, count_before: int, now_s: float) -> float:
        """Return the expected time to place `count_before` waiters and one more; 0 if unknown."""
        rate = self.finish_rate.per_second(now_s)
        return (count_before + 1) / rate if rate > 0 else 0.0

    def will_time_out(self, waiter: Waiter, count_before: int, now_s: float) -> bool:
        """Return whether a waiter would time out long before it is placed."""
        expected_wait_s = self.expected_wait_s(count_before, now_s)
        return expected_wait_s > SHED_WAIT_FACTOR * (waiter.give_up_at_s - now_s)

    def waiters_to_shed(self, now_s: float) -> list[Waiter]:
        """Return the waiters to refuse now; long outputs are shed before quick ones."""
        if now_s - self._shed_at_s < SHED_CHECK_S:
            return []
        self._shed_at_s = now_s
        found: list[Waiter] = []
        kept = 0
        for waiter in self.waiters.in_order():
            if self.will_time_out(waiter, kept, now_s):
                found.append(waiter)
            else:
                kept += 1
        return found


def _own_memory_share(upstreams: Sequence[Upstream], sharing_entries: float, now_s: float) -> float:
    reporting = [each for each in upstreams if each.report is not None]
    total_tokens = sum(each.report.kv_total_tokens for each in reporting if each.report)
    count = sum(each.own_in_flight for each in reporting)
    if total_tokens == 0 or count == 0:
        return 0.0
    loads = [each.own_load(now_s) for each in reporting]
    held_tokens = sum(each.held_tokens for each in loads) / count
    remaining_tokens = sum(each.remaining_tokens for each in loads) / count
    peak_tokens = expected_peak_tokens(count, held_tokens, remaining_tokens)
    return sharing_entries * peak_tokens / total_tokens
