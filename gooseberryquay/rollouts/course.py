"""Course of one roll-out as one entry sees it: from the order to the state that is written.

Addresses the load of one service between an order and its deadline, often about 12 s.
"""

from dataclasses import dataclass, field
from enum import IntEnum

from gooseberryquay.ids import UpstreamId
from gooseberryquay.rollouts.answer_counts import AnswerCounts, EngineCounts
from gooseberryquay.rollouts.exposure_budget import ExposureBudget, ExposureStep
from gooseberryquay.rollouts.order import RolloutOrder, RolloutRecord, RolloutState
from gooseberryquay.rollouts.verdict import Evidence, Finding, Verdict, judge

__all__ = ["Facts", "RolloutCourse", "RolloutPhase", "Totals", "VersionName"]

# A version that states none is the empty string.
VersionName = str

# A version may turn bad after a while, so the traffic is moved as late as the present engines'
# streams allow, and not before this share of the time.
CANARY_SHARE_MIN = 0.3
# Beside the longest request that any entry has seen lately: loads of other entries are known late.
DRAIN_MARGIN_S = 1.5
# A version may also turn bad under the whole load, so the state is written as late as is safe.
COMPLETE_LEFT_S = 2.5
COMPLETE_LEFT_SHARE = 0.1
# Less time does not suffice to move the traffic and to write the state.
SHIFT_LEFT_MIN_S = 3.0
# From this share of the time left on, what speaks against a version is no longer waited for.
LAST_SHARE = 0.3
# Leaves time to write the state, also for the next entry if the first one is killed. Above it,
# every entry has learned whether the traffic is being moved.
REJECT_LEFT_S = 1.5
# Entries learn of a move of the traffic, and of each other's runs, within this time.
SHIFT_SETTLED_S = 1.5
# The target needs this share of the present engines' slots, or its free slots suffice for all runs.
SLOTS_SHARE_MIN = 0.8
RUNS_MARGIN = 1.3
# Good answers after which the next step begins, or else the share of the time.
STEPS = (
    (0, 0.0, ExposureStep(0.3, 0.5)),
    (4, 0.1, ExposureStep(0.6, 0.75)),
    (10, 0.2, ExposureStep(1.0, 1.0)),
)
# Under the load of the whole service, answers are slower than with a tenth of it.
SLOW_FACTOR_SHIFTED = 6.0
# Numbers of other entries are late, so a part of the allowance stays unused.
KNOWN_ALLOWANCE_SHARE = 0.9


class RolloutPhase(IntEnum):
    """Enumerate how far a roll-out is; a later phase known to any entry is in force."""

    CANARY = 0
    SHIFTED = 1
    REJECTED = 2


@dataclass
class Totals:
    """Sum what all entries have counted for an order."""

    requests: int = 0
    exposed: int = 0
    longest_s: float = 0.0
    target: dict[str, AnswerCounts] = field(default_factory=dict)
    present: dict[str, AnswerCounts] = field(default_factory=dict)
    engines: dict[UpstreamId, EngineCounts] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Facts:
    """What an entry knows of the engines, and whether its knowledge is recent."""

    target_slots: int
    present_slots: int
    present_runs: int
    service_runs: int
    is_fresh: bool


