"""Share the slowdowns of machines among entries, each of which sees too few by itself.

Entries report new samples to their hub, and hubs answer with quantiles of all that they know.
"""

from collections import deque
from collections.abc import Iterable, Mapping, Sequence

from gooseberryquay.ids import ServiceId

__all__ = ["SlowdownReports"]

# Bounds what a message holds: some 100 bytes for each service.
SERVICES_MAX = 8
SAMPLES_PER_REPORT = 16
QUANTILES = 32
# Enough to tell a slowdown that one sample in fifty shows.
SAMPLES_KEPT = 512
PERCENT = 100.0
# Work on a machine that is slower than this does not go on.
PERCENT_MAX = 100_000


class SlowdownReports:
    """Keep samples to report, and what was reported; callers must serialize the calls."""

    def __init__(self) -> None:
        self._own: dict[ServiceId, deque[float]] = {}
        self._unsent: dict[ServiceId, deque[float]] = {}
        self._of_entries: dict[ServiceId, deque[float]] = {}
        self._of_hub: dict[ServiceId, tuple[float, ...]] = {}

    def record(self, service: ServiceId, slowdown: float) -> None:
        """Add an own sample."""
        self._own.setdefault(service, deque(maxlen=SAMPLES_KEPT)).append(slowdown)
        self._unsent.setdefault(service, deque(maxlen=SAMPLES_PER_REPORT)).append(slowdown)

    def is_reported(self, service: ServiceId) -> bool:
        """Return whether any entry has reported samples of a service."""
        return service in self._of_hub or service in self._of_entries

    def take_report(self) -> dict[str, list[int]]:
        """Return the samples, in percent, since the previous report."""
        report = {
            str(service): [round(each * PERCENT) for each in samples]
            for service, samples in list(self._unsent.items())[:SERVICES_MAX]
        }
        self._unsent.clear()
        return report

    def summary(self) -> dict[str, list[int]]:
        """Return quantiles, in percent, of what this entry and its followers have seen."""
        found: dict[str, list[int]] = {}
        for service in list({**self._own, **self._of_entries})[:SERVICES_MAX]:
            ordered = sorted([*self._own.get(service, ()), *self._of_entries.get(service, ())])
            last = len(ordered) - 1
            count = min(QUANTILES, len(ordered))
            ranks = [round(last * (each + 0.5) / count) for each in range(count)]
            found[str(service)] = [round(ordered[each] * PERCENT) for each in ranks]
        return found

    def receive(self, report: Mapping[str, Sequence[int]], is_of_hub: bool) -> None:
        """Add the report of a follower, or replace the summary of a hub."""
        for name, percents in list(report.items())[:SERVICES_MAX]:
            service = ServiceId(name)
            values = [each / PERCENT for each in percents if 0 < each <= PERCENT_MAX]
            if not values:
                continue
            if is_of_hub:
                self._of_hub[service] = tuple(values[:QUANTILES])
            else:
                known = self._of_entries.setdefault(service, deque(maxlen=SAMPLES_KEPT))
                known.extend(values[:SAMPLES_PER_REPORT])

    def samples(self, service: ServiceId) -> Iterable[float]:
        """Return what is known of a service; a hub's quantiles stand for all that it knows."""
        if service in self._of_hub:
            return self._of_hub[service]
        return [*self._own.get(service, ()), *self._of_entries.get(service, ())]
