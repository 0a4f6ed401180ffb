"""Readiness and drain state of an entry."""

import threading
from collections.abc import Callable

from gooseberryquay.errors import EntryLeaving, Failure, NotReady

__all__ = ["DrainableState"]

RETRY_ELSEWHERE_S = 1.0


class DrainableState:
    """Accept new work while the configuration is confirmed and no drain has started.

    A leaving entry reports that it is not ready before it refuses all work, so that load balancers
    stop routing to it first. Until then it accepts what has to end before it exits.
    """

    def __init__(
        self, is_configured: Callable[[], bool], has_first_reports: Callable[[], bool]
    ) -> None:
        self._is_configured = is_configured
        self._has_first_reports = has_first_reports
        self._exit_at_s: float | None = None
        self._is_draining = threading.Event()

    def start_leaving(self, exit_at_s: float) -> None:
        """Report this entry as not ready; it will exit at a time of the monotonic clock."""
        self._exit_at_s = exit_at_s

    def start_drain(self) -> None:
        """Refuse new work from now on."""
        self._is_draining.set()

    @property
    def is_leaving(self) -> bool:
        """Return whether the entry has started to leave."""
        return self._exit_at_s is not None

    def readiness(self) -> Failure | None:
        """Return why load balancers should not route here, or None if the entry is ready."""
        if self.is_leaving:
            return EntryLeaving("this entry is leaving", retry_after_s=RETRY_ELSEWHERE_S)
        refusal = self.refusal()
        if refusal is None and not self._has_first_reports():
            message = "this entry has not received enough load reports from upstreams"
            return NotReady(message, retry_after_s=RETRY_ELSEWHERE_S)
        return refusal

    def refusal(self) -> Failure | None:
        """Return why new work is refused, or None if it is accepted."""
        if self._is_draining.is_set():
            return EntryLeaving("this entry is leaving", retry_after_s=RETRY_ELSEWHERE_S)
        if not self._is_configured():
            message = "this entry has no confirmed configuration"
            return NotReady(message, retry_after_s=RETRY_ELSEWHERE_S)
        return None

    def refusal_of(self, deadline_at_s: float) -> Failure | None:
        """Return why a request with this deadline is refused, or None if it is accepted."""
        exit_at_s = self._exit_at_s
        if exit_at_s is not None and deadline_at_s >= exit_at_s:
            message = "this entry is leaving and exits before the deadline of the request"
            return EntryLeaving(message, retry_after_s=RETRY_ELSEWHERE_S)
        return self.refusal()
