"""Counts of answers of one software version on one route, which add up over entries."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = [
    "PRESENT_MIN",
    "SLOW_FACTOR",
    "AnswerCounts",
    "EngineCounts",
    "TimeHistogram",
    "merge_counts",
    "slow_bucket",
    "slow_threshold",
    "time_bucket",
]

MS_PER_S = 1000.0
# Wider buckets blur the bound of a slow answer: with two per doubling, a version whose answers all
# took 3.5 times longer passed in 12 of 100 simulated roll-outs.
BUCKETS_PER_DOUBLING = 4
BUCKET_MAX = 80
# Engines of one version differ in speed by a factor of two, so their median lies below that. The
# target's engines have less work before the verdict, which hides a part of their slowness.
SLOW_FACTOR = 2.5
# A median of fewer answers is not compared with.
PRESENT_MIN = 6
# An entry that is busy itself delays answers by about as much.
SLOW_MIN_S = 0.03


def time_bucket(duration_s: float) -> int:
    """Return the bucket of a duration."""
    doublings = math.log2(max(1.0, duration_s * MS_PER_S))
    return min(BUCKET_MAX, int(BUCKETS_PER_DOUBLING * doublings))


@dataclass
class TimeHistogram:
    """Count durations in buckets of logarithmic width."""

    counts: dict[int, int] = field(default_factory=dict)

    def record(self, duration_s: float) -> None:
        """Count a duration."""
        bucket = time_bucket(duration_s)
        self.counts[bucket] = self.counts.get(bucket, 0) + 1

    def add(self, counts: Mapping[int, int], sign: int = 1) -> None:
        """Add the counts of another histogram, or take them away again."""
        for bucket, count in counts.items():
            self.counts[bucket] = self.counts.get(bucket, 0) + sign * count

    @property
    def total(self) -> int:
        """Return the number of durations."""
        return sum(self.counts.values())

    def quantile(self, share: float) -> int | None:
        """Return the bucket below which a share of the durations lies, None without any."""
        left = share * self.total
        for bucket in sorted(self.counts):
            left -= self.counts[bucket]
            if left <= 0.0:
                return bucket
        return None

    def above(self, bucket: int) -> int:
        """Return the number of durations in higher buckets."""
        return sum(count for each, count in self.counts.items() if each > bucket)


@dataclass
class AnswerCounts:
    """Count answers, failures, times to the first part and times between parts.

    A call that is answered as a whole has a time to its end and none between parts.
    """

    answers: int = 0
    failures: int = 0
    first: TimeHistogram = field(default_factory=TimeHistogram)
    pace: TimeHistogram = field(default_factory=TimeHistogram)

    def add(self, other: "AnswerCounts", sign: int = 1) -> None:
        """Add the counts of another entry, or take them away again."""
        self.answers += sign * other.answers
        self.failures += sign * other.failures
        self.first.add(other.first.counts, sign)
        self.pace.add(other.pace.counts, sign)


@dataclass
class EngineCounts:
    """Count the answers of one engine of the target version, and those that were bad."""

    answers: int = 0
    bad: int = 0


def merge_counts(
    into: dict[str, AnswerCounts], other: Mapping[str, AnswerCounts], sign: int = 1
) -> None:
    """Add counts by route, or take them away again."""
    for route, counts in other.items():
        into.setdefault(route, AnswerCounts()).add(counts, sign)


def slow_bucket(present: TimeHistogram, factor: float = SLOW_FACTOR) -> int | None:
    """Return the highest bucket that is not slow, or None if too little is known."""
    if present.total < PRESENT_MIN:
        return None
    median = present.quantile(0.5)
    if median is None:
        return None
    slow = median + round(BUCKETS_PER_DOUBLING * math.log2(factor))
    return max(slow, time_bucket(SLOW_MIN_S))


def slow_threshold(present: TimeHistogram) -> float | None:
    """Return the duration in seconds above which an answer is slow, or None."""
    bucket = slow_bucket(present)
    return None if bucket is None else 2.0 ** ((bucket + 1) / BUCKETS_PER_DOUBLING) / MS_PER_S
