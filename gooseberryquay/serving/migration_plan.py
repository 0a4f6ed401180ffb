"""Decide which runs leave an engine that is reclaimed, in which order and for which engine.

The load addressed: an engine with ten long runs of several entries needs about 2 s of its link for
copies of all of them, and leaves after 1.5 to 2.1 s. Entries exchange no messages for this: each
plans its own runs, with the totals of the engine that load messages state anyway.
"""

import random
from collections.abc import Collection, Sequence
from dataclasses import dataclass
from enum import Enum

from gooseberryquay.ids import RequestId, UpstreamId

__all__ = [
    "LeavingEngine",
    "LeavingRun",
    "LinkTerms",
    "MoveAction",
    "MoveTarget",
    "NextMove",
    "PlannedRun",
    "choose_target",
    "first_queue_s",
    "is_link_free",
    "may_back_up",
    "next_move",
    "planned_order",
]

BITS_PER_BYTE = 8
BITS_PER_MBIT = 1_000_000
# Engines copy to another zone at half the rate.
OTHER_ZONE_FACTOR = 2.0
# The lengths of responses are estimates; without a hint, half of the maximum is expected.
STAY_SHARE = 0.5
# A response that is longer than expected goes on for this share of what it has.
OVERDUE_SHARE = 0.25
# Prompts are read at 14 tokens per ms.
READ_TOKENS_PER_S = 14_000.0
# A step takes 7 ms or more; used until a run has sent two events.
DEFAULT_PACE_S = 0.035
# Calls to the engine and its answer, beside the copy itself.
CALL_S = 0.02
# Until the first event of the run that continues a stream.
RESUME_S = 0.03
# Well within the pause that callers allow, for routes that declare none.
PAUSE_MAX_S = 0.06
# Final copies are ordered so long before the engine is expected to vanish. More delays those that
# would find the link free a moment later; a stream whose final copy comes too late goes on from its
# earlier one, after a similar pause.
FINAL_RESERVE_S = 0.1
# The time is short for a first copy, an update and a final copy.
SHORT_TIME_S = 0.3
# Entries hold one or two runs at an engine, and copy one at a time each.
RUNS_PER_ENTRY = 1.5
# Calls of a moment vary by about this on a free link.
QUIET_S = 0.03
# A final copy is ordered that much earlier if copies have lately waited behind others. A stream
# whose final copy comes too late goes on from its earlier one, after a similar pause.
QUEUE_RESERVE_MAX_S = 0.3
# On average, half of the copies that begin at the same time are ahead of one of them.
AHEAD_SHARE = 0.5
# Step of an engine's batch, after which a copy that was quick may be made final.
WAIT_S = 0.05
# Another entry may use the remaining memory of a target at the same moment.
FREE_SHARE_MIN = 0.05
# Shorter responses end within the notice of an engine.
BACKUP_TOKENS_MIN = 200.0
BACKUP_FREE_SHARE_MIN = 0.55
# A run that may begin anew loses less than one that is lost with its engine.
AGAIN_VALUE = 0.3


class MoveAction(Enum):
    """Enumerate what may be done with a run at an engine that leaves."""

    STAY = "stay"
    COPY = "copy"
    FINISH = "finish"
    RESEND = "resend"
    HOPELESS = "no time"


@dataclass(frozen=True, slots=True)
class LinkTerms:
    """Describe the rate at which an engine copies KV caches."""

    bytes_per_token: float
    link_mbps: float

    def copy_s(self, tokens: float, crosses_zones: bool = False) -> float:
        """Return the time that tokens take on an idle link."""
        copied_s = tokens * self.bytes_per_token * BITS_PER_BYTE / (self.link_mbps * BITS_PER_MBIT)
        return copied_s * OTHER_ZONE_FACTOR if crosses_zones else copied_s


@dataclass(frozen=True, slots=True)
class LeavingEngine:
    """Describe an engine that leaves: time left, link, and the wait behind copies of others.

    It is expected to go on for `left_s`, and for `left_max_s` if its notice is the longest.
    """

    left_s: float
    left_max_s: float
    link: LinkTerms
    queue_s: float = 0.0
    # Since the engine was known to leave, and the time of copies of all runs that it had then.
    passed_s: float = 0.0
    all_copies_s: float = 0.0

    @property
    def is_short_of_time(self) -> bool:
        """Return whether the engine leaves before all of its runs are copied."""
        return self.all_copies_s > self.passed_s + self.left_s - FINAL_RESERVE_S


