"""One upstream as this entry sees it: its reports, own work there and observed speed."""

from collections import deque
from dataclasses import dataclass
from enum import Enum

from gooseberryquay.contracts.upstream import UpstreamDeclaration
from gooseberryquay.machines.load_report import LoadReport, UpstreamCondition
from gooseberryquay.machines.slow_start import WidthRamp
from gooseberryquay.machines.upstream_work import UpstreamWork

__all__ = ["LoadTerms", "OwnLoad", "Upstream", "UpstreamView"]

GAP_WEIGHT = 0.1
STEP_WEIGHT = 0.3
OWN_LOAD_REFRESH_S = 0.1
OTHERS_WEIGHT = 0.3
SLOW_FACTOR = 2.5
SLOW_UNREPORTED_S = 2.0
MAX_LOGGED_CHANGES = 512


class UpstreamView(Enum):
    """Tell what this entry believes of an upstream's condition."""

    UNKNOWN = "unknown"
    COLD = "cold"
    WARM = "warm"
    LEAVING = "leaving"


_VIEW_OF_CONDITION = {
    UpstreamCondition.COLD: UpstreamView.COLD,
    UpstreamCondition.WARM: UpstreamView.WARM,
    UpstreamCondition.LEAVING: UpstreamView.LEAVING,
}


@dataclass(frozen=True)
class _Change:
    """Log one own start (+1) or end (-1) with the tokens that it put on the upstream."""

    at_s: float
    count: int
    held_tokens: float


@dataclass(frozen=True)
class OwnLoad:
    """Sum the memory that own requests use and the tokens that they still need."""

    held_tokens: float
    remaining_tokens: float
    counted_at_s: float


@dataclass(frozen=True, slots=True)
class LoadTerms:
    """Hold what changes only with own work, a report or the number of sharing entries.

    `in_flight` is the expected number of requests there, other entries' included.
    """

    sharing_entries: float
    own_count: int
    in_flight: float
    other_count: float
    changed_tokens: float