class RolloutCourse:
    """Decide on the exposure and the state of one order."""

    def __init__(
        self,
        record: RolloutRecord,
        *,
        ordered_at_s: float,
        present: frozenset[VersionName],
        budget: ExposureBudget,
        share: float,
        allowance: float,
        is_age_known: bool = True,
    ) -> None:
        self.order: RolloutOrder = record.order
        self.written = record.state
        self.outcome: RolloutState | None = None
        self.ordered_at_s = ordered_at_s
        self.present = present
        # Versions that appeared during the order without being its target.
        self.strays: frozenset[VersionName] = frozenset()
        self.budget = budget
        self.is_age_known = is_age_known
        self.phase = RolloutPhase.CANARY
        self.shifted_at_s = 0.0
        self.reason = ""
        self.own = Totals()
        self.totals = Totals()
        self.finding = Finding(Verdict.OPEN, 0, 0, 0.0)
        self.is_fresh = False
        self._share = share
        self._allowance = allowance
        self._now_s = ordered_at_s
        self.adopt(record)

    def adopt(self, record: RolloutRecord) -> None:
        """Adopt the stored order; a final state that was written is the outcome."""
        self.order = record.order
        self.written = record.state
        if self.written is not None and self.written.is_final:
            self.outcome = self.written
            self.reason = self.reason or "read from the store"

    def advance_to(self, phase: RolloutPhase, now_s: float, reason: str) -> bool:
        """Enter a later phase; return whether that is news."""
        if phase <= self.phase or self.outcome is not None:
            return False
        self.phase = phase
        self.reason = reason
        if phase is RolloutPhase.SHIFTED:
            self.shifted_at_s = now_s
        else:
            self.outcome = RolloutState.ROLLED_BACK
        return True

    @property
    def is_rejected(self) -> bool:
        """Return whether the target gets no work any more."""
        return self.outcome is RolloutState.ROLLED_BACK

    def may_expose(self, is_continuation: bool = False) -> bool:
        """Return whether one more request may be sent to the target before the verdict."""
        if not (self.is_fresh and self.is_age_known):
            return False
        known = self._share * self.totals.requests + KNOWN_ALLOWANCE_SHARE * self._allowance
        if self.totals.exposed + 1 > known:
            return False
        if is_continuation:
            # A stream that began on the target would be lost.
            return self.budget.may_continue(STEPS[-1][-1])
        return self.budget.may_expose(self.step())

    def step(self) -> ExposureStep:
        """Return the step of the exposure, which rises with good answers and with time."""
        good = self.finding.answers - self.finding.bad
        passed = (self._now_s - self.ordered_at_s) / max(0.001, self.order.duration_s)
        reached = [
            step
            for least_good, least_passed, step in STEPS
            if good >= least_good > 0 or passed >= least_passed
        ]
        # Bad answers are no reason to look for more of them faster.
        return reached[-1] if self.finding.bad < 2 or passed >= CANARY_SHARE_MIN else reached[0]

    def decide(self, now_s: float, facts: Facts, totals: Totals) -> str | None:
        """Judge what is known; return what was decided, or None."""
        self._now_s, self.totals, self.is_fresh = now_s, totals, facts.is_fresh
        if self.outcome is not None:
            return None
        evidence = Evidence(totals.target, totals.present, totals.engines)
        if self.phase is RolloutPhase.SHIFTED:
            self.finding = judge(evidence, SLOW_FACTOR_SHIFTED)
        else:
            self.finding = judge(evidence)
        if self.finding.verdict is Verdict.BAD:
            self.advance_to(RolloutPhase.REJECTED, now_s, self.finding.reason)
            return "rejected"
        if self.phase is RolloutPhase.SHIFTED:
            return self._decide_completion(now_s, facts)
        return self._decide_shift(now_s, facts)

    def _decide_shift(self, now_s: float, facts: Facts) -> str | None:
        duration_s = self.order.duration_s
        left_s = self.ordered_at_s + duration_s - now_s
        drain_s = self.totals.longest_s + DRAIN_MARGIN_S
        is_due = left_s <= min(
            (1.0 - CANARY_SHARE_MIN) * duration_s, max(drain_s, SHIFT_LEFT_MIN_S + 1.0)
        )
        is_last = left_s <= max(SHIFT_LEFT_MIN_S + 1.0, LAST_SHARE * duration_s)
        is_passed = self.finding.verdict is Verdict.GOOD or (is_last and self.finding.passes_at_end)
        if not facts.is_fresh or not self.is_age_known:
            return None
        if left_s >= SHIFT_LEFT_MIN_S and is_due and is_passed and can_carry(facts):
            self.advance_to(RolloutPhase.SHIFTED, now_s, self.finding.reason)
            return "shifted"
        if left_s < REJECT_LEFT_S:
            reason = self.finding.reason if can_carry(facts) else "the target can't carry all"
            self.advance_to(RolloutPhase.REJECTED, now_s, f"no time left: {reason}")
            return "rejected"
        return None

    def _decide_completion(self, now_s: float, facts: Facts) -> str | None:
        """Complete once nothing runs on the present engines; their streams would be cut."""
        if not facts.is_fresh or now_s - self.shifted_at_s < SHIFT_SETTLED_S:
            return None
        left_s = self.ordered_at_s + self.order.duration_s - now_s
        if left_s > max(COMPLETE_LEFT_S, COMPLETE_LEFT_SHARE * self.order.duration_s):
            return None
        if facts.present_runs > 0 or facts.target_slots == 0:
            return None
        self.outcome = RolloutState.COMPLETED
        return "completed"

    @property
    def needs_reports(self) -> bool:
        """Return whether other entries may not know the end of this order yet."""
        return self.outcome is None or self.unwritten_state() is not None

    def unwritten_state(self) -> RolloutState | None:
        """Return the state to write, or None if the stored one is right or final."""
        if self.written is not None and self.written.is_final:
            return None
        if self.outcome is not None:
            return self.outcome
        return RolloutState.IN_PROGRESS if self.written is None else None


def can_carry(facts: Facts) -> bool:
    """Return whether the target's engines can carry the whole traffic."""
    if facts.target_slots <= 0:
        return False
    return (
        facts.target_slots >= SLOTS_SHARE_MIN * facts.present_slots
        or facts.target_slots >= RUNS_MARGIN * facts.service_runs + 1
    )
