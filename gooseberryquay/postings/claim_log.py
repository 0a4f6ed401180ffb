"""Group commit: many threads' records go into one conditional write of a log's head."""

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
WRITER_LINGER_S = 1.0
BATCH_RECORDS_MAX = 128


def _may_still_win(record: ClaimRecord, state: KeyState) -> bool:
    """Tell whether a claim lost to one that was released in the same write."""
    return isinstance(record, Claimed) and next_state(state, record) is not state


@dataclass(eq=False)
class _Pending:
    """Hold one record that a thread waits for; times are of the monotonic clock."""

    record: ClaimRecord
    queued_at_s: float
    may_be_written: bool = False
    result: Result[KeyState, AppendFailure] | None = None


class ClaimLog:
    """Append records to one log, with one write in flight.

    A writer thread runs while records wait, so that no caller waits longer than its own deadline.
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
        """Give an estimate of the memory that the log takes here."""
        return self._copy.memory_bytes

    def is_idle(self) -> bool:
        """Tell whether no thread waits for an append and none writes."""
        with self._lock:
            return not self._pending and not self._has_writer

    def has_pending(self) -> bool:
        """Tell whether any thread waits for an append."""
        with self._lock:
            return bool(self._pending)

    def known_state(self, key: RecordKey) -> KeyState:
        """Give the last state seen of a key, which may be old."""
        return self._copy.index.state(key)

    def append(self, record: ClaimRecord, deadline_at_s: float) -> Result[KeyState, AppendFailure]:
        """Append a record and give the state of its key once that is certain."""
        pending = _Pending(record, time.monotonic())
        with self._lock:
            self._pending.append(pending)
            self._wake_writer()
            while pending.result is None:
                remaining_s = deadline_at_s - time.monotonic()
                if remaining_s <= 0:
                    return self._give_up(pending)
                self._has_results.wait(remaining_s)
            return pending.result

    def _give_up(self, pending: _Pending) -> Result[KeyState, AppendFailure]:
        self._pending.remove(pending)
        if pending.may_be_written:
            return Err(AppendUncertain("the platform did not confirm the record in time"))
        return Err(NotAppended("the platform did not take the record in time"))

    def _wake_writer(self) -> None:
        if self._has_writer:
            self._has_work.notify()
            return
        self._has_writer = True
        threading.Thread(target=self._run_writer, daemon=True).start()

    def _run_writer(self) -> None:
        failures = 0
        while self._wait_for_work():
            self._wait_for_turn()
            failures = 0 if self._write_once() else min(failures + 1, BACKOFF_DOUBLINGS_MAX)
            if failures:
                time.sleep(random.uniform(0.5, 1.0) * RETRY_INTERVAL_S * 2**failures)

    def _wait_for_work(self) -> bool:
        with self._lock:
            if not self._pending:
                self._has_work.wait(WRITER_LINGER_S)
            self._has_writer = bool(self._pending)
            return self._has_writer

    def _wait_for_turn(self) -> None:
        """Keep the mean interval between writes, in which more records gather."""
        now_s = time.monotonic()
        earliest_s = now_s - WRITE_BURST * self._write_interval_s
        self._next_write_at_s = max(self._next_write_at_s, earliest_s) + self._write_interval_s
        if self._next_write_at_s > now_s:
            time.sleep(self._next_write_at_s - now_s)

    def _write_once(self) -> bool:
        """Try to write all that waits; False asks for a pause before the next try."""
        started_at_s = time.monotonic()
        if not self._confirmed_at_s and not self._refresh(started_at_s):
            return False
        with self._lock:
            batch = self._pending[:BATCH_RECORDS_MAX]
            records = self._choose_records(batch)
            for each in batch:
                each.may_be_written = each.may_be_written or each.record in records
        if not records:
            return self._settle_without_write(batch, started_at_s)
        match self._copy.write(records):
            case Ok(_):
                self._confirmed_at_s = started_at_s
                self._settle(batch)
                return True
            case Err(WriteConflict(current)):
                return self._copy.take_in(current).is_ok()
            case Err(OutcomeUnknown()):
                return self._refresh(time.monotonic())
            case Err(_):
                return False

    def _choose_records(self, batch: list[_Pending]) -> tuple[ClaimRecord, ...]:
        """Leave out records that change nothing after those before them."""
        states: dict[RecordKey, KeyState] = {}
        chosen = []
        for each in batch:
            key = each.record.key
            if self._is_over_bound(each.record, len(states)):
                if self._is_full() and self._confirmed_at_s >= each.queued_at_s:
                    self._finish(each, Err(KeysFull("no more untimed keys can be kept")))
                continue
            state = states.get(key, self._copy.index.state(key))
            states[key] = next_state(state, each.record)
            if states[key] is not state:
                chosen.append(each.record)
        return tuple(chosen)

    def _is_over_bound(self, record: ClaimRecord, added_count: int) -> bool:
        if self._keys_max is None or not isinstance(record, Claimed):
            return False
        if self._copy.index.has(record.key):
            return False
        return len(self._copy.index) + added_count >= self._keys_max

    def _is_full(self) -> bool:
        """Tell whether the log itself holds all the keys that it may, which it then keeps."""
        return self._keys_max is not None and len(self._copy.index) >= self._keys_max

    def _settle_without_write(self, batch: list[_Pending], started_at_s: float) -> bool:
        """Answer from the copy where it is final or as new as the question."""
        old = [each for each in batch if not self._is_current(each)]
        if old and not self._refresh(started_at_s):
            return False
        if not old:
            self._settle(batch)
        return True

    def _is_current(self, pending: _Pending) -> bool:
        state = self._copy.index.state(pending.record.key)
        return state.phase is KeyPhase.ANSWERED or self._confirmed_at_s >= pending.queued_at_s

    def _refresh(self, started_at_s: float) -> bool:
        if self._copy.refresh().is_err():
            return False
        self._confirmed_at_s = started_at_s
        return True

    def _settle(self, batch: list[_Pending]) -> None:
        with self._lock:
            for each in batch:
                state = self._copy.index.state(each.record.key)
                if each.result is None and not _may_still_win(each.record, state):
                    self._finish(each, Ok(state))

    def _finish(self, pending: _Pending, result: Result[KeyState, AppendFailure]) -> None:
        pending.result = result
        if pending in self._pending:
            self._pending.remove(pending)
        self._has_results.notify_all()
