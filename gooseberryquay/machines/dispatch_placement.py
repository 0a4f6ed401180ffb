"""Placement of one request at an upstream."""

import time
from collections.abc import Callable
from dataclasses import dataclass

from gooseberryquay.contracts.upstream import UpstreamDeclaration
from gooseberryquay.machines.in_flight_request import InFlightRequest
from gooseberryquay.machines.load_report import LoadReport
from gooseberryquay.machines.upstream import Upstream
from gooseberryquay.machines.work import Outcome, Work

__all__ = ["PlacedRequest", "PlacementCallbacks"]


@dataclass(frozen=True)
class PlacementCallbacks:
    """Callbacks that a placement invokes as its request progresses."""

    on_report: Callable[[Upstream, LoadReport], None]
    on_finished: Callable[["PlacedRequest", Outcome], None]


class PlacedRequest:
    """Placement of a request at an upstream; used only by the thread that serves it."""

    def __init__(
        self,
        *,
        upstream: Upstream,
        work: Work,
        in_flight: InFlightRequest,
        priority: int,
        is_cold: bool,
        callbacks: PlacementCallbacks,
    ) -> None:
        self.upstream_state = upstream
        self.work = work
        self.in_flight = in_flight
        self.is_cold = is_cold
        self._priority = priority
        self._callbacks = callbacks
        self._last_token_at_s: float | None = None
        self._is_finished = False

    @property
    def upstream(self) -> UpstreamDeclaration:
        """Return the chosen upstream."""
        return self.upstream_state.declaration

    @property
    def priority(self) -> int:
        """Return the engine priority; 0 is the most urgent."""
        return self._priority

    def record_report(self, report: LoadReport) -> None:
        """Process a load report that came with the response."""
        self._callbacks.on_report(self.upstream_state, report)

    def record_tokens(self, count: int) -> None:
        """Record that tokens arrived."""
        if count <= 0:
            return
        now_s = time.monotonic()
        self.in_flight.generated_tokens += count
        if self._last_token_at_s is not None:
            self.upstream_state.record_gap((now_s - self._last_token_at_s) / count)
        self._last_token_at_s = now_s

    def finish(self, outcome: Outcome) -> None:
        """Release the placement; later calls have no effect."""
        if self._is_finished:
            return
        self._is_finished = True
        self._callbacks.on_finished(self, outcome)
