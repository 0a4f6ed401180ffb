"""Find an upstream for a unary call, within rate limits and where it has room."""

import random
import threading
import time
from collections.abc import Collection
from dataclasses import dataclass

from gooseberryquay.ids import UpstreamId
from gooseberryquay.links.upstream_connection import CallerLeft
from gooseberryquay.serving.accepted import AcceptedRequest
from gooseberryquay.serving.placement import Placement
from gooseberryquay.serving.upstream_load import LoadTable, Run
from gooseberryquay.serving.upstream_registry import KnownUpstream

__all__ = ["CallPlacer", "PlacedCall", "Unservable"]

# Callers prefer a late response to none, but not one that takes their whole deadline.
RATE_WAIT_GOALS_MAX = 3.0
# How soon a caller that disconnects, or room that other entries free, is noticed.
POLL_INTERVAL_S = 0.1


@dataclass(frozen=True, slots=True)
class PlacedCall:
    """Upstream chosen for a call, and its run in the load table."""

    known: KnownUpstream
    run: Run

    def age_s(self) -> float:
        """Return the seconds since the upstream was chosen."""
        return time.monotonic() - self.run.started_at_s


@dataclass(frozen=True, slots=True)
class Unservable:
    """Report a call that no upstream can answer before its deadline, and when one could."""

    earliest_s: float
    left_s: float
    load: float
    retry_in_s: float


class CallPlacer:
    """Choose upstreams, one call after the other; thread-safe."""

    def __init__(self, placement: Placement, loads: LoadTable) -> None:
        self._placement = placement
        self._loads = loads
        self._waiting = 0
        self._changed = threading.Condition()

    def place(
        self, request: AcceptedRequest, excluded: Collection[UpstreamId]
    ) -> PlacedCall | CallerLeft | Unservable | None:
        """Choose an upstream, or wait briefly until one has room or a rate limit allows it."""
        unservable = self._find_unservable(request)
        if unservable is not None:
            return unservable
        with self._changed:
            placed = self._try_place(request, excluded)
        if placed is not None:
            return placed
        if self._placement.lacks_room(request.service, excluded):
            return self._wait_for_room(request, excluded)
        return self._wait_for_rate(request, excluded)

    def release(self, placed: PlacedCall) -> None:
        """Remove the run of a call that has ended."""
        self._loads.end(placed.run)
        with self._changed:
            self._changed.notify()

    def _find_unservable(self, request: AcceptedRequest) -> Unservable | None:
        route = request.route
        forecast = self._placement.forecast_call(request.service, route.name)
        left_s = request.until_s - time.monotonic()
        if forecast is None or forecast.is_in_time(left_s):
            return None
        retry_in_s = forecast.retry_in_s(route.timeout_s, random.random())
        return Unservable(forecast.earliest_s, left_s, forecast.load, retry_in_s)

    def _last_start_s(self, request: AcceptedRequest) -> float:
        """Return until when a call may start and still be answered before its deadline."""
        work_s = self._placement.call_work_s(request.service, request.route.name)
        return request.until_s - work_s

    def _try_place(
        self, request: AcceptedRequest, excluded: Collection[UpstreamId]
    ) -> PlacedCall | None:
        known = self._placement.choose_for_call(request.service, excluded, request.route.name)
        if known is None or not self._placement.try_acquire(known):
            return None
        return self._start(request, known)

    def _start(self, request: AcceptedRequest, known: KnownUpstream) -> PlacedCall:
        run = Run(request.call.id, known.record.id, time.monotonic())
        self._loads.start(run)
        return PlacedCall(known, run)

    def _wait_for_room(
        self, request: AcceptedRequest, excluded: Collection[UpstreamId]
    ) -> PlacedCall | CallerLeft | None:
        """Wait until an upstream has room, unless more calls wait than it can serve in time."""
        goal_at_s = request.call.arrived_at_s + request.route.goal_s
        until_s = min(self._last_start_s(request), goal_at_s)
        with self._changed:
            if self._waiting >= self._placement.slots_share(request.service):
                return None
            self._waiting += 1
            try:
                while True:
                    wait_s = until_s - time.monotonic()
                    if wait_s <= self._placement.room_wait_s(request.service, excluded):
                        return None
                    self._changed.wait(min(wait_s, POLL_INTERVAL_S))
                    if request.caller.is_disconnected():
                        return CallerLeft()
                    placed = self._try_place(request, excluded)
                    if placed is not None:
                        return placed
            finally:
                self._waiting -= 1

    def _wait_for_rate(
        self, request: AcceptedRequest, excluded: Collection[UpstreamId]
    ) -> PlacedCall | CallerLeft | None:
        late_at_s = request.call.arrived_at_s + RATE_WAIT_GOALS_MAX * request.route.goal_s
        wait_max_s = min(late_at_s, self._last_start_s(request)) - time.monotonic()
        reserved = self._placement.reserve_for_call(request.service, excluded, wait_max_s)
        if reserved is None:
            return None
        send_at_s = time.monotonic() + reserved.wait_s
        while (wait_s := send_at_s - time.monotonic()) > 0.0:
            if request.caller.is_disconnected():
                return CallerLeft()
            time.sleep(min(wait_s, POLL_INTERVAL_S))
        if not self._placement.is_usable(reserved.known):
            return None
        return self._start(request, reserved.known)
