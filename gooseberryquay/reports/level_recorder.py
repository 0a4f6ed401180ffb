"""Judge ended requests by their service level and count the outcome."""

import threading
import time
from collections.abc import Callable

from hdrh.histogram import HdrHistogram

from gooseberryquay.contracts.declaration import Declaration
from gooseberryquay.contracts.service import Service, ServiceKind
from gooseberryquay.errors import Failure, GenerationLost, UnknownOutcome
from gooseberryquay.links.request_log import RequestRecord
from gooseberryquay.reports.level_ledger import (
    MAX_KEYS,
    OTHER_KEY,
    KeyCounts,
    LevelLedger,
    level_key,
)
from gooseberryquay.reports.promise import Promise, PromiseCounts

__all__ = ["LevelRecorder", "judge"]

HTTP_SERVER_ERROR = 500
LOWEST_MS = 1
HIGHEST_MS = 3_600_000
SIGNIFICANT_DIGITS = 2


class LevelRecorder:
    """Take in ended requests of one entry; safe for use by many threads."""

    def __init__(self, declaration: Callable[[], Declaration]) -> None:
        self._declaration = declaration
        self._lock = threading.Lock()
        self._ledger = LevelLedger()
        self._total_ms: dict[str, HdrHistogram] = {}

    def record_request(self, record: RequestRecord) -> None:
        """Count one ended request of a declared service."""
        service = self._declaration().services.get(record.service)
        if service is None:
            return
        counts = judge(record, service)
        if not counts:
            return
        key = level_key(record.workspace, record.service, record.kind)
        with self._lock:
            self._ledger.add(time.time(), key, counts)
            self._histogram(key).record_value(max(LOWEST_MS, int(record.total_s * 1000)))

    def ledger(self) -> LevelLedger:
        """Give a copy of the counts."""
        with self._lock:
            self._ledger.drop_old(time.time())
            return self._ledger.model_copy(deep=True)

    def take_over(self, ledger: LevelLedger) -> None:
        """Add the counts of a former run of this entry."""
        with self._lock:
            self._ledger.join(ledger)

    def encoded_histograms(self) -> dict[str, str]:
        """Give the total times since the start of this run, each in the library's own coding."""
        with self._lock:
            return {key: each.encode().decode() for key, each in self._total_ms.items()}

    def _histogram(self, key: str) -> HdrHistogram:
        if key not in self._total_ms and len(self._total_ms) >= MAX_KEYS:
            key = OTHER_KEY
        if key not in self._total_ms:
            self._total_ms[key] = HdrHistogram(LOWEST_MS, HIGHEST_MS, SIGNIFICANT_DIGITS)
        return self._total_ms[key]


def judge(record: RequestRecord, service: Service) -> KeyCounts:
    """Tell which promises were due and which were broken; nothing for a caller's own mistake."""
    if record.failure is not None and not _is_our_fault(record.failure):
        return {}
    counts = {
        Promise.ANSWERED: PromiseCounts(1, int(record.failure is not None)),
        Promise.DEADLINE: PromiseCounts(1, int(record.total_s > service.deadline_s)),
    }
    if service.kind is ServiceKind.MODEL and record.first_token_s is not None:
        is_late = record.first_token_s > service.first_token_s
        counts[Promise.FIRST_TOKEN] = PromiseCounts(1, int(is_late))
        gaps = max(0, record.token_count - 1)
        counts[Promise.TOKEN_GAP] = PromiseCounts(gaps, record.late_gap_count)
    return counts


def _is_our_fault(failure: Failure) -> bool:
    return failure.status >= HTTP_SERVER_ERROR or isinstance(
        failure, GenerationLost | UnknownOutcome
    )
