"""What the dispatcher keeps for one service."""

from collections.abc import Sequence
from statistics import median

from gooseberryquay.ids import ServiceId
from gooseberryquay.machines.decaying_rate import FadingRate
from gooseberryquay.machines.queue_order import WorkQueue
from gooseberryquay.machines.queue_waiter import Waiter
from gooseberryquay.machines.upstream import Upstream
from gooseberryquay.machines.upstream_peak import expected_peak_tokens

__all__ = ["ServiceLane"]

TYPICAL_GAP_REFRESH_S = 0.5
SHED_CHECK_S = 0.1
OWN_SHARE_REFRESH_S = 0.25
HOPELESS_FACTOR = 2.0


class ServiceLane:
    """Hold one service's queue, the rate at which it empties and its usual token gap."""

    def __init__(self, service: ServiceId) -> None:
        self.service = service
        self.queue = WorkQueue()
        self.finish_rate = FadingRate()
        self._typical_gap_s = 0.0
        self._typical_at_s = 0.0
        self._shed_at_s = 0.0
        self._own_share = 0.0
        self._own_share_at_s = 0.0

    def typical_gap_s(self, upstreams: Sequence[Upstream], now_s: float) -> float:
        """Give the median of the upstreams' observed times between tokens."""
        if now_s - self._typical_at_s >= TYPICAL_GAP_REFRESH_S:
            gaps_s = [each.token_gap_s for each in upstreams if each.token_gap_s > 0]
            self._typical_gap_s = median(gaps_s) if gaps_s else 0.0
            self._typical_at_s = now_s
        return self._typical_gap_s

    def own_memory_share(
        self, upstreams: Sequence[Upstream], sharing_entries: float, now_s: float
    ) -> float:
        """Give the memory share of all upstreams if every entry had as much work as this one."""
        if now_s - self._own_share_at_s >= OWN_SHARE_REFRESH_S:
            self._own_share = _own_memory_share(upstreams, sharing_entries, now_s)
            self._own_share_at_s = now_s
        return self._own_share

    def expected_wait_s(self, count_before: int, now_s: float) -> float:
        """Give the time until so many waiters and one more are placed; 0 where not known."""
        rate = self.finish_rate.per_second(now_s)
        return (count_before + 1) / rate if rate > 0 else 0.0

    def is_hopeless(self, waiter: Waiter, count_before: int, now_s: float) -> bool:
        """Tell whether a waiter would be given up long before its turn."""
        expected_wait_s = self.expected_wait_s(count_before, now_s)
        return expected_wait_s > HOPELESS_FACTOR * (waiter.give_up_at_s - now_s)

    def hopeless(self, now_s: float) -> list[Waiter]:
        """Give the waiters to refuse now, long answers before quick ones."""
        if now_s - self._shed_at_s < SHED_CHECK_S:
            return []
        self._shed_at_s = now_s
        found: list[Waiter] = []
        kept = 0
        for waiter in self.queue.in_order():
            if self.is_hopeless(waiter, kept, now_s):
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
