"""Figures of one variant from one process, which can be joined with those of others."""

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

__all__ = ["TallySnapshot", "join_snapshots", "with_percentiles"]

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
    """Pair a summary with the histograms behind its percentiles."""

    summary: VariantSummary
    latencies: EncodedLatencies


def join_snapshots(snapshots: Sequence[TallySnapshot]) -> VariantSummary:
    """Join the figures of several processes that ran shards of the same plan."""
    latencies = Latencies()
    joined = snapshots[0].summary.model_copy(deep=True)
    for snapshot in snapshots:
        latencies.add(snapshot.latencies)
    for snapshot in snapshots[1:]:
        _add(joined, snapshot.summary)
    joined.seconds = _join_seconds([each.summary.seconds for each in snapshots])
    return with_percentiles(joined, latencies)


def with_percentiles(summary: VariantSummary, latencies: Latencies) -> VariantSummary:
    """Set a summary's percentiles from histograms."""
    update = {
        "first_token": Percentiles.of(latencies.first_token),
        "token_gap": Percentiles.of(latencies.token_gap),
        "plain_answer": Percentiles.of(latencies.plain_answer),
        "start_lag": Percentiles.of(latencies.start_lag),
    }
    return summary.model_copy(update=update)


def _add(joined: VariantSummary, other: VariantSummary) -> None:
    for name in SUMMED_FIELDS:
        setattr(joined, name, getattr(joined, name) + getattr(other, name))
    for name, kind in other.kinds.items():
        joined.kinds[name] = _sum_models(joined.kinds.get(name, KindSummary()), kind)
    joined.refusals = _sum_counts(joined.refusals, other.refusals)
    joined.failures = _sum_counts(joined.failures, other.failures)


def _join_seconds(parts: Sequence[Sequence[SecondSummary]]) -> list[SecondSummary]:
    joined: dict[int, SecondSummary] = {}
    for second in (each for part in parts for each in part):
        known = joined.get(second.second)
        joined[second.second] = second if known is None else _sum_seconds(known, second)
    return [joined[second] for second in sorted(joined)]


def _sum_seconds(one: SecondSummary, other: SecondSummary) -> SecondSummary:
    return _sum_models(one, other).model_copy(update={"second": one.second})


def _sum_models(one: M, other: M) -> M:
    sums = {name: value + getattr(other, name) for name, value in one}
    return one.model_copy(update=sums)


def _sum_counts(one: Mapping[str, int], other: Mapping[str, int]) -> dict[str, int]:
    return {name: one.get(name, 0) + other.get(name, 0) for name in {**one, **other}}
