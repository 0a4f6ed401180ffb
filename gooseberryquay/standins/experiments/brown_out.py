"""Brown-outs of upstreams under load, with a count of the attempts at the upstreams."""

import threading
import time
from dataclasses import dataclass, replace
from enum import Enum

from gooseberryquay.standins.engine_faults import Hang, RefuseStarts
from gooseberryquay.standins.experiments.fleet_load import build_fleet_plan, build_load_plan
from gooseberryquay.standins.fleet_plan import FleetPlan
from gooseberryquay.standins.load.arrivals import LoadPlan
from gooseberryquay.standins.load.run import LoadRun
from gooseberryquay.standins.load.summary import VariantSummary
from gooseberryquay.standins.load.variant import LoadOptions, Variant
from gooseberryquay.standins.local_fleet import LocalFleet
from gooseberryquay.standins.proxy_messages import HealLink, LoseAnswers
from gooseberryquay.standins.service_messages import ServiceHangs

__all__ = ["BrownOut", "BrownOutExperiment", "BrownOutPlan", "BrownOutResult"]

RULE = "expected_memory"
REPORT_LAG_S = 1.0
DRAIN_S = 20.0
SETTLE_S = 2.0
RECOVERY_S = 5.0
SHORT_SUMMARY_TOKENS = 60.0


class BrownOut(Enum):
    """Fault that affects every upstream of one service."""

    ENGINES_REFUSE = "engines_refuse"
    ENGINES_HANG = "engines_hang"
    LOOKUPS_LOST = "lookups_lost"
    LOOKUPS_HANG = "lookups_hang"

    @property
    def affects_engines(self) -> bool:
        """Return whether the fault affects the engines."""
        return self in (BrownOut.ENGINES_REFUSE, BrownOut.ENGINES_HANG)


@dataclass(frozen=True)
class BrownOutPlan:
    """Parameters of one run, with load before, during and after the brown-out."""

    kind: BrownOut
    rate_per_s: float = 40.0
    before_s: float = 10.0
    during_s: float = 10.0
    after_s: float = 12.0
    entries: int = 8
    engines: int = 9
    services: int = 3

    @property
    def duration_s(self) -> float:
        """Return the total duration of the load, in seconds."""
        return self.before_s + self.during_s + self.after_s


@dataclass(frozen=True)
class BrownOutResult:
    """Measurements of the callers, and the number of requests and of attempts at the upstreams.

    The window starts with the brown-out and ends 2 s after it. Resumes of streams are counted
    separately, since they start no new execution.
    """

    summary: VariantSummary
    window_calls: int
    window_attempts: int
    window_resumes: int
    calls: int
    attempts: int
    failed_after_recovery: int

    @property
    def window_amplification(self) -> float:
        """Return the attempts per request within the window."""
        return self.window_attempts / max(1, self.window_calls)

    @property
    def amplification(self) -> float:
        """Return the attempts per request over the whole run."""
        return self.attempts / max(1, self.calls)

    def describe(self, kind: BrownOut) -> str:
        """Return the results as one line."""
        summary = self.summary
        return (
            f"{kind.value:15} seed {summary.seed}"
            f"  window {self.window_attempts}/{self.window_calls} = {self.window_amplification:.3f}"
            f" resumes {self.window_resumes}"
            f"  whole {self.attempts}/{self.calls} = {self.amplification:.3f}"
            f"  refusals {summary.refusals} incomplete {summary.incomplete_refusals}"
            f"  failures {summary.failures} unfinished {summary.unfinished}"
            f"  failed after recovery {self.failed_after_recovery}"
        )


class BrownOutExperiment:
    """Run an open-loop load with a brown-out in the middle."""

    def __init__(self, plan: BrownOutPlan) -> None:
        self._plan = plan

    def run(self, seed: int) -> BrownOutResult:
        """Run one seed and return the results."""
        plan = self._plan
        with LocalFleet(_fleet_plan(plan)) as fleet:
            before = _Attempts.read(fleet, plan.kind)
            injector = _FaultInjector(fleet, plan)
            injector.start()
            variant = Variant(plan.kind.value, fleet.entry_addresses())
            options = LoadOptions(drain_s=DRAIN_S)
            (summary,) = LoadRun(_load_plan(plan, seed), [variant], options).run()
            injector.join()
            after = _Attempts.read(fleet, plan.kind)
        window = injector.after.minus(injector.before)
        whole = after.minus(before)
        return BrownOutResult(
            summary=summary,
            window_calls=_calls_between(summary, plan.before_s, _window_end_s(plan)),
            window_attempts=window.starts,
            window_resumes=window.resumes,
            calls=sum(kind.calls for kind in summary.kinds.values()),
            attempts=whole.starts,
            failed_after_recovery=_failures_since(summary, _window_end_s(plan) + RECOVERY_S),
        )