@dataclass(frozen=True, slots=True)
class LeavingRun:
    """Describe one own run at an engine that leaves; `copied_tokens` is 0 before the first copy.

    `is_quiet` tells that the last copy waited for no others.
    """

    id: RequestId
    held_tokens: int
    tokens_left: float
    tokens_per_event: int = 1
    pace_s: float | None = None
    has_begun: bool = True
    waited_s: float = 0.0
    may_resend: bool = False
    may_run_again: bool = False
    gap_target_s: float | None = None
    copied_tokens: int = 0
    is_quiet: bool = False
    crosses_zones: bool = False
    rests_s: float = 0.0
    # No final copy is ordered: the engine is taken for leaving, or the run has returned to it.
    may_stop: bool = True

    @property
    def ends_in_s(self) -> float:
        """Return the time until the run is expected to end where it is."""
        left = self.tokens_left
        if left <= 0.0:
            left = OVERDUE_SHARE * self.held_tokens
        events_s = left / max(1, self.tokens_per_event) * (self.pace_s or DEFAULT_PACE_S)
        if self.has_begun:
            return events_s
        return events_s + max(0.0, self.held_tokens / READ_TOKENS_PER_S - self.waited_s)

    @property
    def pause_max_s(self) -> float:
        """Return the longest final copy that keeps the stream on time."""
        if self.gap_target_s is None:
            return PAUSE_MAX_S
        return max(PAUSE_MAX_S, self.gap_target_s - (self.pace_s or DEFAULT_PACE_S) - RESUME_S)

    def copy_s(self, link: LinkTerms) -> float:
        """Return the time of the next copy on an idle link."""
        tokens = max(0, self.held_tokens - self.copied_tokens)
        return link.copy_s(tokens, self.crosses_zones) + CALL_S

    def value_per_s(self, link: LinkTerms) -> float:
        """Return what a second of the link saves by a copy of this run.

        Runs cost about the same, so one with much left goes before one that nearly ends.
        """
        left_share = self.tokens_left / max(1.0, self.tokens_left + self.held_tokens)
        loss = AGAIN_VALUE if self.may_run_again else 1.0
        return loss * (1.0 + left_share) / self.copy_s(link)


@dataclass(frozen=True, slots=True)
class PlannedRun:
    """State what is planned for a run, and the time of its copy on an idle link."""

    id: RequestId
    action: MoveAction
    copy_s: float


@dataclass(frozen=True, slots=True)
class NextMove:
    """State the next step of one entry at one engine; without a run, wait for `wait_s`."""

    action: MoveAction
    run: RequestId | None
    wait_s: float = 0.0


def first_queue_s(link: LinkTerms, other_runs: int, other_tokens: float) -> float:
    """Return the expected wait behind copies that other entries begin at the same time."""
    if other_runs <= 0:
        return 0.0
    ahead = AHEAD_SHARE * max(1.0, other_runs / RUNS_PER_ENTRY)
    return ahead * link.copy_s(other_tokens / other_runs)


def is_link_free(copy_s: float, took_s: float, other_runs: int) -> bool:
    """Return whether a copy shows that the next one will not wait behind others.

    While a long copy was on its way, others may have queued behind it.
    """
    is_conclusive = other_runs == 0 or copy_s < PAUSE_MAX_S
    return is_conclusive and took_s - copy_s < QUIET_S


def planned_order(engine: LeavingEngine, runs: Sequence[LeavingRun]) -> tuple[PlannedRun, ...]:
    """Return what is planned for each run, in the order in which the link is used."""
    order = sorted(runs, key=lambda each: each.value_per_s(engine.link), reverse=True)
    planned: list[PlannedRun] = []
    at_s = 0.0
    for run in order:
        action = _action_of(engine, run, at_s)
        copy_s = run.copy_s(engine.link)
        if action is MoveAction.COPY:
            at_s += copy_s + engine.queue_s
        planned.append(PlannedRun(run.id, action, copy_s))
    return tuple(planned)


