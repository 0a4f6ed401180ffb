"""Output lengths learnt online for each workspace, service and kind of work."""

from array import array
from bisect import bisect_right
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass
from math import inf
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from gooseberryquay.ids import ServiceId, WorkKind, WorkspaceId

__all__ = ["MIN_REMAINING_TOKENS", "LengthCount", "LengthCurve", "LengthEstimator", "LengthSpan"]

MAX_LENGTH_TOKENS = 131_072
SIGNIFICANT_DIGITS = 1
MAX_KEYS = 1024
MIN_RECORDS = 12
RECORDS_PER_GENERATION = 256
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
    """Count outputs of one length."""

    length_tokens: float
    count: int


@dataclass(frozen=True, slots=True)
class LengthSpan:
    """Give the mean length of all outputs that reach a span of lengths ending before `end_tokens`.

    Beyond the longest length known there is no mean.
    """

    end_tokens: float
    mean_tokens: float | None


class LengthCurve:
    """Hold the distribution of output lengths, given in rising order."""

    def __init__(self, counts: Sequence[LengthCount]) -> None:
        self._lengths = array("d", [each.length_tokens for each in counts])
        self._counts_from = _sum_from_end([float(each.count) for each in counts])
        tokens_from = _sum_from_end([each.length_tokens * each.count for each in counts])
        pairs = zip(tokens_from[:-1], self._counts_from[:-1], strict=True)
        self._means_from = array("d", [tokens / count for tokens, count in pairs])
        self.mean_tokens = self._means_from[0]
        self._quantiles: dict[float, float] = {}
        squares = sum(each.length_tokens**2 * each.count for each in counts)
        self.residual_tokens = squares / max(1.0, 2.0 * tokens_from[0])

    def remaining_tokens(self, generated_tokens: int) -> float:
        """Give the expected further tokens of an output that has come this far."""
        mean_tokens = self.span_at(generated_tokens).mean_tokens
        if mean_tokens is None:
            return max(MIN_REMAINING_TOKENS, generated_tokens * TAIL_GROWTH)
        return max(MIN_REMAINING_TOKENS, mean_tokens - generated_tokens)

    def span_at(self, generated_tokens: int) -> LengthSpan:
        """Give the span that an output which has come this far is in."""
        first = bisect_right(self._lengths, generated_tokens)
        if first == len(self._lengths):
            return LengthSpan(inf, None)
        return LengthSpan(self._lengths[first], self._means_from[first])

    def quantile_tokens(self, share: float) -> float:
        """Give the length that a share of outputs doesn't exceed."""
        found = self._quantiles.get(share)
        if found is None:
            found = self._quantiles[share] = self._find_quantile(share)
        return found

    def _find_quantile(self, share: float) -> float:
        count_above = self._counts_from[0] * (1.0 - share)
        for length_tokens, count_from in zip(self._lengths, self._counts_from[1:], strict=True):
            if count_from <= count_above:
                return length_tokens
        return self._lengths[-1]


def _sum_from_end(values: Sequence[float]) -> "array[float]":
    sums = array("d", [0.0])
    for value in reversed(values):
        sums.append(sums[-1] + value)
    return sums[::-1]


class _RecentLengths:
    """Keep two generations of records, so that old ones fade."""

    def __init__(self) -> None:
        self._older: HdrHistogram | None = None
        self._newer = _new_histogram()
        self._newer_count = 0
        self._since_refresh = 0
        self.count = 0
        self._curve: LengthCurve | None = None

    def record(self, length_tokens: int) -> None:
        self._newer.record_value(min(MAX_LENGTH_TOKENS, max(1, length_tokens)))
        self._newer_count += 1
        self.count += 1
        self._since_refresh += 1
        if self._newer_count >= RECORDS_PER_GENERATION:
            self._older, self._newer, self._newer_count = self._newer, _new_histogram(), 0
        if self._since_refresh >= RECORDS_PER_REFRESH:
            self._curve = None

    def curve(self) -> LengthCurve:
        if self._curve is None:
            self._curve = self._compute_curve()
            self._since_refresh = 0
        return self._curve

    def _compute_curve(self) -> LengthCurve:
        merged = _new_histogram()
        merged.add(self._newer)
        if self._older is not None:
            merged.add(self._older)
        return LengthCurve(
            [
                LengthCount(float(each.value_iterated_to), each.count_at_value_iterated_to)
                for each in merged.get_recorded_iterator()
            ]
        )


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_LENGTH_TOKENS, SIGNIFICANT_DIGITS)


class LengthEstimator:
    """Learn output lengths from finished work; the caller serialises the calls."""

    def __init__(self, scale: float = 1.0, max_keys: int = MAX_KEYS) -> None:
        self._scale = scale
        self._max_keys = max_keys
        self._recent: OrderedDict[_Key, _RecentLengths] = OrderedDict()

    @property
    def key_count(self) -> int:
        """Give the number of keys that are kept."""
        return len(self._recent)

    def record(
        self, workspace: WorkspaceId, service: ServiceId, kind: WorkKind, length_tokens: int
    ) -> None:
        """Take in the length of one finished output."""
        scaled_tokens = round(length_tokens * self._scale)
        for key in _keys_of(workspace, service, kind):
            recent = self._recent.get(key)
            if recent is None:
                recent = self._recent[key] = _RecentLengths()
            recent.record(scaled_tokens)
            self._recent.move_to_end(key)
        while len(self._recent) > self._max_keys:
            self._recent.popitem(last=False)

    def curve(
        self, workspace: WorkspaceId, service: ServiceId, kind: WorkKind, max_tokens: int
    ) -> LengthCurve:
        """Give the most specific curve that has enough records."""
        for key in _keys_of(workspace, service, kind):
            recent = self._recent.get(key)
            if recent is not None and recent.count >= MIN_RECORDS:
                return recent.curve()
        longest_tokens = float(max(1, max_tokens))
        return _default_curve(longest_tokens)

    def service_curve(self, service: ServiceId) -> LengthCurve:
        """Give the curve of all work of a service."""
        recent = self._recent.get(_Key(None, service, None))
        if recent is None or recent.count < MIN_RECORDS:
            return _default_curve(DEFAULT_LENGTHS_TOKENS[-1])
        return recent.curve()


def _default_curve(longest_tokens: float) -> LengthCurve:
    return LengthCurve(
        [LengthCount(min(each, longest_tokens), 1) for each in DEFAULT_LENGTHS_TOKENS]
    )


def _keys_of(workspace: WorkspaceId, service: ServiceId, kind: WorkKind) -> tuple[_Key, _Key, _Key]:
    return (
        _Key(workspace, service, kind),
        _Key(None, service, kind),
        _Key(None, service, None),
    )
