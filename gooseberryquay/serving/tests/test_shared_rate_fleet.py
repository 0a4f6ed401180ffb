"""Combined rate to a cold upstream from many entries that start, partition and rejoin."""

import pytest

from gooseberryquay.ids import UpstreamId
from gooseberryquay.serving.entry_counter import EntryCounter
from gooseberryquay.serving.shared_rate import RateTolerance, SharedRate
from gooseberryquay.serving.tests.builders import FakeClock, build_peer

# The limit that users require on requests in one second.
OVERAGE, ALLOWANCE = 1.5, 5.0
TOLERANCE = RateTolerance(1.0, OVERAGE, ALLOWANCE)
ENGINE = UpstreamId("engine-1")
STEP_S = 0.05
VIEW_UPDATE_INTERVAL_S = 0.5
SIZES = [(8, 4.0), (8, 26.0), (73, 26.0), (195, 18.0), (480, 18.0)]


class _Fleet:
    """Simulate the cold rate limits of many entries and their views of the fleet."""

    def __init__(self, count):
        self.clock = FakeClock()
        self.peers = [build_peer(number) for number in range(count)]
        self.views = [[each] for each in self.peers]
        self.sent_at_s = []
        self.entry_counters = [EntryCounter(each.id, self.clock) for each in self.peers]
        self.rates = [
            SharedRate("cold", each, TOLERANCE, self.clock) for each in self.entry_counters
        ]

    def connect_all(self):
        self.views = [self.peers for _ in self.peers]

    def partition(self, partitions):
        self.views = [
            self.peers[number % partitions :: partitions] for number in range(len(self.peers))
        ]

    def saturate(self, span_s, requests_per_s):
        """Let every entry send as many requests as its limit allows."""
        until_s = self.clock.now_s + span_s
        view_updated_at_s = float("-inf")
        while self.clock.now_s < until_s:
            if self.clock.now_s - view_updated_at_s >= VIEW_UPDATE_INTERVAL_S:
                view_updated_at_s = self.clock.now_s
                for entry_counter, view in zip(self.entry_counters, self.views, strict=True):
                    entry_counter.record_live(view)
            for rate in self.rates:
                while rate.try_acquire(ENGINE, requests_per_s):
                    self.sent_at_s.append(self.clock.now_s)
            self.clock.now_s += STEP_S

    def most_in_a_second(self):
        return max(
            (
                sum(first <= each < first + 1.0 for each in self.sent_at_s)
                for first in set(self.sent_at_s)
            ),
            default=0,
        )


@pytest.mark.parametrize(("count", "requests_per_s"), SIZES)
def test_combined_rate_of_all_entries_is_within_the_limit(count, requests_per_s):
    fleet = _Fleet(count)
    fleet.connect_all()
    fleet.saturate(10.0, requests_per_s)
    assert fleet.most_in_a_second() <= requests_per_s * OVERAGE + ALLOWANCE
    # The limit is also largely used.
    assert len(fleet.sent_at_s) >= 5.0 * requests_per_s


@pytest.mark.parametrize(("count", "requests_per_s"), SIZES)
def test_combined_rate_is_within_the_limit_when_entries_start_together(count, requests_per_s):
    fleet = _Fleet(count)
    fleet.saturate(1.0, requests_per_s)
    fleet.connect_all()
    fleet.saturate(5.0, requests_per_s)
    assert fleet.most_in_a_second() <= requests_per_s * OVERAGE + ALLOWANCE


@pytest.mark.parametrize(("count", "requests_per_s"), SIZES)
def test_combined_rate_is_within_the_limit_during_a_partition(count, requests_per_s):
    fleet = _Fleet(count)
    fleet.connect_all()
    fleet.saturate(6.0, requests_per_s)
    fleet.partition(3)
    fleet.saturate(10.0, requests_per_s)
    assert fleet.most_in_a_second() <= requests_per_s * OVERAGE + ALLOWANCE


def test_share_of_departed_entries_is_redistributed_after_the_retention_time():
    fleet = _Fleet(8)
    fleet.connect_all()
    fleet.saturate(6.0, 26.0)
    fleet.rates, fleet.entry_counters = fleet.rates[:2], fleet.entry_counters[:2]
    fleet.views = [fleet.peers[:2]] * 2
    fleet.saturate(61.0, 26.0)
    fleet.sent_at_s.clear()
    fleet.saturate(4.0, 26.0)
    assert len(fleet.sent_at_s) >= 0.9 * 4.0 * 26.0
