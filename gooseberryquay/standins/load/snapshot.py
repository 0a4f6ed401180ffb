"""Results of one variant from one process, which can be merged across processes."""

from collections.abc import Mapping, Sequence
from typing import TypeVar

from pydantic import BaseModel

from gooseberryquay.standins.load.latencies import EncodedLatencies, Latencies
from gooseberryquay.standins.load.summary import (
    KindSummary,
    Percentiles,
    SecondSummary,
    VariantSummary,
)

__all__ = ["TallySnapshot", "merge_snapshots", "with_percentiles"]

M = TypeVar("M", bound=BaseModel)
SUMMED_FIELDS = (
    "tokens",
    "stall_s",
    "stalls",
    "resumes",
    "out_of_order_tokens",
    "duplicate_tokens",
    "foreign_tokens",
    "wrong_answers",
    "incomplete_refusals",
    "unfinished",
    "not_started",
)


class TallySnapshot(BaseModel):
    """Summary of a variant with the histograms of its percentiles."""

    summary: VariantSummary
    latencies: EncodedLatencies


def merge_snapshots(snapshots: Sequence[TallySnapshot]) -> VariantSummary:
    """Merge the results of several processes that ran shards of the same plan."""
    latencies = Latencies()
    merged = snapshots[0].summary.model_copy(deep=True)
    for snapshot in snapshots:
        latencies.add(snapshot.latencies)
    for snapshot in snapshots[1:]:
        _add(merged, snapshot.summary)
    merged.seconds = _merge_seconds([each.summary.seconds for each in snapshots])
    return with_percentiles(merged, latencies)


def with_percentiles(summary: VariantSummary, latencies: Latencies) -> VariantSummary:
    """Return a copy of a summary with percentiles from histograms."""
    update = {
        "first_token": Percentiles.of(latencies.first_token),
        "token_gap": Percentiles.of(latencies.token_gap),
        "plain_answer": Percentiles.of(latencies.plain_answer),
        "start_lag": Percentiles.of(latencies.start_lag),
    }
    return summary.model_copy(update=update)


def _add(merged: VariantSummary, other: VariantSummary) -> None:
    for name in SUMMED_FIELDS:
        setattr(merged, name, getattr(merged, name) + getattr(other, name))
    for name, kind in other.kinds.items():
        merged.kinds[name] = _sum_models(merged.kinds.get(name, KindSummary()), kind)
    merged.refusals = _sum_counts(merged.refusals, other.refusals)
    merged.failures = _sum_counts(merged.failures, other.failures)


def _merge_seconds(parts: Sequence[Sequence[SecondSummary]]) -> list[SecondSummary]:
    merged: dict[int, SecondSummary] = {}
    for second in (each for part in parts for each in part):
        existing = merged.get(second.second)
        merged[second.second] = second if existing is None else _sum_seconds(existing, second)
    return [merged[second] for second in sorted(merged)]


def _sum_seconds(one: SecondSummary, other: SecondSummary) -> SecondSummary:
    return _sum_models(one, other).model_copy(update={"second": one.second})


def _sum_models(one: M, other: M) -> M:
    sums = {name: value + getattr(other, name) for name, value in one}
    return one.model_copy(update=sums)


def _sum_counts(one: Mapping[str, int], other: Mapping[str, int]) -> dict[str, int]:
    return {name: one.get(name, 0) + other.get(name, 0) for name in {**one, **other}}
