"""Admission of requests while this entry drains."""

import time
from collections.abc import Callable

from gooseberryquay.serving.route import Route, RouteKind

__all__ = ["DrainState"]

# Most calls end within their latency goal; a factor of 2 leaves a margin.
DRAIN_GOALS = 2.0


class DrainState:
    """Reject requests that could not end before this entry exits.

    During the notice period the load balancer may still send new connections, which are served.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._reject_at_s: float | None = None
        self._exit_at_s: float | None = None
        self._is_closed = False

    @property
    def is_leaving(self) -> bool:
        """Return whether this entry has begun to drain."""
        return self._exit_at_s is not None

    def begin(self, notice_s: float, grace_s: float) -> None:
        """Begin to drain; the process exits after `grace_s`."""
        now_s = self._clock()
        self._reject_at_s = now_s + notice_s
        self._exit_at_s = now_s + grace_s

    def close(self) -> None:
        """Reject all further requests, as the process is about to exit."""
        self._is_closed = True

    def accepts(self, route: Route) -> bool:
        """Return whether a new request can still end before the exit."""
        if self._reject_at_s is None or self._exit_at_s is None:
            return True
        if self._is_closed:
            return False
        now_s = self._clock()
        match route.kind:
            case RouteKind.STREAMING:
                return now_s < self._reject_at_s
            case RouteKind.IDEMPOTENT | RouteKind.NON_IDEMPOTENT:
                return now_s + DRAIN_GOALS * route.goal_s < self._exit_at_s
