"""Records that could not be written in time and are written later."""

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
PAUSE_S = 0.2
WORKER_COUNT = 4


@dataclass(frozen=True)
class _LateRecord:
    at: KeyLocation
    record: ClaimRecord


class Backlog:
    """Retry records in the background, the oldest first, up to a bounded number."""

    def __init__(self, claims: ClaimRegistry, records_max: int) -> None:
        self._claims = claims
        self._records_max = records_max
        self._condition = threading.Condition()
        self._late: deque[_LateRecord] = deque()
        self._open_count = 0
        self._worker_count = 0
        self.dropped_count = 0

    def __len__(self) -> int:
        with self._condition:
            return self._open_count

    def add(self, at: KeyLocation, record: ClaimRecord) -> None:
        """Write a record later; it is dropped where too many wait, which leaves its key closed."""
        with self._condition:
            if self._open_count >= self._records_max:
                self.dropped_count += 1
                return
            self._late.append(_LateRecord(at, record))
            self._open_count += 1
            if self._worker_count < min(WORKER_COUNT, self._open_count):
                self._worker_count += 1
                threading.Thread(target=self._work, daemon=True).start()

    def wait_until_empty(self, timeout_s: float) -> bool:
        """Wait for the last record; False where the time is over first."""
        with self._condition:
            return self._condition.wait_for(lambda: not self._open_count, timeout_s)

    def _work(self) -> None:
        while True:
            with self._condition:
                if not self._late:
                    self._worker_count -= 1
                    return
                late = self._late.popleft()
            self._write(late)

    def _write(self, late: _LateRecord) -> None:
        match self._claims.append(late.at, late.record, time.monotonic() + ATTEMPT_TIMEOUT_S):
            case Ok(_):
                with self._condition:
                    self._open_count -= 1
                    self._condition.notify_all()
            case _:
                time.sleep(PAUSE_S)
                with self._condition:
                    self._late.append(late)
