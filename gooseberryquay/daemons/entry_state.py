"""Whether an entry may take new work."""

import threading
from collections.abc import Callable

from gooseberryquay.errors import EntryLeaving, Failure, NotReady

__all__ = ["DrainableState"]

RETRY_ELSEWHERE_S = 1.0


class DrainableState:
    """Take new work while the configuration is confirmed and no drain has begun.

    An entry that leaves says so before it refuses, so that a balancer can turn away from it.
    """

    def __init__(
        self, is_configured: Callable[[], bool], has_first_reports: Callable[[], bool]
    ) -> None:
        self._is_configured = is_configured
        self._has_first_reports = has_first_reports
        self._is_leaving = threading.Event()
        self._is_draining = threading.Event()

    def start_leaving(self) -> None:
        """Say from now on that this entry is not ready."""
        self._is_leaving.set()

    def start_drain(self) -> None:
        """Refuse new work from now on."""
        self._is_draining.set()

    @property
    def is_leaving(self) -> bool:
        """Tell whether the entry has begun to leave."""
        return self._is_leaving.is_set()

    def readiness(self) -> Failure | None:
        """Give the reason why a balancer should turn away, if there is one."""
        if self._is_leaving.is_set():
            return EntryLeaving("this entry is leaving", retry_after_s=RETRY_ELSEWHERE_S)
        refusal = self.refusal()
        if refusal is None and not self._has_first_reports():
            message = "this entry has not heard enough upstreams"
            return NotReady(message, retry_after_s=RETRY_ELSEWHERE_S)
        return refusal

    def refusal(self) -> Failure | None:
        """Give the reason not to take new work, if there is one."""
        if self._is_draining.is_set():
            return EntryLeaving("this entry is leaving", retry_after_s=RETRY_ELSEWHERE_S)
        if not self._is_configured():
            message = "this entry has no confirmed configuration"
            return NotReady(message, retry_after_s=RETRY_ELSEWHERE_S)
        return None
