import random

import pytest

from gooseberryquay.contracts.settings import ChoiceSettings
from gooseberryquay.machines.choice import ChoiceContext, Chooser, RequestEstimate
from gooseberryquay.machines.cold_slots import NoColdSlots
from gooseberryquay.machines.in_flight_request import InFlightRequest
from gooseberryquay.machines.length_estimate import LengthCount, LengthDistribution
from gooseberryquay.machines.load_report import LoadReport
from gooseberryquay.machines.tests.choice_builders import build_upstream, build_work
from gooseberryquay.machines.upstream import Upstream
from gooseberryquay.machines.upstream_eligibility import EligibilityFilter
from gooseberryquay.machines.upstream_peak import expected_peak_tokens

NOW_S = 1000.0


def _build_upstreams(used_tokens, age_s=0.0):
    upstreams = [Upstream(build_upstream(number)) for number in range(len(used_tokens))]
    for upstream, used in zip(upstreams, used_tokens, strict=True):
        report = LoadReport(
            in_flight=10,
            kv_used_tokens=used,
            kv_total_tokens=10_000,
            step_s=0.03,
            age_s=age_s,
        )
        upstream.update_report(report, NOW_S)
    return upstreams


def _decide(upstreams, fallback_memory_share=0.0, **fields):
    work = build_work(**fields)
    eligibility = EligibilityFilter(work, NoColdSlots(), 0.0, NOW_S)
    estimate = RequestEstimate(work, 50.0, False, 50.0)
    context = ChoiceContext(estimate, eligibility, 8.0, fallback_memory_share, NOW_S)
    chooser = Chooser(ChoiceSettings(), random.Random(1))
    for each in upstreams:
        if fields.get("prefix_hash") and each.declaration.id == "engine-2":
            chooser.prefixes.record_holder(fields["prefix_hash"], each.declaration.id)
    return [chooser.choose(context, upstreams) for _ in range(20)]


def test_emptiest_engine_is_chosen_and_a_full_one_never():
    chosen = _decide(_build_upstreams([7_900, 3_000, 6_000]))
    assert {each.declaration.id for each in chosen} == {"engine-1"}
    assert _decide(_build_upstreams([7_950, 8_000, 9_000])) == [None] * 20


def test_prefix_holder_is_preferred_unless_it_is_crowded():
    chosen = _decide(_build_upstreams([4_000, 4_000, 4_500]), prefix_hash="p")
    assert {each.declaration.id for each in chosen} == {"engine-2"}
    chosen = _decide(_build_upstreams([4_000, 4_000, 7_500]), prefix_hash="p")
    assert "engine-2" not in {each.declaration.id for each in chosen}


def test_equal_engines_are_chosen_at_random_so_that_entries_do_not_herd():
    chosen = _decide(_build_upstreams([4_000, 4_000, 4_000]))
    assert len({each.declaration.id for each in chosen}) == 3


def test_old_report_of_a_full_engine_yields_to_the_work_known_now():
    assert _decide(_build_upstreams([8_500] * 3, age_s=10.0), fallback_memory_share=0.4)[0]
    assert _decide(_build_upstreams([8_500] * 3, age_s=1.0), fallback_memory_share=0.4)[0] is None
    assert _decide(_build_upstreams([1_000] * 3, age_s=20.0), fallback_memory_share=1.2)[0] is None


def test_engine_with_late_tokens_gets_nothing_and_one_long_step_alone_does_no_harm():
    upstreams = _build_upstreams([4_000])
    slow = LoadReport(in_flight=10, kv_used_tokens=4_000, kv_total_tokens=10_000, step_s=0.3)
    upstreams[0].update_report(slow, NOW_S)
    assert _decide(upstreams)[0] is upstreams[0]
    distribution = LengthDistribution([LengthCount(50.0, 1)])
    upstreams[0].start(InFlightRequest(10, 100, distribution), NOW_S)
    for _ in range(50):
        upstreams[0].record_gap(0.1)
    assert _decide(upstreams) == [None] * 20


@pytest.mark.parametrize(("held", "remaining"), [(100.0, 50.0), (50.0, 400.0), (0.0, 100.0)])
def test_expected_peak_is_the_highest_point_of_growth_and_decay(held, remaining):
    count = 20.0
    samples = [
        sum(held + horizon for length in _exponential_lengths(remaining) if length > horizon)
        / 2000
        * count
        for horizon in range(0, 1500, 10)
    ]
    assert expected_peak_tokens(count, held, remaining) == pytest.approx(max(samples), rel=0.1)


def _exponential_lengths(mean):
    rng = random.Random(2)
    return [rng.expovariate(1.0 / mean) for _ in range(2000)]
