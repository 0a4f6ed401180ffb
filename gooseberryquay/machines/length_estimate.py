"""Output lengths learnt online for each workspace, service and kind of work."""

from bisect import bisect_right
from collections import OrderedDict
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from gooseberryquay.ids import ServiceId, WorkKind, WorkspaceId

__all__ = ["LengthCurve", "LengthEstimator"]

MAX_LENGTH_TOKENS = 131_072
SIGNIFICANT_DIGITS = 1
MAX_KEYS = 1024
MIN_RECORDS = 12
RECORDS_PER_GENERATION = 256
RECORDS_PER_REFRESH = 16
CURVE_POINTS = 32
DEFAULT_LENGTHS_TOKENS = (8.0, 64.0, 256.0, 700.0)
TAIL_GROWTH = 0.25
MIN_REMAINING_TOKENS = 4.0


@dataclass(frozen=True)
class _Key:
    workspace: WorkspaceId | None
    service: ServiceId
    kind: WorkKind | None


class LengthCurve:
    """Hold equally likely output lengths in rising order."""

    def __init__(self, lengths_tokens: tuple[float, ...]) -> None:
        self._lengths = lengths_tokens
        self._sums_above = _sum_from_end(lengths_tokens)
        self.mean_tokens = self._sums_above[0] / len(lengths_tokens)
        squares = sum(length * length for length in lengths_tokens)
        self.residual_tokens = squares / max(1.0, 2.0 * self._sums_above[0])

    def remaining_tokens(self, generated_tokens: int) -> float:
        """Give the expected further tokens of an output that has come this far."""
        first = bisect_right(self._lengths, generated_tokens)
        count = len(self._lengths) - first
        if count == 0:
            return max(MIN_REMAINING_TOKENS, generated_tokens * TAIL_GROWTH)
        return max(MIN_REMAINING_TOKENS, self._sums_above[first] / count - generated_tokens)

    def quantile_tokens(self, share: float) -> float:
        """Give the length that a share of outputs doesn't exceed."""
        position = min(len(self._lengths) - 1, int(share * len(self._lengths)))
        return self._lengths[position]


def _sum_from_end(values: tuple[float, ...]) -> tuple[float, ...]:
    sums = [0.0]
    for value in reversed(values):
        sums.append(sums[-1] + value)
    return tuple(reversed(sums))


class _RecentLengths:
    """Keep two generations of records, so that old ones fade."""

    def __init__(self) -> None:
        self._older: HdrHistogram | None = None
        self._newer = _new_histogram()
        self._since_refresh = 0
        self.count = 0
        self._curve: LengthCurve | None = None

    def record(self, length_tokens: int) -> None:
        self._newer.record_value(min(MAX_LENGTH_TOKENS, max(1, length_tokens)))
        self.count += 1
        self._since_refresh += 1
        if self._newer.get_total_count() >= RECORDS_PER_GENERATION:
            self._older, self._newer = self._newer, _new_histogram()
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
        shares = ((index + 0.5) * 100.0 / CURVE_POINTS for index in range(CURVE_POINTS))
        return LengthCurve(tuple(float(merged.get_value_at_percentile(each)) for each in shares))


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_LENGTH_TOKENS, SIGNIFICANT_DIGITS)


class LengthEstimator:
    """Learn output lengths from finished work; the caller serialises the calls."""

    def __init__(self, scale: float = 1.0, max_keys: int = MAX_KEYS) -> None:
        self._scale = scale
        self._max_keys = max_keys
        self._recent: OrderedDict[_Key, _RecentLengths] = OrderedDict()

    def record(
        self, workspace: WorkspaceId, service: ServiceId, kind: WorkKind, length_tokens: int
    ) -> None:
        """Take in the length of one finished output."""
        scaled_tokens = round(length_tokens * self._scale)
        for key in _keys_of(workspace, service, kind):
            recent = self._recent.setdefault(key, _RecentLengths())
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
        return LengthCurve(tuple(min(each, longest_tokens) for each in DEFAULT_LENGTHS_TOKENS))

    def service_curve(self, service: ServiceId) -> LengthCurve:
        """Give the curve of all work of a service."""
        recent = self._recent.get(_Key(None, service, None))
        if recent is None or recent.count < MIN_RECORDS:
            return LengthCurve(DEFAULT_LENGTHS_TOKENS)
        return recent.curve()


def _keys_of(workspace: WorkspaceId, service: ServiceId, kind: WorkKind) -> tuple[_Key, _Key, _Key]:
    return (
        _Key(workspace, service, kind),
        _Key(None, service, kind),
        _Key(None, service, None),
    )
