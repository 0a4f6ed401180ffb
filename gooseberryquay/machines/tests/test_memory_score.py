"""Scores with kept terms against scores worked out anew from everything that happened."""

import math
import random
from dataclasses import replace

import pytest

from gooseberryquay.machines import memory_score as rule
from gooseberryquay.machines.length_estimate import LengthCount, LengthCurve
from gooseberryquay.machines.load_report import LoadReport, UpstreamCondition
from gooseberryquay.machines.memory_score import Candidate, Decision, MemoryScore
from gooseberryquay.machines.tests.choice_builders import build_upstream, build_work
from gooseberryquay.machines.upstream import OTHERS_WEIGHT, OWN_LOAD_REFRESH_S, Upstream
from gooseberryquay.machines.upstream_work import UpstreamWork

STEPS = 1500
LENGTHS = (3, 20, 150, 400, 1500)
CURVE = LengthCurve([LengthCount(float(each), 5) for each in LENGTHS])
CONDITIONS = [UpstreamCondition.WARM] * 9 + [UpstreamCondition.COLD]


def _plain_remaining(work):
    longer = [each for each in LENGTHS if each > work.generated_tokens]
    if longer:
        expected = max(4.0, sum(longer) / len(longer) - work.generated_tokens)
    else:
        expected = max(4.0, work.generated_tokens * 0.25)
    return min(expected, max(0, work.max_tokens - work.generated_tokens))


def _plain_peak(count, held, remaining):
    if remaining <= held:
        return count * held
    return count * remaining * math.exp(held / remaining - 1.0)


class PlainUpstream:
    """Keep every start, end and report, and work all terms out anew."""

    def __init__(self, upstream):
        self.upstream = upstream
        self.changes = []
        self.report = None
        self.reported_at_s = 0.0

    def take_report(self, report, now_s):
        if now_s - report.age_s >= self.reported_at_s:
            self.report = report
            self.reported_at_s = now_s - report.age_s

    def score(self, decision):
        candidate, work = decision.candidate, decision.candidate.work
        upstream, report, sharing = self.upstream, self.report, decision.sharing_entries
        unseen = [each for each in self.changes if each[0] > self.reported_at_s]
        spread = 1.0 + OTHERS_WEIGHT * (sharing - 1)
        own = list(upstream.work)
        own_held = sum(each.prompt_tokens + each.generated_tokens for each in own)
        own_remaining = sum(_plain_remaining(each) for each in own)
        in_flight = report.in_flight + report.queued + spread * sum(each[1] for each in unseen)
        in_flight = max(len(own), in_flight)
        if report.condition is UpstreamCondition.COLD:
            return rule.COLD_PENALTY + in_flight / upstream.declaration.cold_in_flight_max
        growth = 0.5 + 0.5 * (in_flight + 1) / (report.in_flight + 1)
        gap_share = upstream.step_s * growth / work.token_gap_s
        if gap_share > 0.95 and own and upstream.token_gap_s > 0.95 * work.token_gap_s:
            return None
        steps = (decision.now_s - self.reported_at_s) / report.step_s
        held = report.kv_used_tokens + spread * sum(each[2] for each in unseen) + len(own) * steps
        held = max(own_held, held) + work.prompt_tokens
        others = max(0.0, in_flight - len(own)) * candidate.mix_remaining_tokens
        remaining = (own_remaining + others) / max(1.0, in_flight) * in_flight
        remaining += candidate.expected_tokens
        count = in_flight + 1
        share = _plain_peak(count, held / count, remaining / count) / report.kv_total_tokens
        trust = min(1.0, 2.0 / max(1e-9, decision.now_s - self.reported_at_s))
        share = trust * share + (1 - trust) * decision.usual_memory_share
        if share > 0.8:
            return None
        own_count = len(own) + 1
        own_peak = _plain_peak(
            own_count,
            (work.prompt_tokens + own_held) / own_count,
            (candidate.expected_tokens + own_remaining) / own_count,
        )
        score = 0.7 * sharing * own_peak / report.kv_total_tokens + 0.3 * share + 0.2 * gap_share
        return score + (0.5 if report.queued else 0.0)


def _report(randomness):
    return LoadReport(
        in_flight=randomness.randrange(30),
        queued=randomness.choice([0, 0, 0, 2]),
        kv_used_tokens=randomness.randrange(8000),
        kv_total_tokens=32_768,
        step_s=randomness.choice([0.03, 0.05]),
        age_s=randomness.random(),
        condition=randomness.choice(CONDITIONS),
    )


def _decision(randomness, now_s):
    work = build_work(prompt_tokens=randomness.randrange(500))
    candidate = Candidate(work, randomness.uniform(5, 500), False, randomness.uniform(50, 400))
    sharing = randomness.choice([1.0, 8.0])
    return Decision(candidate, None, sharing, randomness.random() / 2, now_s)


def _start(randomness, plain, now_s):
    work = UpstreamWork(randomness.randrange(500), randomness.choice([100, 4000]), CURVE)
    plain.upstream.start(work, now_s)
    plain.changes.append((now_s, 1, work.prompt_tokens))


def _end(randomness, plain, now_s):
    work = randomness.choice(sorted(plain.upstream.work, key=lambda each: each.held_tokens))
    plain.upstream.end(work, now_s)
    plain.changes.append((now_s, -1, -(work.prompt_tokens + work.generated_tokens)))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_kept_terms_score_as_terms_worked_out_anew(seed):
    randomness = random.Random(seed)
    plain = PlainUpstream(Upstream(build_upstream()))
    upstream = plain.upstream
    now_s = 100.0
    scored = 0
    for _ in range(STEPS):
        now_s += OWN_LOAD_REFRESH_S * randomness.uniform(1.1, 4.0)
        match randomness.randrange(5):
            case 0 | 1 if len(upstream.work) < 8:
                _start(randomness, plain, now_s)
            case 2 if upstream.work:
                _end(randomness, plain, now_s)
            case 3:
                report = _report(randomness)
                upstream.take_report(report, now_s)
                plain.take_report(report, now_s)
            case _:
                for work in upstream.work:
                    work.generated_tokens += randomness.randrange(60)
                upstream.saw_gap(randomness.uniform(0.02, 0.12))
        if upstream.report is None:
            continue
        decision = _decision(randomness, now_s)
        expected = plain.score(decision)
        got = MemoryScore(decision, 0.8, ()).of(upstream)
        assert (got is None) == (expected is None)
        if expected is not None:
            assert got == pytest.approx(expected, rel=1e-9)
            scored += 1
    assert scored > STEPS / 4


def test_prefix_holder_scores_lower():
    upstream = Upstream(build_upstream(1))
    upstream.take_report(LoadReport(kv_total_tokens=10_000, step_s=0.02), 1.0)
    decision = _decision(random.Random(1), 1.0)
    decision = replace(decision, usual_memory_share=0.0)
    without = MemoryScore(decision, 0.8, ("engine-2",)).of(upstream)
    assert MemoryScore(decision, 0.8, ("engine-1",)).of(upstream) < without
