"""Latency histograms of one variant, which can be merged across processes."""

from hdrh.histogram import HdrHistogram
from pydantic import BaseModel

__all__ = ["US_PER_S", "EncodedLatencies", "Latencies"]

US_PER_S = 1_000_000
MAX_RECORDED_US = 3600 * US_PER_S
SIGNIFICANT_DIGITS = 3


class EncodedLatencies(BaseModel):
    """Histograms in the encoding of the HDR library."""

    first_token: str
    token_gap: str
    plain_answer: str
    start_lag: str


class Latencies:
    """Histograms of times in microseconds; not safe for concurrent use."""

    def __init__(self) -> None:
        self.first_token = _histogram()
        self.token_gap = _histogram()
        self.plain_answer = _histogram()
        self.start_lag = _histogram()

    def encode(self) -> EncodedLatencies:
        """Encode all histograms."""
        return EncodedLatencies(
            first_token=self.first_token.encode().decode(),
            token_gap=self.token_gap.encode().decode(),
            plain_answer=self.plain_answer.encode().decode(),
            start_lag=self.start_lag.encode().decode(),
        )

    def add(self, other: EncodedLatencies) -> None:
        """Merge the histograms of another process."""
        self.first_token.decode_and_add(other.first_token)
        self.token_gap.decode_and_add(other.token_gap)
        self.plain_answer.decode_and_add(other.plain_answer)
        self.start_lag.decode_and_add(other.start_lag)

    @staticmethod
    def record(histogram: HdrHistogram, value_us: float, count: int = 1) -> None:
        """Record a time `count` times, limited to the range of the histogram."""
        histogram.record_value(min(MAX_RECORDED_US, max(1, int(value_us))), count)


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_RECORDED_US, SIGNIFICANT_DIGITS)
