"""Group commit: one conditional write of a log's head carries the records of many threads."""

import random
import threading
import time
from dataclasses import dataclass

from result import Err, Ok, Result

from gooseberryquay.links.platform_client import OutcomeUnknown, WriteConflict
from gooseberryquay.postings.claim_index import KeyPhase, KeyState, next_state
from gooseberryquay.postings.claim_log_copy import ClaimLogCopy
from gooseberryquay.postings.claim_registry import (
    AppendFailure,
    AppendUncertain,
    KeysFull,
    NotAppended,
)
from gooseberryquay.postings.records import Claimed, ClaimRecord, RecordKey

__all__ = ["ClaimLog"]

RETRY_INTERVAL_S = 0.05
BACKOFF_DOUBLINGS_MAX = 4
WRITE_BURST = 8
WRITER_IDLE_TIMEOUT_S = 1.0
BATCH_RECORDS_MAX = 128


def _can_win_now(record: ClaimRecord, state: KeyState) -> bool:
    """Return whether a claim that was not written could win now.

    This is so after it lost to a claim that was released in the same write.
    """
    return isinstance(record, Claimed) and next_state(state, record) is not state


@dataclass(eq=False)
class _Pending:
    """Represent a record that a thread waits for; times are those of the monotonic clock."""

    record: ClaimRecord
    queued_at_s: float
    may_be_written: bool = False
    result: Result[KeyState, AppendFailure] | None = None


