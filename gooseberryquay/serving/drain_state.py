"""Whether this entry still takes requests while it drains."""

import time
from collections.abc import Callable

from gooseberryquay.serving.route import Route, RouteKind

__all__ = ["DrainState"]

# Most calls end within their goal; twice that leaves a margin.
GOALS_KEPT_FREE = 2.0


class DrainState:
    """Turn away what could not end before this entry does.

    Until `turn_away_at_s` the balancer may still send new connections, which are served.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._turn_away_at_s: float | None = None
        self._exit_at_s: float | None = None
        self._is_closed = False

    @property
    def is_leaving(self) -> bool:
        """Tell whether this entry has begun to drain."""
        return self._exit_at_s is not None

    def begin(self, notice_s: float, grace_s: float) -> None:
        """Begin to drain; the process ends after `grace_s`."""
        now_s = self._clock()
        self._turn_away_at_s = now_s + notice_s
        self._exit_at_s = now_s + grace_s

    def close(self) -> None:
        """Turn every further request away, as the process is about to end."""
        self._is_closed = True

    def takes(self, route: Route) -> bool:
        """Tell whether a new request may still end in time."""
        if self._turn_away_at_s is None or self._exit_at_s is None:
            return True
        if self._is_closed:
            return False
        now_s = self._clock()
        match route.kind:
            case RouteKind.STREAMING:
                return now_s < self._turn_away_at_s
            case RouteKind.IDEMPOTENT | RouteKind.NON_IDEMPOTENT:
                return now_s + GOALS_KEPT_FREE * route.goal_s < self._exit_at_s