@dataclass(frozen=True)
class _Attempts:
    starts: int
    resumes: int

    @staticmethod
    def read(fleet: LocalFleet, kind: BrownOut) -> "_Attempts":
        """Return the sum of the counts of all upstreams of the service."""
        if kind.affects_engines:
            counts = [fleet.engine_counts(each) for each in fleet.plan.engine_names()]
            return _Attempts(
                sum(each.arrivals for each in counts), sum(each.resumed for each in counts)
            )
        names = fleet.plan.service_names()
        return _Attempts(sum(fleet.service_counts(each).arrivals for each in names), 0)

    def minus(self, other: "_Attempts") -> "_Attempts":
        """Return the increase since an earlier count."""
        return _Attempts(self.starts - other.starts, self.resumes - other.resumes)


class _FaultInjector(threading.Thread):
    """Start and end the brown-out on schedule, and count the attempts before and after it."""

    def __init__(self, fleet: LocalFleet, plan: BrownOutPlan) -> None:
        super().__init__(daemon=True)
        self._fleet = fleet
        self._plan = plan
        self.before = _Attempts(0, 0)
        self.after = _Attempts(0, 0)

    def run(self) -> None:
        """Count attempts, inject the fault, remove it and count again."""
        time.sleep(self._plan.before_s)
        self.before = _Attempts.read(self._fleet, self._plan.kind)
        self._begin()
        time.sleep(self._plan.during_s)
        self._end()
        time.sleep(SETTLE_S)
        self.after = _Attempts.read(self._fleet, self._plan.kind)

    def _begin(self) -> None:
        during_s = self._plan.during_s
        match self._plan.kind:
            case BrownOut.ENGINES_REFUSE:
                self._inject_engines(RefuseStarts())
            case BrownOut.ENGINES_HANG:
                self._inject_engines(Hang(duration_s=during_s))
            case BrownOut.LOOKUPS_LOST:
                for name in self._fleet.plan.service_names():
                    self._fleet.proxies[name].apply_fault(LoseAnswers())
            case BrownOut.LOOKUPS_HANG:
                for name in self._fleet.plan.service_names():
                    self._fleet.inject(name, ServiceHangs(duration_s=during_s))

    def _end(self) -> None:
        match self._plan.kind:
            case BrownOut.ENGINES_REFUSE:
                self._inject_engines(RefuseStarts(is_on=False))
            case BrownOut.LOOKUPS_LOST:
                for name in self._fleet.plan.service_names():
                    self._fleet.proxies[name].apply_fault(HealLink())
            case BrownOut.ENGINES_HANG | BrownOut.LOOKUPS_HANG:
                pass

    def _inject_engines(self, fault: RefuseStarts | Hang) -> None:
        for name in self._fleet.plan.engine_names():
            self._fleet.inject(name, fault)


def _fleet_plan(plan: BrownOutPlan) -> FleetPlan:
    return replace(
        build_fleet_plan(RULE, REPORT_LAG_S),
        entries=plan.entries,
        engines=plan.engines,
        services=plan.services,
        has_proxies=plan.kind is BrownOut.LOOKUPS_LOST,
    )


def _load_plan(plan: BrownOutPlan, seed: int) -> LoadPlan:
    """Return a load of the failing service only, so that every attempt belongs to its calls."""
    generations = 1.0 if plan.kind.affects_engines else 0.0
    return replace(
        build_load_plan(1.0, plan.duration_s, seed),
        rate_per_s=plan.rate_per_s,
        summary_share=0.2 * generations,
        check_share=0.8 * generations,
        posting_share=0.0,
        lookup_share=1.0 - generations,
        summary_tokens_median=SHORT_SUMMARY_TOKENS,
    )


def _window_end_s(plan: BrownOutPlan) -> float:
    return plan.before_s + plan.during_s + SETTLE_S


def _calls_between(summary: VariantSummary, from_s: float, to_s: float) -> int:
    return sum(each.arrived for each in summary.seconds if from_s <= each.second < to_s)


def _failures_since(summary: VariantSummary, from_s: float) -> int:
    late = [each for each in summary.seconds if each.second >= from_s]
    return sum(each.refused + each.broken for each in late)
