"""Verdicts on requests that crash upstreams and on valid ones whose upstreams terminate."""

import pytest

from gooseberryquay.ids import UpstreamId
from gooseberryquay.machines.suspect_messages import Death, SuspectRecord
from gooseberryquay.serving.crash_verdict import (
    CRASHES_MAX,
    FIRST_COOLDOWN_S,
    Allowed,
    Refused,
    Trial,
    verdict_of,
)

NOW_S = 1000.0
UNCERTAIN_WINDOW_S = 7.2


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
    return verdict_of(record, NOW_S, UNCERTAIN_WINDOW_S)


@pytest.mark.parametrize(("certain", "doubtful"), [(0, 0), (2, 0), (1, 1), (0, 2)])
def test_fewer_deaths_than_the_limit_allow_a_request(certain, doubtful):
    assert _verdict(None) == Allowed()
    assert _verdict(_record(certain, doubtful)) == Allowed()


def test_request_with_three_crashed_upstreams_is_refused_for_the_cooldown():
    verdict = _verdict(_record(CRASHES_MAX, age_s=10.0))
    assert isinstance(verdict, Refused) and verdict.remaining_s == FIRST_COOLDOWN_S - 10.0


@pytest.mark.parametrize(("certain", "doubtful"), [(2, 1), (1, 2), (0, 3)])
def test_request_is_refused_until_uncertain_deaths_are_resolved(certain, doubtful):
    verdict = _verdict(_record(certain, doubtful, age_s=2.0))
    assert isinstance(verdict, Refused)
    assert verdict.remaining_s == pytest.approx(UNCERTAIN_WINDOW_S - 2.0)


def test_unconfirmed_deaths_expire():
    assert _verdict(_record(certain=2, doubtful=3, age_s=UNCERTAIN_WINDOW_S + 0.1)) == Allowed()


def test_cleared_request_is_allowed_despite_deaths():
    assert _verdict(_record(certain=9, is_cleared=True)) == Allowed()


def test_refused_request_gets_a_trial_after_the_cooldown():
    assert _verdict(_record(CRASHES_MAX, age_s=FIRST_COOLDOWN_S)) == Trial()


def test_cooldown_grows_with_each_further_death():
    remaining_times_s = [_verdict(_record(count)).remaining_s for count in range(CRASHES_MAX, 9)]
    assert all(
        later >= 2.0 * earlier
        for earlier, later in zip(remaining_times_s, remaining_times_s[1:], strict=False)
    )
