import random

from hdrh.histogram import HdrHistogram
from hypothesis import given, settings
from hypothesis import strategies as st

from gooseberryquay.machines.length_estimate import LengthCount, LengthDistribution, LengthEstimator


def _record(estimator, workspace, kind, lengths):
    for length in lengths:
        estimator.record(workspace, "model", kind, length)


def test_learns_each_kind_and_falls_back_to_wider_keys():
    estimator = LengthEstimator()
    _record(estimator, "a", "quick", [10] * 50)
    _record(estimator, "a", "long", [500] * 50)
    assert estimator.distribution("a", "model", "quick", 1000).mean_tokens < 20
    assert estimator.distribution("a", "model", "long", 1000).mean_tokens > 400
    assert estimator.distribution("new", "model", "quick", 1000).mean_tokens < 20
    assert 100 < estimator.distribution("new", "model", "other", 1000).mean_tokens < 400


def test_forgets_old_lengths():
    estimator = LengthEstimator()
    _record(estimator, "a", "k", [10] * 1000)
    _record(estimator, "a", "k", [800] * 600)
    assert estimator.distribution("a", "model", "k", 1000).mean_tokens > 600


def test_keys_are_bounded():
    estimator = LengthEstimator(max_keys=50)
    for number in range(500):
        _record(estimator, f"w{number}", "k", [10])
    assert estimator.key_count == 50
    assert estimator.distribution("w1", "model", "k", 1000).mean_tokens < 20


def test_remaining_length_is_corrected_while_it_runs():
    rng = random.Random(3)
    lengths = [int(rng.lognormvariate(5, 1.2)) + 1 for _ in range(2000)]
    estimator = LengthEstimator()
    _record(estimator, "a", "k", lengths)
    distribution = estimator.distribution("a", "model", "k", 100_000)
    for generated in (0, 50, 200, 800):
        longer = [each - generated for each in lengths[-464:] if each > generated]
        truth = sum(longer) / len(longer)
        assert 0.8 * truth <= distribution.remaining_tokens(generated) <= 1.25 * truth


@settings(max_examples=50, deadline=None)
@given(st.lists(st.floats(1, 100_000), min_size=1, max_size=40), st.integers(0, 200_000))
def test_remaining_length_is_positive_and_bounded(lengths, generated):
    distribution = LengthDistribution([LengthCount(each, 1) for each in sorted(lengths)])
    remaining = distribution.remaining_tokens(generated)
    assert 0 < remaining <= max(*lengths, generated) + 4


def test_lengths_are_rounded_as_by_a_histogram_of_one_significant_digit():
    rng = random.Random(5)
    lengths = [min(131_072, int(rng.lognormvariate(5, 2)) + 1) for _ in range(200)]
    histogram = HdrHistogram(1, 131_072, 1)
    for length in lengths:
        histogram.record_value(length)
    counts = [
        LengthCount(float(each.value_iterated_to), each.count_at_value_iterated_to)
        for each in histogram.get_recorded_iterator()
    ]
    estimator = LengthEstimator()
    _record(estimator, "a", "k", lengths)
    distribution, expected = estimator.distribution("a", "model", "k", 1000), LengthDistribution(
        counts
    )
    for generated in range(0, 140_000, 7):
        assert distribution.remaining_tokens(generated) == expected.remaining_tokens(generated)
    assert distribution.quantile_tokens(0.1) == expected.quantile_tokens(0.1)
