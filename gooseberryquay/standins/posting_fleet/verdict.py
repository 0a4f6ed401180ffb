"""Check the responses that callers got for postings against the runs at the service."""

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from gooseberryquay.errors import Ran
from gooseberryquay.ids import IdempotencyKey
from gooseberryquay.standins.posting_fleet.node import PostingReply

__all__ = ["Attempt", "Verdict", "check_history", "format_totals"]


@dataclass(frozen=True)
class Attempt:
    """One request of a caller; `reply` is None if there was no response."""

    key: IdempotencyKey
    sent_at_s: float
    received_at_s: float
    reply: PostingReply | None


@dataclass(frozen=True)
class Verdict:
    """Counts of outcomes and violations in one schedule, with its faults to reproduce them."""

    seed: int
    postings: int
    second_runs: int
    false_not_run: int
    wrong_answers: int
    never_ran: int
    refused_not_run: int
    answers: Mapping[str, int] = field(default_factory=dict)
    final_answers: Mapping[str, int] = field(default_factory=dict)
    faults: Mapping[str, int] = field(default_factory=dict)
    traces: tuple[str, ...] = ()

    def is_correct(self) -> bool:
        """Return whether the schedule had no violation."""
        return not (self.second_runs or self.false_not_run or self.wrong_answers)

    def __str__(self) -> str:
        return (
            f"seed={self.seed} postings={self.postings} second_runs={self.second_runs} "
            f"false_not_run={self.false_not_run} wrong_answers={self.wrong_answers} "
            f"never_ran={self.never_ran} refused_not_run={self.refused_not_run} "
            f"answers={dict(self.answers)} final={dict(self.final_answers)} "
            f"faults={dict(self.faults)}" + "".join(f"\n  {trace}" for trace in self.traces)
        )


def check_history(
    seed: int,
    attempts: Sequence[Attempt],
    final: Sequence[Attempt],
    run_times_s: Mapping[IdempotencyKey, Sequence[float]],
    faults: Mapping[str, int],
) -> Verdict:
    """Compare all attempts with the runs at the service."""
    all_attempts = [*attempts, *final]
    keys = {attempt.key for attempt in all_attempts}
    return Verdict(
        seed=seed,
        postings=len(keys),
        second_runs=sum(len(run_times_s.get(key, ())) > 1 for key in keys),
        false_not_run=sum(_is_false_not_run(each, run_times_s) for each in all_attempts),
        wrong_answers=sum(_is_wrong_answer(each) for each in all_attempts),
        never_ran=sum(key not in run_times_s for key in keys),
        refused_not_run=sum(_reports_not_run(each) for each in all_attempts),
        answers=Counter(_outcome(each) for each in attempts),
        final_answers=Counter(_outcome(each) for each in final),
        faults=faults,
        traces=tuple(
            _trace(each, all_attempts, run_times_s)
            for each in all_attempts
            if _is_false_not_run(each, run_times_s)
        ),
    )


def format_totals(verdicts: Sequence[Verdict]) -> str:
    """Return the totals of many schedules as one line."""
    return (
        f"schedules={len(verdicts)} postings={sum(each.postings for each in verdicts)} "
        f"second_runs={sum(each.second_runs for each in verdicts)} "
        f"false_not_run={sum(each.false_not_run for each in verdicts)} "
        f"wrong_answers={sum(each.wrong_answers for each in verdicts)} "
        f"never_ran={sum(each.never_ran for each in verdicts)} "
        f"refused_not_run={sum(each.refused_not_run for each in verdicts)} "
        f"answers={dict(sum((Counter(each.answers) for each in verdicts), Counter()))}"
    )


def _reports_not_run(attempt: Attempt) -> bool:
    return attempt.reply is not None and attempt.reply.ran is Ran.NO


def _is_false_not_run(
    attempt: Attempt, run_times_s: Mapping[IdempotencyKey, Sequence[float]]
) -> bool:
    run_before = any(at_s < attempt.received_at_s for at_s in run_times_s.get(attempt.key, ()))
    return _reports_not_run(attempt) and run_before


def _trace(
    attempt: Attempt,
    all_attempts: Sequence[Attempt],
    run_times_s: Mapping[IdempotencyKey, Sequence[float]],
) -> str:
    """Return all requests for the key of a false refusal, in seconds since it was sent."""
    origin_s = attempt.sent_at_s
    runs = [round(at_s - origin_s, 3) for at_s in run_times_s.get(attempt.key, ())]
    responses = [
        f"{each.sent_at_s - origin_s:.3f}..{each.received_at_s - origin_s:.3f} {_outcome(each)}"
        f" ran={each.reply.ran if each.reply else None}"
        for each in all_attempts
        if each.key == attempt.key
    ]
    return f"key {attempt.key} ran at {runs}: {'; '.join(responses)}"


def _is_wrong_answer(attempt: Attempt) -> bool:
    if attempt.reply is None or attempt.reply.failure is not None:
        return False
    return f'"key":"{attempt.key}"' not in attempt.reply.body


def _outcome(attempt: Attempt) -> str:
    if attempt.reply is None:
        return "no_answer"
    return attempt.reply.failure or "answered"
