"""Loads: a request that crashes its upstreams, and sound ones whose upstreams end."""

import pytest

from gooseberryquay.ids import UpstreamId
from gooseberryquay.machines.suspect_messages import Death, SuspectRecord
from gooseberryquay.serving.crash_verdict import (
    CRASHES_MAX,
    FIRST_REST_S,
    Refused,
    Runs,
    Trial,
    verdict_of,
)

NOW_S = 1000.0
DOUBT_S = 7.2


def _record(certain=0, doubtful=0, age_s=1.0, is_cleared=False):
    deaths = [
        Death(
            upstream=UpstreamId(f"i-{number}/1"),
            at_s=NOW_S - age_s,
            is_cleared=is_cleared,
            is_certain=number < certain,
        )
        for number in range(certain + doubtful)
    ]
    return SuspectRecord(fingerprint="f", deaths=tuple(deaths))


def _verdict(record):
    return verdict_of(record, NOW_S, DOUBT_S)


@pytest.mark.parametrize(("certain", "doubtful"), [(0, 0), (2, 0), (1, 1), (0, 2)])
def test_fewer_deaths_than_the_bound_keep_no_request_from_running(certain, doubtful):
    assert _verdict(None) == Runs()
    assert _verdict(_record(certain, doubtful)) == Runs()


def test_request_under_which_three_upstreams_died_is_refused_for_a_while():
    verdict = _verdict(_record(CRASHES_MAX, age_s=10.0))
    assert isinstance(verdict, Refused) and verdict.left_s == FIRST_REST_S - 10.0


@pytest.mark.parametrize(("certain", "doubtful"), [(2, 1), (1, 2), (0, 3)])
def test_request_waits_until_the_fate_of_silent_upstreams_is_known(certain, doubtful):
    verdict = _verdict(_record(certain, doubtful, age_s=2.0))
    assert isinstance(verdict, Refused)
    assert verdict.left_s == pytest.approx(DOUBT_S - 2.0)


def test_doubts_that_nothing_confirmed_count_no_longer():
    assert _verdict(_record(certain=2, doubtful=3, age_s=DOUBT_S + 0.1)) == Runs()


def test_request_that_finished_runs_whatever_died_under_it():
    assert _verdict(_record(certain=9, is_cleared=True)) == Runs()


def test_refused_request_is_tried_once_after_its_rest():
    assert _verdict(_record(CRASHES_MAX, age_s=FIRST_REST_S)) == Trial()


def test_rest_grows_with_each_further_death():
    lefts_s = [_verdict(_record(count)).left_s for count in range(CRASHES_MAX, 9)]
    assert all(later >= 2.0 * earlier for earlier, later in zip(lefts_s, lefts_s[1:], strict=False))
