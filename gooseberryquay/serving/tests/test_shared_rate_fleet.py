"""Combined rate to an upstream from many entries that start, partition and rejoin."""

import pytest

from gooseberryquay.ids import UpstreamId
from gooseberryquay.serving.entry_counter import EntryCounter
from gooseberryquay.serving.rate_gate import STATED_TOLERANCE
from gooseberryquay.serving.shared_rate import RateTolerance, SharedRate
from gooseberryquay.serving.tests.builders import FakeClock, build_peer

# The limit that users require on requests in one second.
OVERAGE, ALLOWANCE = 1.5, 5.0
TOLERANCE = RateTolerance(1.0, OVERAGE, ALLOWANCE)
ENGINE = UpstreamId("engine-1")
STEP_S = 0.05
VIEW_UPDATE_INTERVAL_S = 0.5
# The limit that users require on requests in four seconds to an upstream that states a rate.
STATED_WINDOW_S, STATED_ALLOWANCE = 4.0, 5.0
# Rates far below one request per second for each entry.
STATED_RATES = [(4, 2.4), (8, 2.4), (12, 0.5), (74, 6.0), (195, 0.2), (195, 2.4), (480, 30.0)]
SIZES = [(8, 4.0), (8, 26.0), (73, 26.0), (195, 18.0), (480, 18.0)]


class _Fleet:
    """Simulate the rate limits of many entries and their views of the fleet."""

    def __init__(self, count, tolerance=TOLERANCE):
        self.tolerance = tolerance
        self.clock = FakeClock()
        self.peers = [build_peer(number) for number in range(count)]
        self.views = [[each] for each in self.peers]
        self.sent_at_s = []
        self.entry_counters = [EntryCounter(each.id, self.clock) for each in self.peers]
        self.rates = [
            SharedRate("cold", each, tolerance, self.clock) for each in self.entry_counters
        ]

    def join(self, count):
        """Add entries, which all others discover with the next update of their views."""
        for number in range(len(self.peers), len(self.peers) + count):
            self.peers.append(build_peer(number))
            self.entry_counters.append(None)
            self.rates.append(None)
            self.restart(number)
        self.connect_all()

    def restart(self, number):
        """Let an entry lose its state."""
        entry_counter = EntryCounter(self.peers[number].id, self.clock)
        self.entry_counters[number] = entry_counter
        self.rates[number] = SharedRate("cold", entry_counter, self.tolerance, self.clock)

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

    def most_in_a_window(self, window_s=1.0):
        return max(
            (
                sum(first <= each < first + window_s for each in self.sent_at_s)
                for first in set(self.sent_at_s)
            ),
            default=0,
        )


@pytest.mark.parametrize(("count", "requests_per_s"), SIZES)
def test_combined_rate_of_all_entries_is_within_the_limit(count, requests_per_s):
    fleet = _Fleet(count)
    fleet.connect_all()
    fleet.saturate(10.0, requests_per_s)
    assert fleet.most_in_a_window() <= requests_per_s * OVERAGE + ALLOWANCE
    # The limit is also largely used.
    assert len(fleet.sent_at_s) >= 5.0 * requests_per_s


@pytest.mark.parametrize(("count", "requests_per_s"), SIZES)
def test_combined_rate_is_within_the_limit_when_entries_start_together(count, requests_per_s):
    fleet = _Fleet(count)
    fleet.saturate(1.0, requests_per_s)
    fleet.connect_all()
    fleet.saturate(5.0, requests_per_s)
    assert fleet.most_in_a_window() <= requests_per_s * OVERAGE + ALLOWANCE


@pytest.mark.parametrize(("count", "requests_per_s"), SIZES)
def test_combined_rate_is_within_the_limit_during_a_partition(count, requests_per_s):
    fleet = _Fleet(count)
    fleet.connect_all()
    fleet.saturate(6.0, requests_per_s)
    fleet.partition(3)
    fleet.saturate(10.0, requests_per_s)
    assert fleet.most_in_a_window() <= requests_per_s * OVERAGE + ALLOWANCE


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


def _stated_bound(requests_per_s):
    return OVERAGE * STATED_WINDOW_S * requests_per_s + STATED_ALLOWANCE


@pytest.mark.parametrize(("count", "requests_per_s"), STATED_RATES)
def test_stated_rate_is_kept_while_entries_join_restart_and_partition(count, requests_per_s):
    fleet = _Fleet(count, STATED_TOLERANCE)
    fleet.saturate(1.0, requests_per_s)
    fleet.connect_all()
    fleet.saturate(12.0, requests_per_s)
    fleet.join(max(1, count // 5))
    fleet.saturate(8.0, requests_per_s)
    fleet.partition(3)
    fleet.saturate(8.0, requests_per_s)
    fleet.connect_all()
    fleet.saturate(6.0, requests_per_s)
    assert fleet.most_in_a_window(STATED_WINDOW_S) <= _stated_bound(requests_per_s)
    assert len(fleet.sent_at_s) >= 0.5 * 30.0 * requests_per_s


@pytest.mark.parametrize("count", [8, 195])
def test_stated_rate_is_kept_by_entries_that_did_not_restart(count):
    fleet = _Fleet(count, STATED_TOLERANCE)
    fleet.connect_all()
    fleet.saturate(6.0, 2.4)
    for number in range(0, count, 2):
        fleet.restart(number)
    fleet.sent_at_s.clear()
    fleet.saturate(12.0, 2.4)
    assert fleet.most_in_a_window(STATED_WINDOW_S) <= _stated_bound(2.4)


def test_stated_rate_that_falls_is_kept_at_once():
    fleet = _Fleet(195, STATED_TOLERANCE)
    fleet.connect_all()
    fleet.saturate(12.0, 20.0)
    fleet.sent_at_s.clear()
    fleet.saturate(12.0, 1.0)
    assert fleet.most_in_a_window(STATED_WINDOW_S) <= _stated_bound(1.0)
