"""State of one upstream in this entry: load report, own requests and observed speed."""

from collections import deque
from dataclasses import dataclass
from enum import Enum

from gooseberryquay.contracts.upstream import UpstreamDeclaration
from gooseberryquay.machines.in_flight_request import InFlightRequest
from gooseberryquay.machines.load_report import LoadReport, UpstreamCondition
from gooseberryquay.machines.slow_start import SlowStart

__all__ = ["LoadEstimate", "OwnLoad", "Upstream", "UpstreamView"]

GAP_WEIGHT = 0.1
STEP_WEIGHT = 0.3
OWN_LOAD_REFRESH_S = 0.1
OTHER_ENTRIES_WEIGHT = 0.3
SLOW_FACTOR = 2.5
SLOW_UNREPORTED_S = 2.0
MAX_RETAINED_CHANGES = 512


class UpstreamView(Enum):
    """Condition of an upstream as known to this entry."""

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
class _LoadChange:
    """Record a start (+1) or end (-1) of an own request and its change in held tokens."""

    at_s: float
    count: int
    held_tokens: float


@dataclass(frozen=True)
class OwnLoad:
    """Total memory of own requests and the tokens that they are still expected to need."""

    held_tokens: float
    remaining_tokens: float
    counted_at_s: float


@dataclass(frozen=True, slots=True)
class LoadEstimate:
    """Estimate of the load that changes only with own requests, reports or sharing entries.

    `in_flight` is the expected number of requests, including those of other entries.
    """

    sharing_entries: float
    own_count: int
    in_flight: float
    other_count: float
    unreported_tokens: float


