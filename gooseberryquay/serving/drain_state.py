"""Admission of requests while this entry drains."""

import time
from collections.abc import Callable

__all__ = ["DrainState"]

# A request that reaches its time limit still gets a response before the exit.
RESPONSE_MARGIN_S = 0.1


class DrainState:
    """Reject requests that may not end before this entry exits.

    The load balancer still sends new connections for a while; other entries serve their requests.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._exit_at_s: float | None = None
        self._is_closed = False

    @property
    def is_leaving(self) -> bool:
        """Return whether this entry has begun to drain."""
        return self._exit_at_s is not None

    def begin(self, grace_s: float) -> None:
        """Begin to drain; the process exits after `grace_s`."""
        self._exit_at_s = self._clock() + grace_s

    def close(self) -> None:
        """Reject all further requests, as the process is about to exit."""
        self._is_closed = True

    def can_end(self, until_s: float) -> bool:
        """Return whether a request whose time limit is `until_s` ends before the exit."""
        if self._exit_at_s is None:
            return True
        return until_s <= self._exit_at_s - RESPONSE_MARGIN_S

    def accepts(self, until_s: float) -> bool:
        """Return whether a new request is accepted whose time limit is `until_s`."""
        return not self._is_closed and self.can_end(until_s)
