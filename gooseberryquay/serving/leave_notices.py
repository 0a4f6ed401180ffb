"""How long engines of a service go on after they are known to leave, learnt from earlier ones."""

import threading
from collections import deque

from gooseberryquay.ids import ServiceId

__all__ = ["LeaveNotices"]

# The shortest and the longest notice that engines promise.
NOTICE_S = 1.5
NOTICE_MAX_S = 2.1
SAMPLES_MAX = 16
# One engine that crashes as it leaves must not shorten the plans for all others.
PRIOR_SAMPLES = 4
LOW_QUANTILE = 0.2
SHORTEST_S = 0.3


class LeaveNotices:
    """Estimate the time between the notice and the end of an engine; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._samples: dict[ServiceId, deque[float]] = {}

    def expected_s(self, service: ServiceId) -> float:
        """Return the time after the notice for which an engine is expected to go on."""
        with self._lock:
            samples = self._samples.get(service)
            if samples is None:
                return NOTICE_S
            return sorted(samples)[int(LOW_QUANTILE * len(samples))]

    def longest_s(self, service: ServiceId) -> float:
        """Return the longest time for which an engine may go on."""
        with self._lock:
            return max(NOTICE_MAX_S, *self._samples.get(service, ()), 0.0)

    def record_end(self, service: ServiceId, lasted_s: float) -> None:
        """Record that an engine was found gone."""
        with self._lock:
            if service not in self._samples:
                prior = [NOTICE_S] * PRIOR_SAMPLES
                self._samples[service] = deque(prior, maxlen=SAMPLES_MAX)
            self._samples[service].append(max(SHORTEST_S, lasted_s))
