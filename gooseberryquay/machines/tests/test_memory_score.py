"""Scores with cached estimates equal scores recomputed from the full history."""

import math
import random
from dataclasses import replace

import pytest

from gooseberryquay.machines import memory_score as rule
from gooseberryquay.machines.in_flight_request import InFlightRequest
from gooseberryquay.machines.length_estimate import LengthCount, LengthDistribution
from gooseberryquay.machines.load_report import LoadReport, UpstreamCondition
from gooseberryquay.machines.memory_score import ChoiceContext, MemoryScorer, RequestEstimate
from gooseberryquay.machines.tests.choice_builders import build_upstream, build_work
from gooseberryquay.machines.upstream import OTHER_ENTRIES_WEIGHT, OWN_LOAD_REFRESH_S, Upstream

STEPS = 1500
LENGTHS = (3, 20, 150, 400, 1500)
DISTRIBUTION = LengthDistribution([LengthCount(float(each), 5) for each in LENGTHS])
CONDITIONS = [UpstreamCondition.WARM] * 9 + [UpstreamCondition.COLD]


def _reference_remaining(work):
    longer = [each for each in LENGTHS if each > work.generated_tokens]
    if longer:
        expected = max(4.0, sum(longer) / len(longer) - work.generated_tokens)
    else:
        expected = max(4.0, work.generated_tokens * 0.25)
    return min(expected, max(0, work.max_tokens - work.generated_tokens))


def _reference_peak(count, held, remaining):
    if remaining <= held:
        return count * held
    return count * remaining * math.exp(held / remaining - 1.0)


class ReferenceUpstream:
    """Keep every start, end and report, and recompute all terms."""

    def __init__(self, upstream):
        self.upstream = upstream
        self.changes = []
        self.report = None
        self.reported_at_s = 0.0

    def update_report(self, report, now_s):
        if now_s - report.age_s >= self.reported_at_s:
            self.report = report
            self.reported_at_s = now_s - report.age_s

    def score(self, context):
        estimate, work = context.estimate, context.estimate.work
        upstream, report, sharing = self.upstream, self.report, context.sharing_entries
        unseen = [each for each in self.changes if each[0] > self.reported_at_s]
        requests_per_change = 1.0 + OTHER_ENTRIES_WEIGHT * (sharing - 1)
        own = list(upstream.own_requests)
        own_held = sum(each.prompt_tokens + each.generated_tokens for each in own)
        own_remaining = sum(_reference_remaining(each) for each in own)
        in_flight = (
            report.in_flight + report.queued + requests_per_change * sum(each[1] for each in unseen)
        )
        in_flight = max(len(own), in_flight)
        if report.condition is UpstreamCondition.COLD:
            return rule.COLD_PENALTY + in_flight / upstream.declaration.cold_in_flight_max
        growth = 0.5 + 0.5 * (in_flight + 1) / (report.in_flight + 1)
        gap_share = upstream.step_s * growth / work.token_gap_s
        if gap_share > 0.95 and own and upstream.token_gap_s > 0.95 * work.token_gap_s:
            return None
        steps = (context.now_s - self.reported_at_s) / report.step_s
        held = (
            report.kv_used_tokens
            + requests_per_change * sum(each[2] for each in unseen)
            + len(own) * steps
        )
        held = max(own_held, held) + work.prompt_tokens
        others = max(0.0, in_flight - len(own)) * estimate.other_remaining_tokens
        remaining = (own_remaining + others) / max(1.0, in_flight) * in_flight
        remaining += estimate.expected_tokens
        count = in_flight + 1
        share = _reference_peak(count, held / count, remaining / count) / report.kv_total_tokens
        freshness_weight = min(1.0, 2.0 / max(1e-9, context.now_s - self.reported_at_s))
        share = freshness_weight * share + (1 - freshness_weight) * context.fallback_memory_share
        if share > 0.8:
            return None
        own_count = len(own) + 1
        own_peak = _reference_peak(
            own_count,
            (work.prompt_tokens + own_held) / own_count,
            (estimate.expected_tokens + own_remaining) / own_count,
        )
        score = 0.7 * sharing * own_peak / report.kv_total_tokens + 0.3 * share + 0.2 * gap_share
        return score + (0.5 if report.queued else 0.0)


def _report(rng):
    return LoadReport(
        in_flight=rng.randrange(30),
        queued=rng.choice([0, 0, 0, 2]),
        kv_used_tokens=rng.randrange(8000),
        kv_total_tokens=32_768,
        step_s=rng.choice([0.03, 0.05]),
        age_s=rng.random(),
        condition=rng.choice(CONDITIONS),
    )


def _context(rng, now_s):
    work = build_work(prompt_tokens=rng.randrange(500))
    estimate = RequestEstimate(work, rng.uniform(5, 500), False, rng.uniform(50, 400))
    sharing = rng.choice([1.0, 8.0])
    return ChoiceContext(estimate, None, sharing, rng.random() / 2, now_s)


def _start(rng, reference, now_s):
    work = InFlightRequest(rng.randrange(500), rng.choice([100, 4000]), DISTRIBUTION)
    reference.upstream.start(work, now_s)
    reference.changes.append((now_s, 1, work.prompt_tokens))


def _end(rng, reference, now_s):
    work = rng.choice(sorted(reference.upstream.own_requests, key=lambda each: each.held_tokens))
    reference.upstream.end(work, now_s)
    reference.changes.append((now_s, -1, -(work.prompt_tokens + work.generated_tokens)))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_kept_terms_score_as_terms_worked_out_anew(seed):
    rng = random.Random(seed)
    reference = ReferenceUpstream(Upstream(build_upstream()))
    upstream = reference.upstream
    now_s = 100.0
    scored = 0
    for _ in range(STEPS):
        now_s += OWN_LOAD_REFRESH_S * rng.uniform(1.1, 4.0)
        match rng.randrange(5):
            case 0 | 1 if len(upstream.own_requests) < 8:
                _start(rng, reference, now_s)
            case 2 if upstream.own_requests:
                _end(rng, reference, now_s)
            case 3:
                report = _report(rng)
                upstream.update_report(report, now_s)
                reference.update_report(report, now_s)
            case _:
                for work in upstream.own_requests:
                    work.generated_tokens += rng.randrange(60)
                upstream.record_gap(rng.uniform(0.02, 0.12))
        if upstream.report is None:
            continue
        context = _context(rng, now_s)
        expected = reference.score(context)
        got = MemoryScorer(context, 0.8, ()).compute_score(upstream)
        assert (got is None) == (expected is None)
        if expected is not None:
            assert got == pytest.approx(expected, rel=1e-9)
            scored += 1
    assert scored > STEPS / 4


def test_prefix_holder_scores_lower():
    upstream = Upstream(build_upstream(1))
    upstream.update_report(LoadReport(kv_total_tokens=10_000, step_s=0.02), 1.0)
    context = _context(random.Random(1), 1.0)
    context = replace(context, fallback_memory_share=0.0)
    without = MemoryScorer(context, 0.8, ("engine-2",)).compute_score(upstream)
    assert MemoryScorer(context, 0.8, ("engine-1",)).compute_score(upstream) < without
