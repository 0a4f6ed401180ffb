"""Records of suspected requests, bounded in number and age."""

import threading
import time
from collections import OrderedDict
from collections.abc import Callable, Iterable

from gooseberryquay.ids import UpstreamId
from gooseberryquay.machines.suspect_messages import SuspectRecord

__all__ = ["SuspectTable"]

MAX_RECORDS = 4096


class SuspectTable:
    """Table with one record for each fingerprint; thread-safe.

    Deaths are cleared for the `finished_max` requests that finished most recently, and up to their
    latest good run for as many parts of prompts.
    """

    def __init__(
        self,
        death_window_s: float,
        retention_s: float,
        clock: Callable[[], float] = time.time,
        finished_max: int = 0,
    ) -> None:
        self._finished: OrderedDict[str, None] = OrderedDict()
        self._finished_max = finished_max
        self._cleared_until_s: OrderedDict[str, float] = OrderedDict()
        self._death_window_s = death_window_s
        self._retention_s = retention_s
        self._clock = clock
        self._records: dict[str, SuspectRecord] = {}
        self._lock = threading.Lock()

    def get(self, fingerprint: str) -> SuspectRecord | None:
        """Return the record of a request, or None if there is none or it is too old."""
        record = self._records.get(fingerprint)
        return None if record is None or self._is_old(record) else record

    def record_finished(self, fingerprint: str) -> None:
        """Remember that a request ran to completion."""
        if self._finished_max == 0:
            return
        with self._lock:
            self._finished[fingerprint] = None
            self._finished.move_to_end(fingerprint)
            if len(self._finished) > self._finished_max:
                self._finished.popitem(last=False)

    def record_good_run(self, fingerprint: str, cleared_until_s: float) -> None:
        """Remember that deaths up to a time do not count against a part of a prompt."""
        if self._finished_max == 0:
            return
        with self._lock:
            previous_s = self._cleared_until_s.pop(fingerprint, 0.0)
            self._cleared_until_s[fingerprint] = max(previous_s, cleared_until_s)
            if len(self._cleared_until_s) > self._finished_max:
                self._cleared_until_s.popitem(last=False)

    def merge(self, records: Iterable[SuspectRecord]) -> tuple[SuspectRecord, ...]:
        """Merge records into the table; return those that changed."""
        changed = []
        with self._lock:
            for record in records:
                held = self._records.get(record.fingerprint)
                joined = record if held is None else held.merged(record, self._death_window_s)
                if record.fingerprint in self._finished:
                    joined = joined.cleared()
                if record.fingerprint in self._cleared_until_s:
                    joined = joined.cleared_up_to(self._cleared_until_s[record.fingerprint])
                if held is None and not joined.deaths:
                    continue
                if joined != held and not self._is_old(joined):
                    self._records[record.fingerprint] = joined
                    changed.append(joined)
            if len(self._records) > MAX_RECORDS:
                self._drop_surplus()
        return tuple(changed)

    def records(self) -> tuple[SuspectRecord, ...]:
        """Return every record that is not too old."""
        with self._lock:
            return tuple(each for each in self._records.values() if not self._is_old(each))

    def death_ages_s(self) -> dict[UpstreamId, float]:
        """Return the seconds since the last death of each upstream, including cleared deaths."""
        ages_s: dict[UpstreamId, float] = {}
        for record in self.records():
            for death in record.deaths:
                age_s = self._clock() - death.at_s
                ages_s[death.upstream] = min(age_s, ages_s.get(death.upstream, age_s))
        return ages_s

    def _drop_surplus(self) -> None:
        """Evict old records, then cleared ones, then those whose last death is oldest."""
        kept = [each for each in self._records.values() if not self._is_old(each)]
        kept.sort(key=lambda each: (each.crash_count() > 0, each.last_death_s()), reverse=True)
        self._records = {each.fingerprint: each for each in kept[:MAX_RECORDS]}

    def _is_old(self, record: SuspectRecord) -> bool:
        return record.last_death_s() < self._clock() - self._retention_s
