"""Record of what upstreams executed, to check the guarantees from their side."""

import threading
import time
from collections import defaultdict
from dataclasses import dataclass, field

__all__ = ["RunRecord"]


@dataclass
class RunRecord:
    """Record the runs of each request and the arrival times at each upstream.

    Times are seconds of the monotonic clock. Safe for use by many threads.
    """

    runs: dict[str, list[str]] = field(default_factory=lambda: defaultdict(list))
    arrivals: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    # Upstreams that each request reached, whether they ran it or not.
    receivers: dict[str, list[str]] = field(default_factory=lambda: defaultdict(list))
    # Requests whose stream an upstream broke off after its first bytes.
    broken_off: set[str] = field(default_factory=set)
    # Requests whose run an upstream stopped on the order of an entry.
    stopped: set[str] = field(default_factory=set)
    # Requests of which a stream had neither chunks nor a length.
    unframed: set[str] = field(default_factory=set)
    # Last event that each request's engine was asked to make.
    last_events: dict[str, int] = field(default_factory=dict)
    # Status codes of the sealed responses to each request.
    sealed_statuses: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))
    unexpected_requests: list[str] = field(default_factory=list)
    # Arrival times of requests that crash their upstream, and the times of these crashes.
    crash_request_arrivals: list[float] = field(default_factory=list)
    crashes: list[float] = field(default_factory=list)
    # Times at which upstreams turned a request away for want of room, and at which they fell over.
    turned_away: list[float] = field(default_factory=list)
    falls: list[float] = field(default_factory=list)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def add_arrival(self, upstream: str, request: str) -> None:
        """Record that a request reached an upstream."""
        with self._lock:
            self.arrivals[upstream].append(time.monotonic())
            self.receivers[request].append(upstream)

    def add_broken_off(self, request: str) -> None:
        """Record that an upstream broke off a stream that had begun."""
        with self._lock:
            self.broken_off.add(request)

    def add_stopped(self, request: str) -> None:
        """Record that an upstream stopped the run of a request on the order of an entry."""
        with self._lock:
            self.stopped.add(request)

    def add_stream(self, request: str, last_event: int, *, is_unframed: bool) -> None:
        """Record that a stream began, and the number of the last event that its engine makes."""
        with self._lock:
            self.last_events[request] = last_event
            if is_unframed:
                self.unframed.add(request)

    def add_sealed_status(self, request: str, status: int) -> None:
        """Record the status of a sealed response."""
        with self._lock:
            self.sealed_statuses[request].append(status)

    def add_crash_request(self, _upstream: str) -> None:
        """Record that a request that crashes its upstream reached one."""
        with self._lock:
            self.crash_request_arrivals.append(time.monotonic())

    def add_crash(self, _upstream: str) -> None:
        """Record that a request crashed an upstream."""
        with self._lock:
            self.crashes.append(time.monotonic())

    def add_turned_away(self, _upstream: str) -> None:
        """Record that an upstream turned a request away for want of room."""
        with self._lock:
            self.turned_away.append(time.monotonic())

    def add_fall(self, _upstream: str) -> None:
        """Record that an upstream fell over, as it turned too many requests away."""
        with self._lock:
            self.falls.append(time.monotonic())

    def add_run(self, request: str, upstream: str) -> None:
        """Record that an upstream started to execute a request."""
        with self._lock:
            self.runs[request].append(upstream)

    def add_unexpected(self, description: str) -> None:
        """Record a request with headers that an entry must have removed."""
        with self._lock:
            self.unexpected_requests.append(description)

    def runs_of(self, request: str) -> list[str]:
        """Return the upstreams that executed a request, in order of execution."""
        with self._lock:
            return list(self.runs.get(request, ()))

    def receivers_of(self, request: str) -> list[str]:
        """Return the upstreams that received a request, in order of arrival."""
        with self._lock:
            return list(self.receivers.get(request, ()))

    def was_broken_off(self, request: str) -> bool:
        """Return whether an upstream broke off a stream of the request."""
        with self._lock:
            return request in self.broken_off

    def was_stopped(self, request: str) -> bool:
        """Return whether an upstream stopped a run of the request on the order of an entry."""
        with self._lock:
            return request in self.stopped

    def last_event_of(self, request: str) -> int | None:
        """Return the number of a request's last event, or None if no engine began its stream."""
        with self._lock:
            return self.last_events.get(request)

    def sealed_statuses_of(self, request: str) -> list[int]:
        """Return the status codes of the sealed responses to a request."""
        with self._lock:
            return list(self.sealed_statuses.get(request, ()))
