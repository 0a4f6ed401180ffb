"""Learn the work times of calls on shared machines, and describe upstreams for a choice."""

import math
import threading
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TypeVar

from gooseberryquay.ids import ServiceId, UpstreamId
from gooseberryquay.serving.call_choice import CallTarget
from gooseberryquay.serving.machine_slowdown import MachineSlowdowns
from gooseberryquay.serving.ports import LoadHint

__all__ = ["CallTimes", "ReportedLoad"]

# Only the ratio of work times matters before any has been measured.
UNKNOWN_WORK_S = 0.02
# A call is refused for its expected time only after that many responses of its service.
RESPONSES_MIN = 8
# The median moves by this share with each response, and faster at first.
STEP_MIN = 0.03
STEP_MAX = 0.4
# Speeds of machines differ less than that; more is a queue or the link.
SPEED_RATIO_MAX = 4.0
# Messages of peers reach an entry by way of a hub, about this time after they were true.
PEER_AGE_S = 0.5
# Counts as half a request: crossing zones costs latency and traffic.
OTHER_ZONE_REQUESTS = 0.5
ROUTES_MAX = 256
UPSTREAMS_MAX = 1024

_Key = TypeVar("_Key")


@dataclass
class _Median:
    """Follow the median of a positive figure; single outliers move it by one step only."""

    value: float
    count: int = 1

    def add(self, figure: float) -> None:
        """Move by a share towards a figure."""
        self.count += 1
        step = max(STEP_MIN, STEP_MAX / self.count)
        distance = math.log(max(figure, 1e-6) / self.value)
        self.value *= math.exp(max(-step, min(step, distance)))


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Hold the own and reported requests of an upstream; `hinted` is by the upstream itself."""

    upstream: UpstreamId
    slots: int
    own: int
    hinted: int
    hint_age_s: float
    peer_runs: int
    is_other_zone: bool
    is_avoided: bool


class CallTimes:
    """Follow the median work time of services, routes and upstreams at usual speed; thread-safe."""

    def __init__(self, slowdowns: MachineSlowdowns) -> None:
        self._slowdowns = slowdowns
        self._of_service: dict[ServiceId, _Median] = {}
        self._of_route: dict[tuple[ServiceId, str], _Median] = {}
        self._ratio_of: dict[UpstreamId, _Median] = {}
        self._lock = threading.Lock()

    def record(
        self,
        service: ServiceId,
        route: str,
        upstream: UpstreamId,
        duration_s: float,
        load: LoadHint,
    ) -> None:
        """Add the duration of an answered call, unless it may have waited at the upstream."""
        if duration_s <= 0.0 or load.waiting > 0:
            return
        work_s = duration_s / (load.slowdown or 1.0)
        with self._lock:
            _add(self._of_service, service, work_s, ROUTES_MAX)
            of_route = _add(self._of_route, (service, route), work_s, ROUTES_MAX)
            ratio = min(SPEED_RATIO_MAX, max(1.0 / SPEED_RATIO_MAX, work_s / of_route.value))
            if upstream not in self._ratio_of:
                # A first sample alone tells little.
                _add(self._ratio_of, upstream, 1.0, UPSTREAMS_MAX)
            _add(self._ratio_of, upstream, ratio, UPSTREAMS_MAX)

    def is_known(self, service: ServiceId) -> bool:
        """Return whether enough calls of a service were answered to expect a time."""
        median = self._of_service.get(service)
        return median is not None and median.count >= RESPONSES_MIN

    def work_s(self, service: ServiceId, upstream: UpstreamId) -> float:
        """Return the time of a call of a service at an upstream at usual speed."""
        median, ratio = self._of_service.get(service), self._ratio_of.get(upstream)
        work_s = median.value if median is not None else UNKNOWN_WORK_S
        return work_s * ratio.value if ratio is not None else work_s

    def route_work_s(self, service: ServiceId, route: str) -> float:
        """Return the time of a route's call at usual speed, 0 before the first one."""
        median = self._of_route.get((service, route)) or self._of_service.get(service)
        return median.value if median is not None else 0.0

    def work_share(self, service: ServiceId, route: str | None) -> float:
        """Return the work of a route's calls relative to that of all calls of the service."""
        median, of_route = self._of_service.get(service), self._of_route.get((service, route or ""))
        return of_route.value / median.value if median is not None and of_route is not None else 1.0

    def targets(self, service: ServiceId, loads: Iterable[ReportedLoad]) -> list[CallTarget]:
        """Describe upstreams by the newest report of each."""
        return [self._target(service, load) for load in loads]

    def _target(self, service: ServiceId, load: ReportedLoad) -> CallTarget:
        usual_s = self.work_s(service, load.upstream)
        work_s = usual_s * self._slowdowns.expected(service, load.upstream)
        reported, report_age_s = float(load.peer_runs), PEER_AGE_S
        if load.hint_age_s < PEER_AGE_S:
            reported, report_age_s = float(load.hinted), load.hint_age_s
        # Nothing is certain of what peers report, as a hub may have been silent for seconds.
        drained = load.hint_age_s * load.slots / usual_s
        return CallTarget(
            slots=load.slots,
            own=load.own,
            reported=reported,
            report_age_s=report_age_s,
            certain=load.own + max(0.0, load.hinted - drained),
            work_s=work_s,
            extra_s=OTHER_ZONE_REQUESTS * usual_s / load.slots if load.is_other_zone else 0.0,
            is_avoided=load.is_avoided,
        )


def _add(medians: dict[_Key, _Median], key: _Key, figure: float, most: int) -> _Median:
    median = medians.get(key)
    if median is not None:
        median.add(figure)
        return median
    if len(medians) >= most:
        # The oldest key belongs to a former configuration or list.
        del medians[next(iter(medians))]
    median = medians[key] = _Median(figure)
    return median