class Upstream:
    """Hold one upstream's declaration, report, own work and observed speed.

    The caller serialises all calls but `saw_gap` and `forget`.
    """

    def __init__(self, declaration: UpstreamDeclaration) -> None:
        self.declaration = declaration
        self.view = UpstreamView.UNKNOWN
        self.report: LoadReport | None = None
        self.reported_at_s = 0.0
        self.received_at_s = 0.0
        self.view_since_s = 0.0
        self.work: set[UpstreamWork] = set()
        self.token_gap_s = 0.0
        self.step_s = 0.0
        self.is_silent = False
        self.gone_since_s: float | None = None
        self.ramp = WidthRamp()
        self._own_load: OwnLoad | None = None
        self._terms: LoadTerms | None = None
        self._changes: deque[_Change] = deque()
        self._changed_count = 0
        self._changed_tokens = 0.0

    @property
    def is_heard(self) -> bool:
        """Tell whether it has reported, or was found not to answer."""
        return self.received_at_s > 0 or self.is_silent

    @property
    def own_in_flight(self) -> int:
        """Give the number of own requests in flight."""
        return len(self.work)

    def own_load(self, now_s: float) -> OwnLoad:
        """Give what own requests hold and still need, counted a moment ago at most."""
        load = self._own_load
        if load is None or now_s - load.counted_at_s > OWN_LOAD_REFRESH_S:
            load = self._own_load = self._count_own_load(now_s)
        return load

    def _count_own_load(self, now_s: float) -> OwnLoad:
        held_tokens = remaining_tokens = 0.0
        for work in self.work:
            held_tokens += work.held_tokens
            remaining_tokens += work.remaining_tokens
        return OwnLoad(held_tokens, remaining_tokens, now_s)

    def start(self, work: UpstreamWork, now_s: float) -> None:
        """Count a request that is sent now."""
        self.work.add(work)
        self._own_load = None
        self._log(_Change(now_s, 1, work.prompt_tokens))

    def end(self, work: UpstreamWork, now_s: float) -> None:
        """Count a request that has ended."""
        self.work.discard(work)
        self._own_load = None
        self._log(_Change(now_s, -1, -work.held_tokens))

    def _log(self, change: _Change) -> None:
        """Log a change, keeping the sums of all logged ones."""
        self._terms = None
        self._changes.append(change)
        self._changed_count += change.count
        self._changed_tokens += change.held_tokens
        if len(self._changes) > MAX_LOGGED_CHANGES:
            self._drop_oldest_change()

    def _drop_oldest_change(self) -> None:
        dropped = self._changes.popleft()
        self._changed_count -= dropped.count
        self._changed_tokens -= dropped.held_tokens

    def take_report(self, report: LoadReport, now_s: float) -> None:
        """Take in a report unless a newer one is known."""
        self.is_silent = False
        self.gone_since_s = None
        measured_at_s = now_s - report.age_s
        if measured_at_s < self.reported_at_s:
            return
        self.report = report
        self._terms = None
        self.step_s += (report.step_s - self.step_s) * (STEP_WEIGHT if self.step_s else 1.0)
        self.reported_at_s = measured_at_s
        self.received_at_s = now_s
        while self._changes and self._changes[0].at_s <= measured_at_s:
            self._drop_oldest_change()
        before = self.view
        self._turn(_VIEW_OF_CONDITION[report.condition], now_s)
        if before is UpstreamView.COLD and self.view is UpstreamView.WARM:
            self.ramp.begin(self.declaration.cold_in_flight_max, now_s)

    def record_cold(self, now_s: float) -> None:
        """Take the upstream as cold until a report of a later moment says otherwise."""
        self.reported_at_s = now_s
        self._turn(UpstreamView.COLD, now_s)

    def refused_connection(self, now_s: float) -> None:
        """Take it as gone since the first refusal; what was reported holds no longer."""
        self.is_silent = True
        if self.gone_since_s is None:
            self.gone_since_s = now_s
        self.forget(now_s)

    def forget(self, now_s: float) -> None:
        """Drop what was reported, so that the condition is unknown again."""
        self._turn(UpstreamView.UNKNOWN, now_s)
        self.report = None
        self._terms = None

    def _turn(self, view: UpstreamView, now_s: float) -> None:
        if view is not self.view:
            self.view = view
            self.view_since_s = now_s

    def is_slow_unreported(self, typical_gap_s: float, now_s: float) -> bool:
        """Tell whether tokens come far slower than elsewhere and no late report says why."""
        if not self.work or typical_gap_s <= 0 or now_s - self.received_at_s < SLOW_UNREPORTED_S:
            return False
        return self.token_gap_s > SLOW_FACTOR * typical_gap_s

    def saw_gap(self, gap_s: float) -> None:
        """Take in one observed time between tokens."""
        self.token_gap_s += GAP_WEIGHT * (gap_s - self.token_gap_s)

    def expected_in_flight(self, sharing_entries: float) -> float:
        """Give the expected number of requests there now, other entries' included."""
        return self.load_terms(sharing_entries).in_flight

    def load_terms(self, sharing_entries: float) -> LoadTerms:
        """Give the terms of the expected load, kept until something changes them."""
        terms = self._terms
        if terms is None or terms.sharing_entries != sharing_entries:
            terms = self._terms = self._count_terms(sharing_entries)
        return terms

    def _count_terms(self, sharing_entries: float) -> LoadTerms:
        own_count = len(self.work)
        spread = _spread(sharing_entries)
        report = self.report
        if report is None:
            in_flight = float(own_count * sharing_entries)
        else:
            reported = report.in_flight + report.queued
            in_flight = max(float(own_count), reported + self._changed_count * spread)
        return LoadTerms(
            sharing_entries=sharing_entries,
            own_count=own_count,
            in_flight=in_flight,
            other_count=max(0.0, in_flight - own_count),
            changed_tokens=self._changed_tokens * spread,
        )

    def held_tokens(self, terms: LoadTerms, own: OwnLoad, now_s: float) -> float:
        """Give the expected memory in use now, in tokens."""
        own_tokens = own.held_tokens
        report = self.report
        if report is None:
            return own_tokens * terms.sharing_entries
        own_growth = 0.0
        if report.step_s > 0:
            own_growth = terms.own_count * ((now_s - self.reported_at_s) / report.step_s)
        return max(own_tokens, report.kv_used_tokens + (terms.changed_tokens + own_growth))


def _spread(sharing_entries: float) -> float:
    """Give how many requests one own change stands for, other entries' unseen ones included."""
    return 1.0 + OTHERS_WEIGHT * (sharing_entries - 1)
