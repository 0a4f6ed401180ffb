"""How much longer work takes on the shared machines of upstreams, learnt from their responses."""

import math
import threading
import time
from collections import deque
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from gooseberryquay.ids import ServiceId, UpstreamId
from gooseberryquay.serving.machine_speeds import MachineSpeeds
from gooseberryquay.serving.slowdown_reports import SlowdownReports

__all__ = ["MachineSlowdowns"]

SERVICE_SAMPLES = 512
# Responses that arrive together report the same moment.
SAMPLE_INTERVAL_S = 0.05
# In force until samples have shown how fast the load of the machines changes.
INITIAL_DECAY_S = 0.3
# Each is judged by how well it would have predicted the samples.
DECAYS_S = (0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.3, 2.0, 3.2)
PREDICTIONS_MIN = 32
# Forgets predictions after some hundreds, as machines and their other workloads change.
ERROR_RETENTION = 0.995
USUAL = 1.0


@dataclass
class _Sample:
    value: float
    at_s: float
    kept_at_s: float


@dataclass
class _ServiceSamples:
    """Keep the samples of one service, their sum, and the errors of each candidate decay."""

    recent: deque[float] = field(default_factory=deque)
    total: float = 0.0
    errors: list[float] = field(default_factory=lambda: [0.0] * len(DECAYS_S))
    predictions: int = 0
    decay_s: float = INITIAL_DECAY_S

    def mean(self) -> float:
        """Return the mean of the samples."""
        return self.total / len(self.recent) if self.recent else USUAL

    def keep(self, value: float) -> None:
        """Add a sample, in place of the oldest one if there are too many."""
        if len(self.recent) >= SERVICE_SAMPLES:
            self.total -= self.recent.popleft()
        self.recent.append(value)
        self.total += value

    def judge(self, former: float, interval_s: float, value: float) -> None:
        """Compare a sample with what each decay predicts for it from the former one."""
        mean = self.mean()
        for index, decay_s in enumerate(DECAYS_S):
            predicted = mean + (former - mean) * math.exp(-interval_s / decay_s)
            error = (value - predicted) ** 2
            self.errors[index] = ERROR_RETENTION * self.errors[index] + error
        self.predictions += 1
        if self.predictions >= PREDICTIONS_MIN:
            self.decay_s = DECAYS_S[self.errors.index(min(self.errors))]


class MachineSlowdowns:
    """Track the slowdowns that upstreams state, 1 being usual; thread-safe."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._of_upstream: dict[UpstreamId, _Sample] = {}
        self._of_service: dict[ServiceId, _ServiceSamples] = {}
        self._reports = SlowdownReports()
        self._span_reports = SlowdownReports()
        self._speeds = MachineSpeeds()
        self._lock = threading.Lock()

    def record(self, service: ServiceId, upstream: UpstreamId, slowdown: float) -> None:
        """Record the slowdown that a response states."""
        now_s = self._clock()
        with self._lock:
            samples = self._of_service.setdefault(service, _ServiceSamples())
            former = self._of_upstream.get(upstream)
            if former is None:
                self._of_upstream[upstream] = _Sample(slowdown, now_s, now_s)
            elif now_s - former.kept_at_s < SAMPLE_INTERVAL_S:
                former.value, former.at_s = slowdown, now_s
                return
            else:
                samples.judge(former.value, now_s - former.at_s, slowdown)
                former.value, former.at_s, former.kept_at_s = slowdown, now_s, now_s
            samples.keep(slowdown)
            passing = self._speeds.record(service, upstream, slowdown)
            if passing is not None:
                self._reports.record(service, passing)

    def record_span(self, service: ServiceId, ratio: float) -> None:
        """Record the longest event of a span of a stream in units of the usual one there."""
        with self._lock:
            self._span_reports.record(service, ratio)

    def span_report(self, is_hub: bool) -> dict[str, list[int]]:
        """Return what to tell another entry of the longest events of streams."""
        with self._lock:
            reports = self._span_reports
            return reports.summary() if is_hub else reports.take_report()

    def receive_span_report(self, report: Mapping[str, Sequence[int]], is_of_hub: bool) -> None:
        """Add what another entry has told of the longest events of streams."""
        with self._lock:
            self._span_reports.receive(report, is_of_hub)

    def spans(self, service: ServiceId) -> tuple[float, ...]:
        """Return the longest events of spans that all entries have seen, in ascending order."""
        with self._lock:
            return tuple(sorted(self._span_reports.samples(service)))

    def usual(self, service: ServiceId, upstream: UpstreamId) -> float:
        """Return the usual work time on the machine of an upstream, 1 being that of the service."""
        with self._lock:
            return self._speeds.usual(service, upstream)

    def fastest(self, service: ServiceId) -> float:
        """Return the usual work time on the fastest machine of a service."""
        with self._lock:
            return self._speeds.least(service)

    def usual_percent(self, upstream: UpstreamId) -> int:
        """Return the usual work time to tell peers, 0 if it is unknown."""
        with self._lock:
            return self._speeds.percent(upstream)

    def receive_usual(self, upstream: UpstreamId, percent: int) -> None:
        """Add the usual work time that a peer has found."""
        with self._lock:
            self._speeds.receive(upstream, percent)

    def report(self, is_hub: bool) -> dict[str, list[int]]:
        """Return what to tell another entry: a hub's summary, or the samples since last time."""
        with self._lock:
            return self._reports.summary() if is_hub else self._reports.take_report()

    def receive_report(self, report: Mapping[str, Sequence[int]], is_of_hub: bool) -> None:
        """Add what another entry has told."""
        with self._lock:
            self._reports.receive(report, is_of_hub)

    def is_shared(self, service: ServiceId) -> bool:
        """Return whether upstreams of a service have stated the slowdown of their machines."""
        return service in self._of_service or self._reports.is_reported(service)

    def expected(self, service: ServiceId, upstream: UpstreamId) -> float:
        """Return the slowdown expected now: the latest sample, decayed towards the mean."""
        with self._lock:
            samples = self._of_service.get(service)
            if samples is None:
                return USUAL
            mean = samples.mean()
            latest = self._of_upstream.get(upstream)
            if latest is None:
                return mean
            weight = math.exp(-(self._clock() - latest.at_s) / samples.decay_s)
            return mean + (latest.value - mean) * weight

    def decay_s(self, service: ServiceId) -> float:
        """Return the time constant with which samples of a service lose their meaning."""
        with self._lock:
            samples = self._of_service.get(service)
            return samples.decay_s if samples is not None else INITIAL_DECAY_S

    def quantile(self, service: ServiceId, share: float) -> float:
        """Return the slowdown that a share of the samples of a service does not exceed."""
        with self._lock:
            samples = self._of_service.get(service)
            ordered = sorted(samples.recent) if samples is not None else []
        if not ordered:
            return USUAL
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]

    def ordered(self, service: ServiceId) -> tuple[float, ...]:
        """Return the passing slowdowns of a service that all entries have seen, in ascending order.

        They are relative to the usual work time of each machine.
        """
        with self._lock:
            return tuple(sorted(self._reports.samples(service)))

    def forget(self, keep: Iterable[UpstreamId]) -> None:
        """Drop upstreams that are not in `keep`."""
        kept = set(keep)
        with self._lock:
            for upstream in [each for each in self._of_upstream if each not in kept]:
                del self._of_upstream[upstream]
            self._speeds.forget(kept)
