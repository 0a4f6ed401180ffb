"""Run a brown-out against whole entries and assert that retries do not amplify it."""

from gooseberryquay.standins.experiments.brown_out import BrownOutExperiment, BrownOutPlan

ATTEMPTS_PER_REQUEST_MAX = 1.2


def assert_brown_out_is_not_amplified(kind):
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
