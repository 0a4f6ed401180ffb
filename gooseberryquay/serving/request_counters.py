"""Request counters and latency histograms, exported in the Prometheus text format."""

import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from gooseberryquay.ids import ServiceId
from gooseberryquay.serving.call_choice import LateCause
from gooseberryquay.serving.route import KeyCheck, RouteKind

__all__ = ["RequestCounters"]

LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 40.0)
REFUSED_KIND = "none"
# A placement counts as expected to be late from this probability on.
LATE_EXPECTED = 0.5


class RequestCounters:
    """Count requests by kind and outcome; thread-safe."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._ended = Counter(
            "requests_ended", "Requests by outcome", ("kind", "outcome"), registry=self.registry
        )
        self._latency = Histogram(
            "request_duration_seconds",
            "Time from arrival to the final answer",
            ("kind",),
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self._gauge = Gauge("requests_in_flight", "Open requests", registry=self.registry)
        self._cut_off = Gauge(
            "upstreams_cut_off", "1 if no upstream is reached directly", registry=self.registry
        )
        self._carried = Counter(
            "requests_carried", "Requests of peers sent to upstreams", registry=self.registry
        )
        self._refused_early = Counter(
            "calls_refused_early",
            "Calls that no upstream could answer before their deadline",
            registry=self.registry,
        )
        self._late = Counter(
            "calls_late",
            "Calls on shared machines that took longer than their goal",
            ("service", "cause"),
            registry=self.registry,
        )
        self._forecasts = Counter(
            "generations_placed_by_pace",
            "Generations placed by the pace of engines, by what was expected",
            ("expected",),
            registry=self.registry,
        )
        self._limits = Counter(
            "caller_limits_reached",
            "Requests and connections of callers refused or ended by a limit",
            ("limit",),
            registry=self.registry,
        )
        self._in_use = Gauge(
            "caller_memory_bytes", "Memory that callers have in flight", registry=self.registry
        )
        self._moves = Counter(
            "generation_moves",
            "Plans and outcomes for runs at engines that leave",
            ("outcome",),
            registry=self.registry,
        )
        self._keys = Counter(
            "requests_by_key",
            "Requests by what was found of their API key",
            ("key",),
            registry=self.registry,
        )
        self._begun = Counter(
            "streams_begun_while_versions_are_mixed",
            "Streams by where their software version was recorded before the first event",
            ("recorded",),
            registry=self.registry,
        )
        self._taken_up = Counter(
            "streams_taken_up",
            "Streams that callers take up again, by what is known of where they began",
            ("basis",),
            registry=self.registry,
        )
        self._count = 0
        self._changed = threading.Condition()

    @contextmanager
    def in_flight(self) -> Iterator[None]:
        """Count a request as in flight within the context."""
        self._add(1)
        try:
            yield
        finally:
            self._add(-1)

    def wait_until_idle(self, timeout_s: float) -> bool:
        """Wait until no request is in flight; return False on timeout."""
        with self._changed:
            return self._changed.wait_for(lambda: self._count == 0, timeout_s)

    def record_end(self, kind: RouteKind | None, outcome: str, took_s: float) -> None:
        """Record the outcome and duration of a request."""
        label = kind.value if kind is not None else REFUSED_KIND
        self._ended.labels(label, outcome).inc()
        self._latency.labels(label).observe(took_s)

    def record_cut_off(self, is_cut_off: bool) -> None:
        """Record whether this entry reaches no upstream directly."""
        self._cut_off.set(is_cut_off)

    def record_carried(self) -> None:
        """Record that a request of a peer is sent to an upstream."""
        self._carried.inc()

    def record_early_refusal(self) -> None:
        """Record a call that is refused as no upstream can answer before its deadline."""
        self._refused_early.inc()

    def record_late_call(self, service: ServiceId, cause: LateCause) -> None:
        """Record a call on shared machines that took longer than its goal."""
        self._late.labels(service, cause.value).inc()

    def record_forecast(self, lateness: float) -> None:
        """Record the probability that a generation just placed will be late."""
        self._forecasts.labels("late" if lateness >= LATE_EXPECTED else "on time").inc()

    def record_limit(self, limit: str) -> None:
        """Record that a caller has reached a limit."""
        self._limits.labels(limit).inc()

    def watch_caller_memory(self, used_bytes: Callable[[], int]) -> None:
        """Export the memory that callers have in flight, as it is when metrics are read."""
        self._in_use.set_function(used_bytes)

    def record_move(self, outcome: str) -> None:
        """Record what was planned or done with a run at an engine that leaves."""
        self._moves.labels(outcome).inc()

    def record_key(self, found: KeyCheck) -> None:
        """Record what was found of a request's API key."""
        self._keys.labels(found.value).inc()

    def record_begun(self, place: str) -> None:
        """Record a stream that begins while several software versions serve."""
        self._begun.labels(place).inc()

    def record_taken_up(self, basis: str) -> None:
        """Record a stream that a caller takes up again."""
        self._taken_up.labels(basis).inc()

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def _add(self, change: int) -> None:
        with self._changed:
            self._count += change
            self._gauge.set(self._count)
            self._changed.notify_all()