class ClaimLog:
    """Append records to one log, with at most one write in flight.

    A separate thread does the writes while records are pending, so that no caller is blocked beyond
    its own deadline.
    """

    def __init__(self, copy: ClaimLogCopy, write_interval_s: float, keys_max: int | None) -> None:
        self._copy = copy
        self._write_interval_s = write_interval_s
        self._keys_max = keys_max
        self._lock = threading.Lock()
        self._has_work = threading.Condition(self._lock)
        self._has_results = threading.Condition(self._lock)
        self._pending: list[_Pending] = []
        self._has_writer = False
        self._next_write_at_s = 0.0
        self._confirmed_at_s = 0.0

    @property
    def memory_bytes(self) -> int:
        """Return the estimated memory use of the local copy of the log."""
        return self._copy.memory_bytes

    def is_idle(self) -> bool:
        """Return whether no append is pending and no writer thread runs."""
        with self._lock:
            return not self._pending and not self._has_writer

    def has_pending(self) -> bool:
        """Return whether any append is pending."""
        with self._lock:
            return bool(self._pending)

    def known_state(self, key: RecordKey) -> KeyState:
        """Return the last locally known state of a key, which may be stale."""
        return self._copy.index.state(key)

    def append(self, record: ClaimRecord, deadline_at_s: float) -> Result[KeyState, AppendFailure]:
        """Append a record and return the state of its key once that state is certain.

        `deadline_at_s` is a time of the monotonic clock.
        """
        pending = _Pending(record, time.monotonic())
        with self._lock:
            self._pending.append(pending)
            self._wake_writer()
            while pending.result is None:
                remaining_s = deadline_at_s - time.monotonic()
                if remaining_s <= 0:
                    return self._time_out(pending)
                self._has_results.wait(remaining_s)
            return pending.result

    def _time_out(self, pending: _Pending) -> Result[KeyState, AppendFailure]:
        self._pending.remove(pending)
        if pending.may_be_written:
            return Err(
                AppendUncertain("the platform did not confirm the record before the deadline")
            )
        return Err(NotAppended("the platform did not accept the record before the deadline"))

    def _wake_writer(self) -> None:
        if self._has_writer:
            self._has_work.notify()
            return
        self._has_writer = True
        threading.Thread(target=self._run_writer, daemon=True).start()

    def _run_writer(self) -> None:
        failures = 0
        while self._wait_for_work():
            self._limit_write_rate()
            failures = 0 if self._write_once() else min(failures + 1, BACKOFF_DOUBLINGS_MAX)
            if failures:
                time.sleep(random.uniform(0.5, 1.0) * RETRY_INTERVAL_S * 2**failures)

    def _wait_for_work(self) -> bool:
        with self._lock:
            if not self._pending:
                self._has_work.wait(WRITER_IDLE_TIMEOUT_S)
            self._has_writer = bool(self._pending)
            return self._has_writer

    def _limit_write_rate(self) -> None:
        """Limit the mean rate of writes, with bursts allowed, so that records batch up."""
        now_s = time.monotonic()
        earliest_s = now_s - WRITE_BURST * self._write_interval_s
        self._next_write_at_s = max(self._next_write_at_s, earliest_s) + self._write_interval_s
        if self._next_write_at_s > now_s:
            time.sleep(self._next_write_at_s - now_s)

    def _write_once(self) -> bool:
        """Try to write the pending records; return False if the writer should back off."""
        started_at_s = time.monotonic()
        if not self._confirmed_at_s and not self._refresh(started_at_s):
            return False
        with self._lock:
            batch = self._pending[:BATCH_RECORDS_MAX]
            records = self._select_records(batch)
            for each in batch:
                each.may_be_written = each.may_be_written or each.record in records
        if not records:
            return self._resolve_from_copy(batch, started_at_s)
        match self._copy.write(records):
            case Ok(_):
                self._confirmed_at_s = started_at_s
                self._resolve(batch)
                return True
            case Err(WriteConflict(current)):
                return self._copy.apply_head(current).is_ok()
            case Err(OutcomeUnknown()):
                return self._refresh(time.monotonic())
            case Err(_):
                return False

    def _select_records(self, batch: list[_Pending]) -> tuple[ClaimRecord, ...]:
        """Return the records of a batch that change the state, given those before them."""
        states: dict[RecordKey, KeyState] = {}
        selected = []
        for each in batch:
            key = each.record.key
            if self._exceeds_key_limit(each.record, len(states)):
                if self._is_full() and self._confirmed_at_s >= each.queued_at_s:
                    self._complete(each, Err(KeysFull("the limit of untimed keys is reached")))
                continue
            state = states.get(key, self._copy.index.state(key))
            states[key] = next_state(state, each.record)
            if states[key] is not state:
                selected.append(each.record)
        return tuple(selected)

    def _exceeds_key_limit(self, record: ClaimRecord, added_count: int) -> bool:
        if self._keys_max is None or not isinstance(record, Claimed):
            return False
        if self._copy.index.has(record.key):
            return False
        return len(self._copy.index) + added_count >= self._keys_max

    def _is_full(self) -> bool:
        """Return whether the log holds the maximum number of keys; they are never removed."""
        return self._keys_max is not None and len(self._copy.index) >= self._keys_max

    def _resolve_from_copy(self, batch: list[_Pending], started_at_s: float) -> bool:
        """Resolve appends from the copy if it is final or was read after they were queued."""
        stale = [each for each in batch if not self._is_current(each)]
        if stale and not self._refresh(started_at_s):
            return False
        if not stale:
            self._resolve(batch)
        return True

    def _is_current(self, pending: _Pending) -> bool:
        state = self._copy.index.state(pending.record.key)
        return state.phase is KeyPhase.ANSWERED or self._confirmed_at_s >= pending.queued_at_s

    def _refresh(self, started_at_s: float) -> bool:
        if self._copy.refresh().is_err():
            return False
        self._confirmed_at_s = started_at_s
        return True

    def _resolve(self, batch: list[_Pending]) -> None:
        with self._lock:
            for each in batch:
                state = self._copy.index.state(each.record.key)
                if each.result is None and not _can_win_now(each.record, state):
                    self._complete(each, Ok(state))

    def _complete(self, pending: _Pending, result: Result[KeyState, AppendFailure]) -> None:
        pending.result = result
        if pending in self._pending:
            self._pending.remove(pending)
        self._has_results.notify_all()
