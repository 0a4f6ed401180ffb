"""Counts of answers that entries exchange while a roll-out is in progress."""

from collections.abc import Iterable
from typing import Any

from pydantic import BaseModel, Field, NonNegativeInt, ValidationError

from gooseberryquay.ids import UpstreamId
from gooseberryquay.rollouts.answer_counts import (
    AnswerCounts,
    EngineCounts,
    TimeHistogram,
    merge_counts,
)
from gooseberryquay.rollouts.course import RolloutCourse, RolloutPhase, Totals

__all__ = ["RolloutReport", "add_totals", "build_report", "parse_reports"]

MS_PER_S = 1000.0
# Keeps a report within a few KB.
ROUTES_MAX = 16
ENGINES_MAX = 64

_Pairs = list[tuple[NonNegativeInt, NonNegativeInt]]


class _Counts(BaseModel):
    answers: NonNegativeInt = Field(alias="n", default=0)
    failures: NonNegativeInt = Field(alias="f", default=0)
    first: _Pairs = Field(alias="a", default_factory=list)
    pace: _Pairs = Field(alias="p", default_factory=list)

    def counts(self) -> AnswerCounts:
        return AnswerCounts(
            self.answers,
            self.failures,
            TimeHistogram(dict(self.first)),
            TimeHistogram(dict(self.pace)),
        )


class RolloutReport(BaseModel):
    """Report the counts of one entry, or of all entries of a hub's cell, for one order."""

    service: str = Field(alias="s")
    target: str = Field(alias="t")
    age_ms: NonNegativeInt = Field(alias="g")
    phase: NonNegativeInt = Field(alias="h", default=0)
    present: list[str] = Field(alias="b", default_factory=list)
    requests: NonNegativeInt = Field(alias="q", default=0)
    exposed: NonNegativeInt = Field(alias="x", default=0)
    longest_ms: NonNegativeInt = Field(alias="l", default=0)
    of_target: dict[str, _Counts] = Field(alias="c", default_factory=dict)
    of_present: dict[str, _Counts] = Field(alias="d", default_factory=dict)
    engines: list[tuple[str, NonNegativeInt, NonNegativeInt]] = Field(
        alias="e", default_factory=list
    )

    @property
    def key(self) -> tuple[str, str]:
        """Return what identifies the order."""
        return self.service, self.target

    def totals(self) -> Totals:
        """Return the counts."""
        return Totals(
            requests=self.requests,
            exposed=self.exposed,
            longest_s=self.longest_ms / MS_PER_S,
            target={route: each.counts() for route, each in self.of_target.items()},
            present={route: each.counts() for route, each in self.of_present.items()},
            engines={UpstreamId(id): EngineCounts(n, bad) for id, n, bad in self.engines},
        )


def parse_reports(records: Iterable[Any]) -> list[RolloutReport]:
    """Return the well-formed reports; a malformed one does not invalidate the others."""
    found = []
    for record in records:
        try:
            found.append(RolloutReport.model_validate(record))
        except ValidationError:
            continue
    return found


def build_report(course: RolloutCourse, totals: Totals, now_s: float) -> dict[str, Any]:
    """Build the report for a peer, with the names of its wire format."""
    phase = RolloutPhase.REJECTED if course.is_rejected else course.phase
    report = RolloutReport(
        s=course.order.service,
        t=course.order.target,
        g=max(0, int((now_s - course.ordered_at_s) * MS_PER_S)),
        h=int(phase),
        b=sorted(course.present),
        q=totals.requests,
        x=totals.exposed,
        l=int(totals.longest_s * MS_PER_S),
        c={route: _record(each) for route, each in list(totals.target.items())[:ROUTES_MAX]},
        d={route: _record(each) for route, each in list(totals.present.items())[:ROUTES_MAX]},
        e=[(id, each.answers, each.bad) for id, each in list(totals.engines.items())[:ENGINES_MAX]],
    )
    return report.model_dump(by_alias=True, exclude_defaults=True)


def _record(counts: AnswerCounts) -> _Counts:
    return _Counts(
        n=counts.answers,
        f=counts.failures,
        a=sorted(each for each in counts.first.counts.items() if each[1]),
        p=sorted(each for each in counts.pace.counts.items() if each[1]),
    )


def add_totals(into: Totals, other: Totals, sign: int = 1) -> None:
    """Add the counts of other entries, or take them away again."""
    into.requests += sign * other.requests
    into.exposed += sign * other.exposed
    into.longest_s = max(into.longest_s, other.longest_s)
    merge_counts(into.target, other.target, sign)
    merge_counts(into.present, other.present, sign)
    for engine, counts in other.engines.items():
        known = into.engines.setdefault(engine, EngineCounts())
        known.answers += sign * counts.answers
        known.bad += sign * counts.bad
