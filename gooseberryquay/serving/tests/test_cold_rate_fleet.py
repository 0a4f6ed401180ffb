"""Loads: entries that all want a cold upstream at once, as they start, part and come back."""

import pytest

from gooseberryquay.ids import UpstreamId
from gooseberryquay.serving.cold_rate import ColdRate, ColdRateLimits
from gooseberryquay.serving.entry_counter import EntryCounter
from gooseberryquay.serving.tests.builders import FakeClock, build_peer

# The users' bound on requests in one second.
OVERAGE, ALLOWANCE = 1.5, 5.0
TERMS = ColdRateLimits(OVERAGE, ALLOWANCE)
ENGINE = UpstreamId("engine-1")
STEP_S = 0.05
HEARD_EVERY_S = 0.5
SIZES = [(8, 4.0), (8, 26.0), (73, 26.0), (195, 18.0), (480, 18.0)]


class _Fleet:
    """Hold the cold rates of many entries and what each knows of the others."""

    def __init__(self, count):
        self.clock = FakeClock()
        self.peers = [build_peer(number) for number in range(count)]
        self.views = [[each] for each in self.peers]
        self.sent_at_s = []
        self.censuses = [EntryCounter(each.id, self.clock) for each in self.peers]
        self.rates = [ColdRate(each, TERMS, self.clock) for each in self.censuses]

    def meet(self):
        self.views = [self.peers for _ in self.peers]

    def part(self, parts):
        self.views = [self.peers[number % parts :: parts] for number in range(len(self.peers))]

    def press(self, span_s, requests_per_s):
        """Let every entry send as much as it may."""
        until_s = self.clock.now_s + span_s
        heard_at_s = float("-inf")
        while self.clock.now_s < until_s:
            if self.clock.now_s - heard_at_s >= HEARD_EVERY_S:
                heard_at_s = self.clock.now_s
                for census, view in zip(self.censuses, self.views, strict=True):
                    census.record_live(view)
            for rate in self.rates:
                while rate.take(ENGINE, requests_per_s):
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
def test_cold_upstream_bears_what_all_entries_send_together(count, requests_per_s):
    fleet = _Fleet(count)
    fleet.meet()
    fleet.press(10.0, requests_per_s)
    assert fleet.most_in_a_second() <= requests_per_s * OVERAGE + ALLOWANCE
    # It is used, too.
    assert len(fleet.sent_at_s) >= 5.0 * requests_per_s


@pytest.mark.parametrize(("count", "requests_per_s"), SIZES)
def test_entries_that_start_together_do_not_each_take_the_whole_rate(count, requests_per_s):
    fleet = _Fleet(count)
    fleet.press(1.0, requests_per_s)
    fleet.meet()
    fleet.press(5.0, requests_per_s)
    assert fleet.most_in_a_second() <= requests_per_s * OVERAGE + ALLOWANCE


@pytest.mark.parametrize(("count", "requests_per_s"), SIZES)
def test_entries_that_lose_sight_of_each_other_do_not_take_their_shares(count, requests_per_s):
    fleet = _Fleet(count)
    fleet.meet()
    fleet.press(6.0, requests_per_s)
    fleet.part(3)
    fleet.press(10.0, requests_per_s)
    assert fleet.most_in_a_second() <= requests_per_s * OVERAGE + ALLOWANCE


def test_share_of_entries_that_have_left_is_used_after_a_while():
    fleet = _Fleet(8)
    fleet.meet()
    fleet.press(6.0, 26.0)
    fleet.rates, fleet.censuses = fleet.rates[:2], fleet.censuses[:2]
    fleet.views = [fleet.peers[:2]] * 2
    fleet.press(61.0, 26.0)
    fleet.sent_at_s.clear()
    fleet.press(4.0, 26.0)
    assert len(fleet.sent_at_s) >= 0.9 * 4.0 * 26.0
