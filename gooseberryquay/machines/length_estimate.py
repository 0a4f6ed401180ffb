"""Output lengths learned online for each workspace, service and kind of work."""

from array import array
from bisect import bisect_right
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass
from math import inf
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from gooseberryquay.ids import ServiceId, WorkKind, WorkspaceId

__all__ = [
    "MIN_REMAINING_TOKENS",
    "LengthCount",
    "LengthDistribution",
    "LengthEstimator",
    "LengthInterval",
]

MAX_LENGTH_TOKENS = 131_072
SIGNIFICANT_DIGITS = 1
MAX_KEYS = 1024
MIN_RECORDS = 12
RECORDS_PER_HISTOGRAM = 256
RECORDS_PER_REFRESH = 32
DEFAULT_LENGTHS_TOKENS = (8.0, 64.0, 256.0, 700.0)
TAIL_GROWTH = 0.25
MIN_REMAINING_TOKENS = 4.0


class _Key(NamedTuple):
    workspace: WorkspaceId | None
    service: ServiceId
    kind: WorkKind | None


@dataclass(frozen=True)
class LengthCount:
    """Number of outputs of one length."""

    length_tokens: float
    count: int


@dataclass(frozen=True, slots=True)
class LengthInterval:
    """Interval of lengths below `end_tokens`, with the mean length of outputs that reach it.

    There is no mean beyond the longest known length.
    """

    end_tokens: float
    mean_tokens: float | None


class LengthDistribution:
    """Distribution of output lengths; `counts` must be in ascending order of length."""

    def __init__(self, counts: Sequence[LengthCount]) -> None:
        self._lengths = array("d", [each.length_tokens for each in counts])
        self._suffix_counts = _suffix_sums([float(each.count) for each in counts])
        suffix_tokens = _suffix_sums([each.length_tokens * each.count for each in counts])
        pairs = zip(suffix_tokens[:-1], self._suffix_counts[:-1], strict=True)
        self._suffix_means = array("d", [tokens / count for tokens, count in pairs])
        self.mean_tokens = self._suffix_means[0]
        self._quantiles: dict[float, float] = {}
        squares = sum(each.length_tokens**2 * each.count for each in counts)
        self.mean_residual_tokens = squares / max(1.0, 2.0 * suffix_tokens[0])

    def remaining_tokens(self, generated_tokens: int) -> float:
        """Return the expected number of further tokens after `generated_tokens`."""
        mean_tokens = self.interval_at(generated_tokens).mean_tokens
        if mean_tokens is None:
            return max(MIN_REMAINING_TOKENS, generated_tokens * TAIL_GROWTH)
        return max(MIN_REMAINING_TOKENS, mean_tokens - generated_tokens)

    def interval_at(self, generated_tokens: int) -> LengthInterval:
        """Return the interval that contains `generated_tokens`."""
        first = bisect_right(self._lengths, generated_tokens)
        if first == len(self._lengths):
            return LengthInterval(inf, None)
        return LengthInterval(self._lengths[first], self._suffix_means[first])

    def quantile_tokens(self, share: float) -> float:
        """Return the length that a share of outputs does not exceed, in tokens."""
        found = self._quantiles.get(share)
        if found is None:
            found = self._quantiles[share] = self._find_quantile(share)
        return found

    def _find_quantile(self, share: float) -> float:
        count_above = self._suffix_counts[0] * (1.0 - share)
        for length_tokens, suffix_count in zip(self._lengths, self._suffix_counts[1:], strict=True):
            if suffix_count <= count_above:
                return length_tokens
        return self._lengths[-1]


def _suffix_sums(values: Sequence[float]) -> "array[float]":
    sums = array("d", [0.0])
    for value in reversed(values):
        sums.append(sums[-1] + value)
    return sums[::-1]


class _RecentLengths:
    """Two histograms of recent lengths, rotated so that old records are dropped."""

    def __init__(self) -> None:
        self._older: HdrHistogram | None = None
        self._newer = _new_histogram()
        self._newer_count = 0
        self._since_refresh = 0
        self.count = 0
        self._distribution: LengthDistribution | None = None

    def record(self, length_tokens: int) -> None:
        self._newer.record_value(min(MAX_LENGTH_TOKENS, max(1, length_tokens)))
        self._newer_count += 1
        self.count += 1
        self._since_refresh += 1
        if self._newer_count >= RECORDS_PER_HISTOGRAM:
            self._older, self._newer, self._newer_count = self._newer, _new_histogram(), 0
        if self._since_refresh >= RECORDS_PER_REFRESH:
            self._distribution = None

    def distribution(self) -> LengthDistribution:
        if self._distribution is None:
            self._distribution = self._compute_distribution()
            self._since_refresh = 0
        return self._distribution

    def _compute_distribution(self) -> LengthDistribution:
        merged = _new_histogram()
        merged.add(self._newer)
        if self._older is not None:
            merged.add(self._older)
        return LengthDistribution(
            [
                LengthCount(float(each.value_iterated_to), each.count_at_value_iterated_to)
                for each in merged.get_recorded_iterator()
            ]
        )


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_LENGTH_TOKENS, SIGNIFICANT_DIGITS)


class LengthEstimator:
    """Estimate output lengths from finished requests; callers must serialize the calls."""

    def __init__(self, scale: float = 1.0, max_keys: int = MAX_KEYS) -> None:
        self._scale = scale
        self._max_keys = max_keys
        self._recent: OrderedDict[_Key, _RecentLengths] = OrderedDict()

    @property
    def key_count(self) -> int:
        """Return the number of retained keys."""
        return len(self._recent)

    def record(
        self, workspace: WorkspaceId, service: ServiceId, kind: WorkKind, length_tokens: int
    ) -> None:
        """Record the length of one finished output."""
        scaled_tokens = round(length_tokens * self._scale)
        for key in _keys_of(workspace, service, kind):
            recent = self._recent.get(key)
            if recent is None:
                recent = self._recent[key] = _RecentLengths()
            recent.record(scaled_tokens)
            self._recent.move_to_end(key)
        while len(self._recent) > self._max_keys:
            self._recent.popitem(last=False)

    def distribution(
        self, workspace: WorkspaceId, service: ServiceId, kind: WorkKind, max_tokens: int
    ) -> LengthDistribution:
        """Return the most specific distribution that has enough records."""
        for key in _keys_of(workspace, service, kind):
            recent = self._recent.get(key)
            if recent is not None and recent.count >= MIN_RECORDS:
                return recent.distribution()
        longest_tokens = float(max(1, max_tokens))
        return _default_distribution(longest_tokens)

    def service_distribution(self, service: ServiceId) -> LengthDistribution:
        """Return the distribution over all requests of a service."""
        recent = self._recent.get(_Key(None, service, None))
        if recent is None or recent.count < MIN_RECORDS:
            return _default_distribution(DEFAULT_LENGTHS_TOKENS[-1])
        return recent.distribution()


def _default_distribution(longest_tokens: float) -> LengthDistribution:
    return LengthDistribution(
        [LengthCount(min(each, longest_tokens), 1) for each in DEFAULT_LENGTHS_TOKENS]
    )


def _keys_of(workspace: WorkspaceId, service: ServiceId, kind: WorkKind) -> tuple[_Key, _Key, _Key]:
    return (
        _Key(workspace, service, kind),
        _Key(None, service, kind),
        _Key(None, service, None),
    )
