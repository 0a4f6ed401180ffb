"""Seeded open-loop arrivals: the kind, workspace and time of each call."""

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
    """Kinds of calls."""

    SUMMARY = "summary"
    CHECK = "check"
    POSTING = "posting"
    LOOKUP = "lookup"

    def is_generation(self) -> bool:
        """Return whether the call goes to a model service."""
        return self in (CallKind.SUMMARY, CallKind.CHECK)


@dataclass(frozen=True)
class LoadPlan:
    """Parameters of the arrivals of one run.

    The rate is distributed over `workspaces` by Zipf's law, largest first. The share of a kind is
    its fraction of all calls. A burst adds `burst_size` simultaneous summaries.
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
        """Return the time from arrival to deadline of a call, in seconds."""
        match kind:
            case CallKind.SUMMARY:
                return self.summary_deadline_s
            case CallKind.CHECK:
                return self.check_deadline_s
            case CallKind.POSTING | CallKind.LOOKUP:
                return self.plain_deadline_s


@dataclass(frozen=True)
class Arrival:
    """One planned call; `at_s` counts from the start of the run."""

    number: int
    at_s: float
    kind: CallKind
    workspace: WorkspaceId
    output_tokens: int
    prompt: str


def plan_arrivals(plan: LoadPlan) -> list[Arrival]:
    """Draw all arrivals of a run and return them in order of time."""
    rng = random.Random(plan.seed)
    drawn = [(at_s, _draw_kind(plan, rng)) for at_s in _draw_times(plan, rng)]
    drawn += [(at_s, CallKind.SUMMARY) for at_s in _draw_burst_times(plan, rng)]
    drawn.sort(key=lambda each: each[0])
    return [
        _draw_arrival(plan, number, at_s, kind, rng) for number, (at_s, kind) in enumerate(drawn)
    ]


def _draw_times(plan: LoadPlan, rng: random.Random) -> Iterator[float]:
    at_s = rng.expovariate(plan.rate_per_s)
    while at_s < plan.duration_s:
        yield at_s
        at_s += rng.expovariate(plan.rate_per_s)


def _draw_burst_times(plan: LoadPlan, rng: random.Random) -> Iterator[float]:
    if plan.burst_every_s <= 0:
        return
    at_s = rng.expovariate(1 / plan.burst_every_s)
    while at_s < plan.duration_s:
        yield from [at_s] * plan.burst_size
        at_s += rng.expovariate(1 / plan.burst_every_s)


def _draw_kind(plan: LoadPlan, rng: random.Random) -> CallKind:
    shares = {CallKind.SUMMARY: plan.summary_share, CallKind.CHECK: plan.check_share}
    if plan.plain_service is not None:
        shares[CallKind.POSTING] = plan.posting_share
        shares[CallKind.LOOKUP] = plan.lookup_share
    return rng.choices(list(shares), list(shares.values()))[0]


def _draw_arrival(
    plan: LoadPlan, number: int, at_s: float, kind: CallKind, rng: random.Random
) -> Arrival:
    workspace_weights = [1 / (rank + 1) for rank in range(len(plan.workspaces))]
    workspace = rng.choices(plan.workspaces, workspace_weights)[0]
    output_tokens = _draw_output_tokens(plan, kind, rng)
    prompt = _draw_prompt(plan, workspace, number, rng)
    return Arrival(number, at_s, kind, workspace, output_tokens, prompt)


def _draw_output_tokens(plan: LoadPlan, kind: CallKind, rng: random.Random) -> int:
    match kind:
        case CallKind.SUMMARY:
            median, sigma = plan.summary_tokens_median, plan.summary_tokens_sigma
        case CallKind.CHECK:
            median, sigma = plan.check_tokens_median, plan.check_tokens_sigma
        case CallKind.POSTING | CallKind.LOOKUP:
            return 0
    drawn = round(rng.lognormvariate(log(median), sigma))
    return min(MAX_OUTPUT_TOKENS[kind.value], max(1, drawn))


def _draw_prompt(plan: LoadPlan, workspace: WorkspaceId, number: int, rng: random.Random) -> str:
    """Return a prompt whose first half is shared by the workspace, like a system prompt."""
    tokens = rng.lognormvariate(log(plan.prompt_tokens_median), 0.5)
    sentences = max(2, round(tokens * 4 / len(SENTENCE)))
    shared = "".join(SENTENCE.format(number=workspace, line=line) for line in range(sentences // 2))
    own = "".join(
        SENTENCE.format(number=number, line=line) for line in range(sentences - sentences // 2)
    )
    return shared + own
