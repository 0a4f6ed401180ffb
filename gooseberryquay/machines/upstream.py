"""One upstream as this entry sees it: its reports, own work there and observed speed."""

from collections import deque
from dataclasses import dataclass
from enum import Enum

from gooseberryquay.contracts.upstream import UpstreamDeclaration
from gooseberryquay.machines.load_report import LoadReport, UpstreamCondition
from gooseberryquay.machines.upstream_ramp import WidthRamp
from gooseberryquay.machines.upstream_work import UpstreamWork

__all__ = ["Upstream", "UpstreamView"]

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


class Upstream:
    """Hold one upstream's declaration, report, own work and observed speed.

    The caller serialises all calls but `saw_gap`.
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
        self._changes: deque[_Change] = deque(maxlen=MAX_LOGGED_CHANGES)

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
            held_tokens = sum(work.held_tokens for work in self.work)
            remaining_tokens = sum(work.remaining_tokens for work in self.work)
            load = self._own_load = OwnLoad(held_tokens, remaining_tokens, now_s)
        return load

    def start(self, work: UpstreamWork, now_s: float) -> None:
        """Count a request that is sent now."""
        self.work.add(work)
        self._own_load = None
        self._changes.append(_Change(now_s, 1, work.prompt_tokens))

    def end(self, work: UpstreamWork, now_s: float) -> None:
        """Count a request that has ended."""
        self.work.discard(work)
        self._own_load = None
        self._changes.append(_Change(now_s, -1, -work.held_tokens))

    def take_report(self, report: LoadReport, now_s: float) -> None:
        """Take in a report unless a newer one is known."""
        self.is_silent = False
        self.gone_since_s = None
        measured_at_s = now_s - report.age_s
        if measured_at_s < self.reported_at_s:
            return
        self.report = report
        self.step_s += (report.step_s - self.step_s) * (STEP_WEIGHT if self.step_s else 1.0)
        self.reported_at_s = measured_at_s
        self.received_at_s = now_s
        while self._changes and self._changes[0].at_s <= measured_at_s:
            self._changes.popleft()
        before = self.view
        self._turn(_VIEW_OF_CONDITION[report.condition], now_s)
        if before is UpstreamView.COLD and self.view is UpstreamView.WARM:
            self.ramp.begin(self.declaration.cold_in_flight_max, now_s)

    def saw_cold(self, now_s: float) -> None:
        """Take the upstream as cold until a report of a later moment says otherwise."""
        self.reported_at_s = now_s
        self._turn(UpstreamView.COLD, now_s)

    def refused_connection(self, now_s: float) -> None:
        """Take it as gone since the first refusal; what was reported holds no longer."""
        self.is_silent = True
        if self.gone_since_s is None:
            self.gone_since_s = now_s
        self._turn(UpstreamView.UNKNOWN, now_s)
        self.report = None

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
        if self.report is None:
            return float(self.own_in_flight * sharing_entries)
        own_change = sum(change.count for change in self._changes)
        reported = self.report.in_flight + self.report.queued
        return max(float(self.own_in_flight), reported + own_change * _spread(sharing_entries))

    def expected_held_tokens(self, sharing_entries: float, now_s: float) -> float:
        """Give the expected memory in use now, in tokens."""
        own_tokens = self.own_load(now_s).held_tokens
        if self.report is None:
            return own_tokens * sharing_entries
        own_change = sum(change.held_tokens for change in self._changes)
        own_growth = self.own_in_flight * self._steps_since_report(now_s)
        changed_tokens = own_change * _spread(sharing_entries) + own_growth
        return max(own_tokens, self.report.kv_used_tokens + changed_tokens)

    def _steps_since_report(self, now_s: float) -> float:
        if self.report is None or self.report.step_s <= 0:
            return 0.0
        return (now_s - self.reported_at_s) / self.report.step_s

    def expected_remaining_tokens(
        self, mix_remaining_tokens: float, in_flight: float, now_s: float
    ) -> float:
        """Give the mean of the tokens that a request there still needs."""
        other_count = max(0.0, in_flight - self.own_in_flight)
        total_tokens = self.own_load(now_s).remaining_tokens + other_count * mix_remaining_tokens
        return total_tokens / max(1.0, in_flight)


def _spread(sharing_entries: float) -> float:
    """Give how many requests one own change stands for, other entries' unseen ones included."""
    return 1.0 + OTHERS_WEIGHT * (sharing_entries - 1)
