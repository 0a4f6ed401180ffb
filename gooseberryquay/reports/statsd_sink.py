"""Counters and timers of an entry, aggregated and sent to statsd periodically."""

import threading
from collections import Counter
from collections.abc import Callable, Mapping

import statsd
from hdrh.histogram import HdrHistogram

from gooseberryquay.contracts.settings import StatsdSettings
from gooseberryquay.links.request_log import RequestRecord

__all__ = ["StatsdSink"]

FLUSH_PERIOD_S = 10.0
PERCENTILES = (50, 95, 99)
LOWEST_MS = 1
HIGHEST_MS = 3_600_000
SIGNIFICANT_DIGITS = 2
SERVED = "served"


class StatsdSink:
    """Aggregate the metrics of each service, which bounds traffic at any request rate."""

    def __init__(self, settings: StatsdSettings, gauges: Callable[[], Mapping[str, float]]) -> None:
        address = settings.address
        self._client = (
            statsd.StatsClient(address.host, address.port, prefix=settings.prefix)
            if address is not None
            else None
        )
        self._gauges = gauges
        self._lock = threading.Lock()
        self._counts: Counter[str] = Counter()
        self._durations_ms: dict[str, HdrHistogram] = {}
        self._stopped = threading.Event()

    def start(self) -> None:
        """Start sending in the background if an address is configured."""
        if self._client is not None:
            threading.Thread(target=self._run, name="statsd", daemon=True).start()

    def stop(self) -> None:
        """Send pending metrics and stop."""
        self._stopped.set()
        self.flush()

    def record_request(self, record: RequestRecord) -> None:
        """Count one completed request."""
        if self._client is None:
            return
        outcome = record.failure.type if record.failure else SERVED
        with self._lock:
            self._counts[f"requests.{record.service}.{outcome}"] += 1
            self._counts[f"tokens.{record.service}"] += record.token_count
            self._counts[f"late_gaps.{record.service}"] += record.late_gap_count
            self._record_duration(f"total_ms.{record.service}", record.total_s)
            if record.first_token_s is not None:
                self._record_duration(f"first_token_ms.{record.service}", record.first_token_s)

    def flush(self) -> None:
        """Send all aggregated metrics and reset them."""
        if self._client is None:
            return
        with self._lock:
            counts, self._counts = self._counts, Counter()
            durations_ms, self._durations_ms = self._durations_ms, {}
        with self._client.pipeline() as pipe:
            for name, count in counts.items():
                if count:
                    pipe.incr(name, count)
            for name, histogram in durations_ms.items():
                for percentile in PERCENTILES:
                    value = histogram.get_value_at_percentile(percentile)
                    pipe.gauge(f"{name}.p{percentile}", value)
            for name, gauge in self._gauges().items():
                pipe.gauge(name, gauge)

    def _run(self) -> None:
        while not self._stopped.wait(FLUSH_PERIOD_S):
            self.flush()

    def _record_duration(self, name: str, time_s: float) -> None:
        if name not in self._durations_ms:
            self._durations_ms[name] = HdrHistogram(LOWEST_MS, HIGHEST_MS, SIGNIFICANT_DIGITS)
        self._durations_ms[name].record_value(max(LOWEST_MS, int(time_s * 1000)))
