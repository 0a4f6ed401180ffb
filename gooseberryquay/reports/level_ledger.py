"""Service level counts over time, bounded in age and number of keys."""

from pydantic import BaseModel, Field

from gooseberryquay.reports.indicator import Indicator, IndicatorCounts

__all__ = ["ServiceLevelLedger", "merge_ledgers", "service_level_key"]

MINUTE_S = 60
HOUR_S = 3600
MINUTES_RETAINED = 60
HOURS_RETAINED = 25
MAX_KEYS = 128
OVERFLOW_KEY = "other/other/other"

KeyCounts = dict[Indicator, IndicatorCounts]
BucketCounts = dict[str, KeyCounts]


def service_level_key(workspace: str, service: str, kind: str) -> str:
    """Build the key under which counts are grouped."""
    return f"{workspace}/{service}/{kind}"


class ServiceLevelLedger(BaseModel):
    """Store counts per minute for an hour and per hour for a day, in buckets of wall clock time."""

    minutes: dict[int, BucketCounts] = Field(default_factory=dict)
    hours: dict[int, BucketCounts] = Field(default_factory=dict)

    def add(self, now_s: float, key: str, counts: KeyCounts) -> None:
        """Add counts at a wall clock time; new keys in a bucket beyond `MAX_KEYS` share one key."""
        _add_to_bucket(self.minutes, int(now_s) // MINUTE_S, key, counts)
        _add_to_bucket(self.hours, int(now_s) // HOUR_S, key, counts)

    def drop_expired(self, now_s: float) -> None:
        """Delete buckets past their retention."""
        _drop_before(self.minutes, int(now_s) // MINUTE_S - MINUTES_RETAINED)
        _drop_before(self.hours, int(now_s) // HOUR_S - HOURS_RETAINED)

    def merge(self, other: "ServiceLevelLedger") -> None:
        """Add all counts of another ledger to this one."""
        _merge_buckets(self.minutes, other.minutes)
        _merge_buckets(self.hours, other.hours)

    def keys_with_counts(self) -> set[str]:
        """Return every key that has counts."""
        return {key for bucket in (*self.minutes.values(), *self.hours.values()) for key in bucket}

    def counts_since(self, start_s: float, key: str, indicator: Indicator) -> IndicatorCounts:
        """Sum the counts since a wall clock time, using minutes if they reach back far enough."""
        buckets, bucket_s = self._buckets_since(start_s)
        total = IndicatorCounts()
        for number, bucket in buckets.items():
            if number * bucket_s + bucket_s > start_s and key in bucket:
                total = total.plus(bucket[key].get(indicator, IndicatorCounts()))
        return total

    def _buckets_since(self, start_s: float) -> tuple[dict[int, BucketCounts], int]:
        newest = max(self.minutes, default=0)
        is_by_minute = start_s // MINUTE_S >= newest - MINUTES_RETAINED
        return (self.minutes, MINUTE_S) if is_by_minute else (self.hours, HOUR_S)


def merge_ledgers(ledgers: list[ServiceLevelLedger]) -> ServiceLevelLedger:
    """Return the sum of the ledgers of several entries."""
    total = ServiceLevelLedger()
    for ledger in ledgers:
        total.merge(ledger)
    return total


def _add_to_bucket(
    buckets: dict[int, BucketCounts], number: int, key: str, counts: KeyCounts
) -> None:
    bucket = buckets.setdefault(number, {})
    if key not in bucket and len(bucket) >= MAX_KEYS:
        key = OVERFLOW_KEY
    totals = bucket.setdefault(key, {})
    for indicator, count in counts.items():
        totals[indicator] = totals.get(indicator, IndicatorCounts()).plus(count)


def _merge_buckets(buckets: dict[int, BucketCounts], others: dict[int, BucketCounts]) -> None:
    for number, other in others.items():
        bucket = buckets.setdefault(number, {})
        for key, counts in other.items():
            totals = bucket.setdefault(key, {})
            for indicator, count in counts.items():
                totals[indicator] = totals.get(indicator, IndicatorCounts()).plus(count)


def _drop_before(buckets: dict[int, BucketCounts], oldest: int) -> None:
    for number in [each for each in buckets if each < oldest]:
        del buckets[number]
