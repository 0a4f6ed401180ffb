"""Retry queue of records that could not be appended in time."""

import threading
import time
from collections import deque
from dataclasses import dataclass

from result import Ok

from gooseberryquay.postings.claim_registry import ClaimRegistry
from gooseberryquay.postings.posting import KeyLocation
from gooseberryquay.postings.records import ClaimRecord

__all__ = ["Backlog"]

ATTEMPT_TIMEOUT_S = 2.0
RETRY_INTERVAL_S = 0.2
WORKER_COUNT = 4


@dataclass(frozen=True)
class _QueuedRecord:
    at: KeyLocation
    record: ClaimRecord


class Backlog:
    """Retry a bounded number of records in the background, the oldest first."""

    def __init__(self, claims: ClaimRegistry, records_max: int) -> None:
        self._claims = claims
        self._records_max = records_max
        self._condition = threading.Condition()
        self._queue: deque[_QueuedRecord] = deque()
        self._pending_count = 0
        self._worker_count = 0
        self.dropped_count = 0

    def __len__(self) -> int:
        with self._condition:
            return self._pending_count

    def add(self, at: KeyLocation, record: ClaimRecord) -> None:
        """Queue a record; if the queue is full it is dropped, and its key stays claimed."""
        with self._condition:
            if self._pending_count >= self._records_max:
                self.dropped_count += 1
                return
            self._queue.append(_QueuedRecord(at, record))
            self._pending_count += 1
            if self._worker_count < min(WORKER_COUNT, self._pending_count):
                self._worker_count += 1
                threading.Thread(target=self._work, daemon=True).start()

    def wait_until_empty(self, timeout_s: float) -> bool:
        """Wait until all records are appended; return False on timeout."""
        with self._condition:
            return self._condition.wait_for(lambda: not self._pending_count, timeout_s)

    def _work(self) -> None:
        while True:
            with self._condition:
                if not self._queue:
                    self._worker_count -= 1
                    return
                queued = self._queue.popleft()
            self._append(queued)

    def _append(self, queued: _QueuedRecord) -> None:
        match self._claims.append(queued.at, queued.record, time.monotonic() + ATTEMPT_TIMEOUT_S):
            case Ok(_):
                with self._condition:
                    self._pending_count -= 1
                    self._condition.notify_all()
            case _:
                time.sleep(RETRY_INTERVAL_S)
                with self._condition:
                    self._queue.append(queued)
