"""Seeded open-loop arrivals: what is asked for, by whom and when."""

import random
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from math import log

from gooseberryquay.ids import ServiceId, WorkspaceId

__all__ = ["Arrival", "CallKind", "LoadPlan", "plan_arrivals"]

SENTENCE = "Lot {number}: fillet weights and notes of the shift, line {line}. "
MAX_OUTPUT_TOKENS = {"summary": 4000, "check": 40}


class CallKind(Enum):
    """Tell the four kinds of calls apart."""

    SUMMARY = "summary"
    CHECK = "check"
    POSTING = "posting"
    LOOKUP = "lookup"

    def is_generation(self) -> bool:
        """Tell whether the call goes to a model service."""
        return self in (CallKind.SUMMARY, CallKind.CHECK)


@dataclass(frozen=True)
class LoadPlan:
    """Set the arrivals of one run; `workspaces` share the rate by Zipf's law, largest first.

    A kind's share is its part of all calls. Bursts add `burst_size` summaries at once.
    """

    workspaces: tuple[WorkspaceId, ...]
    model: ServiceId
    plain_service: ServiceId | None = None
    posting_operation: str = "post-weights"
    lookup_operation: str = "find-lot"
    rate_per_s: float = 10.0
    duration_s: float = 30.0
    seed: int = 1
    summary_share: float = 0.3
    check_share: float = 0.4
    posting_share: float = 0.15
    lookup_share: float = 0.15
    summary_tokens_median: float = 250.0
    summary_tokens_sigma: float = 0.9
    check_tokens_median: float = 6.0
    check_tokens_sigma: float = 0.5
    prompt_tokens_median: float = 300.0
    burst_every_s: float = 0.0
    burst_size: int = 0
    summary_deadline_s: float = 120.0
    check_deadline_s: float = 10.0
    plain_deadline_s: float = 10.0

    def deadline_s(self, kind: CallKind) -> float:
        """Give the time that a call may take."""
        match kind:
            case CallKind.SUMMARY:
                return self.summary_deadline_s
            case CallKind.CHECK:
                return self.check_deadline_s
            case CallKind.POSTING | CallKind.LOOKUP:
                return self.plain_deadline_s


@dataclass(frozen=True)
class Arrival:
    """Describe one call; `at_s` counts from the start of the run."""

    number: int
    at_s: float
    kind: CallKind
    workspace: WorkspaceId
    output_tokens: int
    prompt: str


def plan_arrivals(plan: LoadPlan) -> list[Arrival]:
    """Draw all arrivals of a run in order of time."""
    randomness = random.Random(plan.seed)
    drawn = [(at_s, _draw_kind(plan, randomness)) for at_s in _draw_times(plan, randomness)]
    drawn += [(at_s, CallKind.SUMMARY) for at_s in _draw_burst_times(plan, randomness)]
    drawn.sort(key=lambda each: each[0])
    return [
        _draw_arrival(plan, number, at_s, kind, randomness)
        for number, (at_s, kind) in enumerate(drawn)
    ]


def _draw_times(plan: LoadPlan, randomness: random.Random) -> Iterator[float]:
    at_s = randomness.expovariate(plan.rate_per_s)
    while at_s < plan.duration_s:
        yield at_s
        at_s += randomness.expovariate(plan.rate_per_s)


def _draw_burst_times(plan: LoadPlan, randomness: random.Random) -> Iterator[float]:
    if plan.burst_every_s <= 0:
        return
    at_s = randomness.expovariate(1 / plan.burst_every_s)
    while at_s < plan.duration_s:
        yield from [at_s] * plan.burst_size
        at_s += randomness.expovariate(1 / plan.burst_every_s)


def _draw_kind(plan: LoadPlan, randomness: random.Random) -> CallKind:
    shares = {CallKind.SUMMARY: plan.summary_share, CallKind.CHECK: plan.check_share}
    if plan.plain_service is not None:
        shares[CallKind.POSTING] = plan.posting_share
        shares[CallKind.LOOKUP] = plan.lookup_share
    return randomness.choices(list(shares), list(shares.values()))[0]


def _draw_arrival(
    plan: LoadPlan, number: int, at_s: float, kind: CallKind, randomness: random.Random
) -> Arrival:
    workspace_weights = [1 / (rank + 1) for rank in range(len(plan.workspaces))]
    workspace = randomness.choices(plan.workspaces, workspace_weights)[0]
    output_tokens = _draw_output_tokens(plan, kind, randomness)
    prompt = _draw_prompt(plan, workspace, number, randomness)
    return Arrival(number, at_s, kind, workspace, output_tokens, prompt)


def _draw_output_tokens(plan: LoadPlan, kind: CallKind, randomness: random.Random) -> int:
    match kind:
        case CallKind.SUMMARY:
            median, sigma = plan.summary_tokens_median, plan.summary_tokens_sigma
        case CallKind.CHECK:
            median, sigma = plan.check_tokens_median, plan.check_tokens_sigma
        case CallKind.POSTING | CallKind.LOOKUP:
            return 0
    drawn = round(randomness.lognormvariate(log(median), sigma))
    return min(MAX_OUTPUT_TOKENS[kind.value], max(1, drawn))


def _draw_prompt(
    plan: LoadPlan, workspace: WorkspaceId, number: int, randomness: random.Random
) -> str:
    """Begin with text that all prompts of the workspace share, as system prompts do."""
    tokens = randomness.lognormvariate(log(plan.prompt_tokens_median), 0.5)
    sentences = max(2, round(tokens * 4 / len(SENTENCE)))
    shared = "".join(SENTENCE.format(number=workspace, line=line) for line in range(sentences // 2))
    own = "".join(
        SENTENCE.format(number=number, line=line) for line in range(sentences - sentences // 2)
    )
    return shared + own
