"""The place that one request was given at an upstream."""

import time
from collections.abc import Callable
from dataclasses import dataclass

from gooseberryquay.contracts.upstream import UpstreamDeclaration
from gooseberryquay.machines.load_report import LoadReport
from gooseberryquay.machines.upstream import Upstream
from gooseberryquay.machines.upstream_work import UpstreamWork
from gooseberryquay.machines.work import Outcome, Work

__all__ = ["PlacedWork", "PlacementEvents"]


@dataclass(frozen=True)
class PlacementEvents:
    """Name what a placement calls as its request goes on."""

    record_report: Callable[[Upstream, LoadReport], None]
    finished: Callable[["PlacedWork", Outcome], None]


class PlacedWork:
    """Hold a request's place at an upstream; used by the thread that serves the request."""

    def __init__(
        self,
        *,
        upstream: Upstream,
        work: Work,
        in_flight: UpstreamWork,
        priority: int,
        is_cold: bool,
        events: PlacementEvents,
    ) -> None:
        self.upstream_state = upstream
        self.work = work
        self.in_flight = in_flight
        self.is_cold = is_cold
        self._priority = priority
        self._events = events
        self._last_token_at_s: float | None = None
        self._is_finished = False

    @property
    def upstream(self) -> UpstreamDeclaration:
        """Give the chosen upstream."""
        return self.upstream_state.declaration

    @property
    def priority(self) -> int:
        """Give the engine priority, 0 the most urgent."""
        return self._priority

    def record_report(self, report: LoadReport) -> None:
        """Take in a load report that came with the answer."""
        self._events.record_report(self.upstream_state, report)

    def record_tokens(self, count: int) -> None:
        """Take in that tokens arrived."""
        if count <= 0:
            return
        now_s = time.monotonic()
        self.in_flight.generated_tokens += count
        if self._last_token_at_s is not None:
            self.upstream_state.saw_gap((now_s - self._last_token_at_s) / count)
        self._last_token_at_s = now_s

    def finish(self, outcome: Outcome) -> None:
        """Give the place back; later calls do nothing."""
        if self._is_finished:
            return
        self._is_finished = True
        self._events.finished(self, outcome)
