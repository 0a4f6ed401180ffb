"""Aggregation of the outcomes of one variant's calls."""

import threading
from collections import Counter, defaultdict

from gooseberryquay.standins.load.arrivals import Arrival, LoadPlan
from gooseberryquay.standins.load.latencies import US_PER_S, Latencies
from gooseberryquay.standins.load.outcome import CallEnd, CallOutcome
from gooseberryquay.standins.load.snapshot import TallySnapshot, with_percentiles
from gooseberryquay.standins.load.summary import (
    KindSummary,
    SecondSummary,
    VariantSummary,
)

__all__ = ["Tally"]


class Tally:
    """Aggregate outcomes into the summary of one variant; safe for use by many threads."""

    def __init__(self, variant: str, plan: LoadPlan, stall_gap_s: float) -> None:
        self._plan = plan
        self._stall_gap_us = stall_gap_s * US_PER_S
        self._lock = threading.Lock()
        self._open: dict[int, CallOutcome] = {}
        self._is_closed = False
        self._latencies = Latencies()
        self._stall_us = 0
        self._kinds: defaultdict[str, KindSummary] = defaultdict(KindSummary)
        self._refusals: Counter[str] = Counter()
        self._failures: Counter[str] = Counter()
        self._seconds: dict[int, SecondSummary] = {}
        self._summary = VariantSummary(
            variant=variant,
            seed=plan.seed,
            rate_per_s=plan.rate_per_s,
            duration_s=plan.duration_s,
            stall_gap_s=stall_gap_s,
        )

    @property
    def open_calls(self) -> int:
        """Return the number of calls in progress."""
        return len(self._open)

    def record_arrival(self, arrival: Arrival) -> None:
        """Count a planned call."""
        with self._lock:
            self._kinds[arrival.kind.value].calls += 1
            self._second(arrival.at_s).arrived += 1

    def record_start(self, outcome: CallOutcome) -> None:
        """Add a call in progress, which `close` counts if it has not ended."""
        with self._lock:
            self._open[outcome.arrival.number] = outcome

    def record_not_started(self) -> None:
        """Count a call that was not sent because too many calls were open."""
        with self._lock:
            self._summary.not_started += 1

    def record_end(self, outcome: CallOutcome) -> None:
        """Count the outcome of a call that has ended."""
        with self._lock:
            if self._is_closed:
                return
            self._open.pop(outcome.arrival.number, None)
            self._count_end(outcome)
            self._count_tokens(outcome)
            self._count_seconds(outcome)

    def progress(self) -> str:
        """Return the current counts as one line."""
        with self._lock:
            answered = sum(kind.answered for kind in self._kinds.values())
            refused = sum(kind.refused for kind in self._kinds.values())
            broken = sum(kind.broken for kind in self._kinds.values())
            name = self._summary.variant
            return (
                f"{name}: open {len(self._open)} answered {answered} "
                f"refused {refused} broken {broken}"
            )

    def close(self, now_s: float) -> TallySnapshot:
        """Return the results, with the tokens of open calls so far; later ends are ignored."""
        with self._lock:
            self._is_closed = True
            for outcome in self._open.values():
                with outcome.lock:
                    self._count_unfinished(outcome, now_s)
            summary = self._summary.model_copy(
                update={
                    "stall_s": self._stall_us / US_PER_S,
                    "kinds": dict(self._kinds),
                    "refusals": dict(self._refusals),
                    "failures": dict(self._failures),
                    "unfinished": len(self._open),
                    "seconds": [self._seconds[second] for second in sorted(self._seconds)],
                },
                deep=True,
            )
            return TallySnapshot(
                summary=with_percentiles(summary, self._latencies),
                latencies=self._latencies.encode(),
            )

    def _count_end(self, outcome: CallOutcome) -> None:
        kind = self._kinds[outcome.arrival.kind.value]
        is_late = outcome.duration_s > self._plan.deadline_s(outcome.arrival.kind)
        second = self._second(outcome.finished_at_s)
        kind.deadline_misses += is_late
        self._summary.wrong_answers += outcome.is_wrong_answer
        self._summary.incomplete_refusals += outcome.is_incomplete_refusal
        match outcome.end:
            case CallEnd.ANSWERED:
                kind.answered += 1
                second.answered += 1
            case CallEnd.REFUSED:
                kind.refused += 1
                second.refused += 1
                self._refusals[outcome.failure] += 1
            case CallEnd.BROKEN:
                kind.broken += 1
                second.broken += 1
                self._failures[outcome.failure] += 1

    def _count_unfinished(self, outcome: CallOutcome, now_s: float) -> None:
        kind = outcome.arrival.kind
        is_late = now_s - outcome.arrival.at_s > self._plan.deadline_s(kind)
        self._kinds[kind.value].deadline_misses += is_late
        idle_us = int((now_s - outcome.last_token_at_s) * US_PER_S)
        if outcome.tokens and idle_us > self._stall_gap_us:
            outcome.gaps_us.append(idle_us)
        self._count_tokens(outcome)
        self._count_seconds(outcome)

    def _count_tokens(self, outcome: CallOutcome) -> None:
        summary, latencies = self._summary, self._latencies
        planned_at_s = outcome.arrival.at_s
        start_lag_us = (outcome.started_at_s - planned_at_s) * US_PER_S
        latencies.record(latencies.start_lag, start_lag_us)
        summary.tokens += outcome.tokens
        summary.resumes += outcome.resumes
        summary.out_of_order_tokens += outcome.counts.out_of_order
        summary.duplicate_tokens += outcome.counts.duplicate
        summary.foreign_tokens += outcome.counts.foreign
        if outcome.first_token_at_s is not None:
            first_token_us = (outcome.first_token_at_s - planned_at_s) * US_PER_S
            latencies.record(latencies.first_token, first_token_us)
        elif not outcome.arrival.kind.is_generation() and outcome.end is CallEnd.ANSWERED:
            latencies.record(latencies.plain_answer, outcome.duration_s * US_PER_S)
        for gap_us in outcome.gaps_us:
            latencies.record(latencies.token_gap, gap_us)
            if gap_us > self._stall_gap_us:
                self._stall_us += gap_us
                summary.stalls += 1
        if outcome.coalesced_tokens:
            latencies.record(latencies.token_gap, 1, outcome.coalesced_tokens)

    def _count_seconds(self, outcome: CallOutcome) -> None:
        for second, tokens in outcome.tokens_by_second.items():
            self._second(second).tokens += tokens
        for second, late_gaps in outcome.late_gaps_by_second.items():
            self._second(second).late_gaps += late_gaps

    def _second(self, at_s: float) -> SecondSummary:
        second = int(at_s)
        if second not in self._seconds:
            self._seconds[second] = SecondSummary(second=second)
        return self._seconds[second]
