"""Dispatcher that sends each request to the upstream with the fewest of its own in flight."""

import threading
from collections import Counter
from collections.abc import Callable

from result import Err, Ok, Result

from gooseberryquay.contracts.upstream import UpstreamDeclaration
from gooseberryquay.errors import Failure, Overloaded
from gooseberryquay.ids import UpstreamId
from gooseberryquay.machines.load_report import LoadReport
from gooseberryquay.machines.work import Outcome, Placement, Work
from gooseberryquay.zones.configuration import Configuration

__all__ = ["LeastInFlightDispatcher"]

RETRY_AFTER_S = 1.0
DEFAULT_PRIORITY = 5


class _CountedPlacement:
    def __init__(
        self, dispatcher: "LeastInFlightDispatcher", upstream: UpstreamDeclaration
    ) -> None:
        self._dispatcher = dispatcher
        self._is_finished = False
        self.upstream = upstream
        self.priority = DEFAULT_PRIORITY

    def saw_report(self, report: LoadReport) -> None:
        """Ignore load reports."""

    def saw_tokens(self, count: int) -> None:
        """Ignore tokens."""

    def finish(self, outcome: Outcome) -> None:
        """Give the place back."""
        if not self._is_finished:
            self._is_finished = True
            self._dispatcher.leave(self.upstream.id)


class LeastInFlightDispatcher:
    """Place requests without queueing."""

    def __init__(self, configuration: Callable[[], Configuration]) -> None:
        self._configuration = configuration
        self._lock = threading.Lock()
        self._in_flight: Counter[UpstreamId] = Counter()

    def place(self, work: Work) -> Result[Placement, Failure]:
        """Choose the upstream with the fewest requests in flight."""
        usable = self._configuration().usable_upstreams(work.service)
        candidates = [each for each in usable if each.id not in work.excluded]
        if not candidates:
            return Err(Overloaded("no upstream may get work", retry_after_s=RETRY_AFTER_S))
        with self._lock:
            chosen = min(candidates, key=lambda each: self._in_flight[each.id])
            self._in_flight[chosen.id] += 1
        return Ok(_CountedPlacement(self, chosen))

    def leave(self, upstream: UpstreamId) -> None:
        """Count one request less at an upstream."""
        with self._lock:
            self._in_flight[upstream] -= 1