class Upstream:
    """Declaration, load report, own requests and observed speed of one upstream.

    Callers must serialize all calls except `record_gap` and `forget`.
    """

    def __init__(self, declaration: UpstreamDeclaration) -> None:
        self.declaration = declaration
        self.view = UpstreamView.UNKNOWN
        self.report: LoadReport | None = None
        self.reported_at_s = 0.0
        self.received_at_s = 0.0
        self.view_since_s = 0.0
        self.own_requests: set[InFlightRequest] = set()
        self.token_gap_s = 0.0
        self.step_s = 0.0
        self.is_silent = False
        self.unreachable_since_s: float | None = None
        self.slow_start = SlowStart()
        self._own_load: OwnLoad | None = None
        self._load_estimate: LoadEstimate | None = None
        self._changes: deque[_LoadChange] = deque()
        self._unreported_count = 0
        self._unreported_tokens = 0.0

    @property
    def is_known(self) -> bool:
        """Return whether the upstream has reported or was found to be unresponsive."""
        return self.received_at_s > 0 or self.is_silent

    @property
    def own_in_flight(self) -> int:
        """Return the number of own requests in flight."""
        return len(self.own_requests)

    def own_load(self, now_s: float) -> OwnLoad:
        """Return the load of own requests; at most `OWN_LOAD_REFRESH_S` old."""
        load = self._own_load
        if load is None or now_s - load.counted_at_s > OWN_LOAD_REFRESH_S:
            load = self._own_load = self._sum_own_load(now_s)
        return load

    def _sum_own_load(self, now_s: float) -> OwnLoad:
        held_tokens = remaining_tokens = 0.0
        for request in self.own_requests:
            held_tokens += request.held_tokens
            remaining_tokens += request.remaining_tokens
        return OwnLoad(held_tokens, remaining_tokens, now_s)

    def start(self, request: InFlightRequest, now_s: float) -> None:
        """Record a request that is sent now."""
        self.own_requests.add(request)
        self._own_load = None
        self._append_change(_LoadChange(now_s, 1, request.prompt_tokens))

    def end(self, request: InFlightRequest, now_s: float) -> None:
        """Record a request that has ended."""
        self.own_requests.discard(request)
        self._own_load = None
        self._append_change(_LoadChange(now_s, -1, -request.held_tokens))

    def _append_change(self, change: _LoadChange) -> None:
        """Append a change and update the running sums of all retained changes."""
        self._load_estimate = None
        self._changes.append(change)
        self._unreported_count += change.count
        self._unreported_tokens += change.held_tokens
        if len(self._changes) > MAX_RETAINED_CHANGES:
            self._drop_oldest_change()

    def _drop_oldest_change(self) -> None:
        dropped = self._changes.popleft()
        self._unreported_count -= dropped.count
        self._unreported_tokens -= dropped.held_tokens

    def update_report(self, report: LoadReport, now_s: float) -> None:
        """Apply a load report unless a newer one is known."""
        self.is_silent = False
        self.unreachable_since_s = None
        measured_at_s = now_s - report.age_s
        if measured_at_s < self.reported_at_s:
            return
        self.report = report
        self._load_estimate = None
        self.step_s += (report.step_s - self.step_s) * (STEP_WEIGHT if self.step_s else 1.0)
        self.reported_at_s = measured_at_s
        self.received_at_s = now_s
        while self._changes and self._changes[0].at_s <= measured_at_s:
            self._drop_oldest_change()
        before = self.view
        self._set_view(_VIEW_OF_CONDITION[report.condition], now_s)
        if before is UpstreamView.COLD and self.view is UpstreamView.WARM:
            self.slow_start.begin(self.declaration.cold_in_flight_max, now_s)

    def record_cold(self, now_s: float) -> None:
        """Mark the upstream cold until a more recent report says otherwise."""
        self.reported_at_s = now_s
        self._set_view(UpstreamView.COLD, now_s)

    def mark_unreachable(self, now_s: float) -> None:
        """Mark the upstream unreachable since the first refused connection; discard its report."""
        self.is_silent = True
        if self.unreachable_since_s is None:
            self.unreachable_since_s = now_s
        self.forget(now_s)

    def forget(self, now_s: float) -> None:
        """Discard the report and set the condition to unknown."""
        self._set_view(UpstreamView.UNKNOWN, now_s)
        self.report = None
        self._load_estimate = None

    def _set_view(self, view: UpstreamView, now_s: float) -> None:
        if view is not self.view:
            self.view = view
            self.view_since_s = now_s

    def is_slow_unreported(self, median_gap_s: float, now_s: float) -> bool:
        """Return whether tokens arrive far slower than elsewhere without a recent report."""
        if (
            not self.own_requests
            or median_gap_s <= 0
            or now_s - self.received_at_s < SLOW_UNREPORTED_S
        ):
            return False
        return self.token_gap_s > SLOW_FACTOR * median_gap_s

    def record_gap(self, gap_s: float) -> None:
        """Update the moving average of the token gap."""
        self.token_gap_s += GAP_WEIGHT * (gap_s - self.token_gap_s)

    def expected_in_flight(self, sharing_entries: float) -> float:
        """Return the expected number of requests in flight, including other entries' requests."""
        return self.load_estimate(sharing_entries).in_flight

    def load_estimate(self, sharing_entries: float) -> LoadEstimate:
        """Return the estimate of the load, cached until an input changes."""
        load_estimate = self._load_estimate
        if load_estimate is None or load_estimate.sharing_entries != sharing_entries:
            load_estimate = self._load_estimate = self._compute_load_estimate(sharing_entries)
        return load_estimate

    def _compute_load_estimate(self, sharing_entries: float) -> LoadEstimate:
        own_count = len(self.own_requests)
        requests_per_change = _requests_per_change(sharing_entries)
        report = self.report
        if report is None:
            in_flight = float(own_count * sharing_entries)
        else:
            reported = report.in_flight + report.queued
            in_flight = max(
                float(own_count), reported + self._unreported_count * requests_per_change
            )
        return LoadEstimate(
            sharing_entries=sharing_entries,
            own_count=own_count,
            in_flight=in_flight,
            other_count=max(0.0, in_flight - own_count),
            unreported_tokens=self._unreported_tokens * requests_per_change,
        )

    def held_tokens(self, load_estimate: LoadEstimate, own: OwnLoad, now_s: float) -> float:
        """Return the expected memory use now, in tokens."""
        own_tokens = own.held_tokens
        report = self.report
        if report is None:
            return own_tokens * load_estimate.sharing_entries
        own_growth = 0.0
        if report.step_s > 0:
            own_growth = load_estimate.own_count * ((now_s - self.reported_at_s) / report.step_s)
        return max(
            own_tokens, report.kv_used_tokens + (load_estimate.unreported_tokens + own_growth)
        )


def _requests_per_change(sharing_entries: float) -> float:
    """Return how many requests one own change stands for, with those of other entries."""
    return 1.0 + OTHER_ENTRIES_WEIGHT * (sharing_entries - 1)