def next_move(engine: LeavingEngine, runs: Sequence[LeavingRun]) -> NextMove:
    """Return the next step: the link carries one copy of an entry at a time."""
    ready = [each for each in runs if each.rests_s <= 0.0]
    copied = [each for each in ready if each.copied_tokens and each.may_stop]
    urgent = [each for each in copied if _must_finish(engine, each)]
    quiet = [
        each for each in copied if each.is_quiet and each.copy_s(engine.link) < each.pause_max_s
    ]
    for each in (*urgent, *quiet):
        return NextMove(MoveAction.FINISH, each.id)
    order = sorted(ready, key=lambda each: each.value_per_s(engine.link), reverse=True)
    actions = [(each, _action_of(engine, each, 0.0)) for each in order if not each.copied_tokens]
    for each, action in actions:
        if action is MoveAction.RESEND:
            return NextMove(action, each.id)
    # A short copy of what is new shows whether the link is free for the final one. If the time
    # does not suffice for all runs, it goes before the first copy of another one: the entries then
    # copy in waves, between which the link is free, and no final copy waits for all first ones.
    # What is new is copied again if the run may not stop, in case the engine ends without notice.
    updates = [each for each in ready if each.copied_tokens and not each.is_quiet]
    firsts = [each for each, action in actions if action is MoveAction.COPY]
    if firsts and not (updates and engine.is_short_of_time):
        first = firsts[0]
        is_final = first.may_stop and _ends_at_once(engine, first)
        return NextMove(MoveAction.FINISH if is_final else MoveAction.COPY, first.id)
    for each in updates or copied:
        return NextMove(MoveAction.COPY, each.id)
    return NextMove(MoveAction.STAY, None, WAIT_S)


def _action_of(engine: LeavingEngine, run: LeavingRun, at_s: float) -> MoveAction:
    copied_in_s = at_s + engine.queue_s + run.copy_s(engine.link)
    if run.ends_in_s < max(STAY_SHARE * engine.left_s, copied_in_s):
        return MoveAction.STAY
    if not run.has_begun and run.may_resend:
        return MoveAction.RESEND
    return MoveAction.HOPELESS if copied_in_s > engine.left_max_s else MoveAction.COPY


def _must_finish(engine: LeavingEngine, run: LeavingRun) -> bool:
    """Return whether a final copy would come too late if it were ordered later."""
    return engine.left_s < FINAL_RESERVE_S + run.copy_s(engine.link)


def _ends_at_once(engine: LeavingEngine, run: LeavingRun) -> bool:
    """Return whether the first copy is final, as the time for a second one is short or lacking.

    A target without room for it would pause the stream until the run has returned to its source.
    """
    copy_s = engine.queue_s + run.copy_s(engine.link)
    reserve_s = SHORT_TIME_S if copy_s < run.pause_max_s else FINAL_RESERVE_S
    return engine.left_s < copy_s + reserve_s


def may_back_up(tokens_left: float, free_tokens: Sequence[float], memory_tokens: int) -> bool:
    """Return whether a run gets a backup: it is long, and the service's memory is far from full.

    If each run had one at an engine drawn by free memory, about twice the memory would be held.
    """
    if tokens_left < BACKUP_TOKENS_MIN or not free_tokens:
        return False
    mean = sum(max(0.0, each) for each in free_tokens) / len(free_tokens)
    return mean > BACKUP_FREE_SHARE_MIN * memory_tokens


@dataclass(frozen=True, slots=True)
class MoveTarget:
    """Describe an engine that may take a run, and how many tokens it has free."""

    id: UpstreamId
    free_tokens: float
    crosses_zones: bool
    is_doubtful: bool = False


def choose_target(
    targets: Sequence[MoveTarget],
    memory_tokens: int,
    used: Collection[UpstreamId],
    rng: random.Random,
) -> MoveTarget | None:
    """Choose at random by free memory, as other entries choose at the same moment.

    `free_tokens` is what remains beside the run. Engines in the zone of the source, without recent
    failures, to which this entry moves no other run of the source are preferred.
    """
    fitting = [each for each in targets if each.free_tokens > 0.0]
    if not fitting:
        return None

    def rank(each: MoveTarget) -> tuple[bool, bool, bool, bool]:
        is_tight = each.free_tokens < FREE_SHARE_MIN * memory_tokens
        return each.is_doubtful, is_tight, each.crosses_zones, each.id in used

    best = min(map(rank, fitting))
    # Links between zones are slow, but a second run at one target queues on that link as well.
    chosen = [each for each in fitting if rank(each) == best]
    return rng.choices(chosen, [each.free_tokens for each in chosen])[0]
