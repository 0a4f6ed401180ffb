"""Evaluate completed requests against their service level and count the outcome."""

import threading
import time
from collections.abc import Callable

from hdrh.histogram import HdrHistogram

from gooseberryquay.contracts.declaration import Declaration
from gooseberryquay.contracts.service import Service, ServiceKind
from gooseberryquay.errors import Failure, GenerationLost, UnknownOutcome
from gooseberryquay.links.request_log import RequestRecord
from gooseberryquay.reports.indicator import Indicator, IndicatorCounts
from gooseberryquay.reports.level_ledger import (
    MAX_KEYS,
    OVERFLOW_KEY,
    KeyCounts,
    ServiceLevelLedger,
    service_level_key,
)

__all__ = ["ServiceLevelRecorder", "evaluate_request"]

HTTP_SERVER_ERROR = 500
LOWEST_MS = 1
HIGHEST_MS = 3_600_000
SIGNIFICANT_DIGITS = 2


class ServiceLevelRecorder:
    """Record completed requests of one entry; thread-safe."""

    def __init__(self, declaration: Callable[[], Declaration]) -> None:
        self._declaration = declaration
        self._lock = threading.Lock()
        self._ledger = ServiceLevelLedger()
        self._total_ms: dict[str, HdrHistogram] = {}

    def record_request(self, record: RequestRecord) -> None:
        """Count one completed request if its service is declared."""
        service = self._declaration().services.get(record.service)
        if service is None:
            return
        counts = evaluate_request(record, service)
        if not counts:
            return
        key = service_level_key(record.workspace, record.service, record.kind)
        with self._lock:
            self._ledger.add(time.time(), key, counts)
            self._histogram(key).record_value(max(LOWEST_MS, int(record.total_s * 1000)))

    def ledger(self) -> ServiceLevelLedger:
        """Return a copy of the counts."""
        with self._lock:
            self._ledger.drop_expired(time.time())
            return self._ledger.model_copy(deep=True)

    def add_previous_counts(self, ledger: ServiceLevelLedger) -> None:
        """Add the counts that a previous process of this entry has stored."""
        with self._lock:
            self._ledger.merge(ledger)

    def encoded_histograms(self) -> dict[str, str]:
        """Return histograms of request durations since process start, in HdrHistogram encoding."""
        with self._lock:
            return {key: each.encode().decode() for key, each in self._total_ms.items()}

    def _histogram(self, key: str) -> HdrHistogram:
        if key not in self._total_ms and len(self._total_ms) >= MAX_KEYS:
            key = OVERFLOW_KEY
        if key not in self._total_ms:
            self._total_ms[key] = HdrHistogram(LOWEST_MS, HIGHEST_MS, SIGNIFICANT_DIGITS)
        return self._total_ms[key]


def evaluate_request(record: RequestRecord, service: Service) -> KeyCounts:
    """Return the counts of each indicator; none for a request that failed by a caller error."""
    if record.failure is not None and not _is_service_failure(record.failure):
        return {}
    counts = {
        Indicator.ANSWERED: IndicatorCounts(1, int(record.failure is not None)),
        Indicator.DEADLINE: IndicatorCounts(1, int(record.total_s > service.deadline_s)),
    }
    if service.kind is ServiceKind.MODEL and record.first_token_s is not None:
        is_late = record.first_token_s > service.first_token_s
        counts[Indicator.FIRST_TOKEN] = IndicatorCounts(1, int(is_late))
        gaps = max(0, record.token_count - 1)
        counts[Indicator.TOKEN_GAP] = IndicatorCounts(gaps, record.late_gap_count)
    return counts


def _is_service_failure(failure: Failure) -> bool:
    return failure.status >= HTTP_SERVER_ERROR or isinstance(
        failure, GenerationLost | UnknownOutcome
    )
