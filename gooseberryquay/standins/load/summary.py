"""Results of a run for one variant."""

from collections.abc import Iterator, Mapping

from hdrh.histogram import HdrHistogram
from pydantic import BaseModel, Field

__all__ = ["KindSummary", "Percentiles", "SecondSummary", "UpstreamSummary", "VariantSummary"]

US_PER_MS = 1000


class Percentiles(BaseModel):
    """Percentiles of a time in milliseconds."""

    count: int = 0
    p50_ms: float = 0.0
    p95_ms: float = 0.0
    p99_ms: float = 0.0
    p999_ms: float = 0.0
    max_ms: float = 0.0

    @staticmethod
    def of(histogram: HdrHistogram) -> "Percentiles":
        """Return the percentiles of a histogram of microseconds."""
        if not histogram.get_total_count():
            return Percentiles()

        def at(percentile: float) -> float:
            return float(histogram.get_value_at_percentile(percentile)) / US_PER_MS

        return Percentiles(
            count=int(histogram.get_total_count()),
            p50_ms=at(50),
            p95_ms=at(95),
            p99_ms=at(99),
            p999_ms=at(99.9),
            max_ms=float(histogram.get_max_value()) / US_PER_MS,
        )

    def __str__(self) -> str:
        return (
            f"p50 {self.p50_ms:.1f} p95 {self.p95_ms:.1f} p99 {self.p99_ms:.1f} "
            f"p99.9 {self.p999_ms:.1f} max {self.max_ms:.1f} ms (n={self.count})"
        )


class KindSummary(BaseModel):
    """Counts of the calls of one kind; a deadline miss ended late or was open past its deadline."""

    calls: int = 0
    answered: int = 0
    refused: int = 0
    broken: int = 0
    deadline_misses: int = 0


class SecondSummary(BaseModel):
    """Counts of one second of a run, by the time of each event."""

    second: int
    arrived: int = 0
    answered: int = 0
    refused: int = 0
    broken: int = 0
    tokens: int = 0
    late_gaps: int = 0


class UpstreamSummary(BaseModel):
    """Sums of the counts of all upstream stand-ins during the run.

    A duplicate run is any run after the first of a generation or of an idempotency key, at any
    upstream.
    """

    runs: int = 0
    duplicate_runs: int = 0
    tokens: int = 0
    preemptions: int = 0
    stall_s: float = 0.0
    cold_cap_exceeded: int = 0
    cancelled: int = 0
    prompt_tokens: int = 0
    cached_prompt_tokens: int = 0
    unreachable: int = 0


class VariantSummary(BaseModel):
    """All measurements of one variant.

    `stall_s` is the sum of all token gaps longer than `stall_gap_s`, each at its full length.
    `start_lag` is the delay of the tool itself in starting the calls. An incomplete refusal lacks
    either whether the request ran or when to retry.
    """

    variant: str
    seed: int
    rate_per_s: float
    duration_s: float
    stall_gap_s: float
    first_token: Percentiles = Percentiles()
    token_gap: Percentiles = Percentiles()
    plain_answer: Percentiles = Percentiles()
    start_lag: Percentiles = Percentiles()
    tokens: int = 0
    stall_s: float = 0.0
    stalls: int = 0
    kinds: dict[str, KindSummary] = Field(default_factory=dict)
    refusals: dict[str, int] = Field(default_factory=dict)
    failures: dict[str, int] = Field(default_factory=dict)
    resumes: int = 0
    out_of_order_tokens: int = 0
    duplicate_tokens: int = 0
    foreign_tokens: int = 0
    wrong_answers: int = 0
    incomplete_refusals: int = 0
    unfinished: int = 0
    not_started: int = 0
    upstreams: UpstreamSummary | None = None
    seconds: list[SecondSummary] = Field(default_factory=list)

    def lines(self) -> Iterator[str]:
        """Yield the results as lines of text, without the counts by second."""
        yield f"{self.variant}: seed {self.seed}, {self.rate_per_s}/s for {self.duration_s} s"
        yield f"  time to first token  {self.first_token}"
        yield f"  between tokens       {self.token_gap}"
        yield f"  plain answers        {self.plain_answer}"
        yield f"  tool's start lag     {self.start_lag}"
        yield (
            f"  stall time           {self.stall_s:.2f} s in {self.stalls} gaps over "
            f"{self.stall_gap_s * 1000:.0f} ms, {self.tokens} tokens"
        )
        for name, kind in self.kinds.items():
            yield f"  {name:<20} {_pairs(kind.model_dump())}"
        yield f"  refusals             {_pairs(self.refusals)}"
        yield f"  failures             {_pairs(self.failures)}"
        yield (
            f"  wrong                out_of_order={self.out_of_order_tokens} "
            f"duplicate={self.duplicate_tokens} foreign={self.foreign_tokens} "
            f"answers={self.wrong_answers} incomplete_refusals={self.incomplete_refusals}"
        )
        yield (
            f"  other                resumes={self.resumes} unfinished={self.unfinished} "
            f"not_started={self.not_started}"
        )
        if self.upstreams is not None:
            yield f"  upstreams            {_pairs(self.upstreams.model_dump())}"


def _pairs(values: Mapping[str, int | float]) -> str:
    return " ".join(f"{key}={round(value, 2)}" for key, value in values.items()) or "none"
