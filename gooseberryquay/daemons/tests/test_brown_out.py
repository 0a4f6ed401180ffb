"""Upstreams that fail or hang for a while, under open-loop load and with real processes."""

import pytest

from gooseberryquay.standins.experiments.brown_out import (
    BrownOut,
    BrownOutExperiment,
    BrownOutPlan,
)

ATTEMPTS_PER_REQUEST_MAX = 1.2


@pytest.mark.timeout(120)
@pytest.mark.parametrize("kind", list(BrownOut))
def test_brown_out_is_not_amplified_and_every_refusal_is_complete(kind):
    plan = BrownOutPlan(
        kind, rate_per_s=30.0, before_s=6.0, after_s=9.0, entries=3, engines=3, services=3
    )
    result = BrownOutExperiment(plan).run(seed=1)
    refused = sum(result.summary.refusals.values())
    assert refused > 0
    assert result.window_calls > 0
    assert result.window_amplification <= ATTEMPTS_PER_REQUEST_MAX, result.describe(kind)
    assert result.amplification <= ATTEMPTS_PER_REQUEST_MAX, result.describe(kind)
    assert result.summary.incomplete_refusals == 0, result.describe(kind)
    assert result.failed_after_recovery == 0, result.describe(kind)
