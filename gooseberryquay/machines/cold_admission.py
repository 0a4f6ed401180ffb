"""Admission control for cold upstreams: all entries share a limited number of slots."""

import random
import threading
import time
from collections.abc import Callable

from gooseberryquay.contracts.upstream import UpstreamDeclaration
from gooseberryquay.ids import UpstreamId
from gooseberryquay.machines.cold_callbacks import ColdAdmissionCallbacks
from gooseberryquay.machines.cold_record import SlotHolder
from gooseberryquay.machines.cold_store import (
    SlotFailure,
    SlotGranted,
    SlotOutcomeUnknown,
    SlotStore,
)
from gooseberryquay.machines.held_slots import HeldSlots
from gooseberryquay.machines.load_report import LoadReport
from gooseberryquay.machines.pause_counter import PauseCounter
from gooseberryquay.machines.upstream import Upstream, UpstreamView
from gooseberryquay.machines.upstream_table import UpstreamTable

__all__ = ["ColdAdmission", "ColdAdmissionCallbacks"]

ROUND_S = 0.1
SETTLE_S = 2.0
SLOT_IDLE_S = 2.0
FLEET_CALLS_PER_S = 200.0
RETRY_MIN_S = 0.2
RETRY_MAX_S = 5.0


class ColdAdmission:
    """Acquire slots of cold upstreams and hand them to the dispatcher.

    A slot is recorded in the platform. An entry sends at most one request at a time per slot that
    it holds, so the recorded slots bound the concurrent requests of all entries together.
    """

    def __init__(
        self,
        store: SlotStore,
        this_entry: Callable[[], SlotHolder],
        table: UpstreamTable,
        settle_s: float = SETTLE_S,
        rng: random.Random | None = None,
    ) -> None:
        self._store = store
        self._this_entry = this_entry
        self._table = table
        self._settle_s = settle_s
        self._rng = rng or random.Random()
        self._held_slots: dict[UpstreamId, HeldSlots] = {}
        self._pause_counter = PauseCounter()
        self._pauses_seen = 0
        self._callbacks: ColdAdmissionCallbacks | None = None
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._wanted = threading.Event()
        self._next_call_at_s = 0.0

    def start(self, callbacks: ColdAdmissionCallbacks) -> None:
        """Acquire and release slots in the background."""
        self._callbacks = callbacks
        self._pause_counter.start()
        threading.Thread(target=self._run, name="cold-admission", daemon=True).start()

    def stop(self) -> None:
        """Release all unused slots and stop."""
        self._stopped.set()
        self._wanted.set()
        self._pause_counter.stop()

    def has_free(self, upstream: UpstreamDeclaration) -> bool:
        """Return whether a slot is free; request one in the background if none is."""
        with self._lock:
            self._check_pause()
            slots = self._slots_of(upstream)
            if slots.free(time.monotonic()) > 0:
                return True
            slots.is_wanted = True
        self._wanted.set()
        return False

    def try_take(self, upstream: UpstreamDeclaration) -> bool:
        """Use a free slot held by this entry; return whether there was one."""
        with self._lock:
            self._check_pause()
            return self._slots_of(upstream).take(time.monotonic())

    def return_slot(self, upstream: UpstreamDeclaration, is_certain: bool) -> None:
        """Return a used slot; `is_certain` if the upstream has certainly ended the request."""
        with self._lock:
            self._slots_of(upstream).return_slot(is_certain, time.monotonic())

    def record_report(self, upstream: UpstreamId, report: LoadReport) -> None:
        """Process a load report, which may show that a request with unknown outcome has ended."""
        with self._lock:
            slots = self._held_slots.get(upstream)
            if slots is not None:
                measured_at_s = time.monotonic() - report.age_s
                slots.record_in_flight(report.in_flight + report.queued, measured_at_s)

    def held(self, upstream: UpstreamId) -> int:
        """Return the number of slots that this entry holds."""
        with self._lock:
            slots = self._held_slots.get(upstream)
            return slots.held if slots is not None else 0

    def _slots_of(self, upstream: UpstreamDeclaration) -> HeldSlots:
        slots = self._held_slots.get(upstream.id)
        if slots is None:
            slots = self._held_slots[upstream.id] = HeldSlots(upstream)
        slots.upstream = upstream
        return slots

    def _check_pause(self) -> None:
        """Revalidate all slots after a pause, as other entries may have freed them meanwhile."""
        pauses = self._pause_counter.pauses()
        if pauses == self._pauses_seen:
            return
        self._pauses_seen = pauses
        for slots in self._held_slots.values():
            slots.is_validated = False

    def _run(self) -> None:
        while not self._stopped.is_set():
            self._wanted.wait(ROUND_S)
            self._wanted.clear()
            self._run_round()
            self._stopped.wait(ROUND_S)
        for slots in self._list_held_slots():
            self._release(slots, slots.unused(time.monotonic()))

    def _list_held_slots(self) -> list[HeldSlots]:
        with self._lock:
            self._check_pause()
            return list(self._held_slots.values())

    def _run_round(self) -> None:
        held_slots = self._list_held_slots()
        self._rng.shuffle(held_slots)
        for slots in held_slots:
            now_s = time.monotonic()
            if now_s < self._next_call_at_s:
                return
            if now_s < slots.retry_at_s:
                continue
            upstream = self._table.find(slots.upstream.id)
            is_cold = upstream is not None and upstream.view is UpstreamView.COLD
            if not slots.is_validated or slots.uncertain_version is not None:
                self._validate(slots)
            elif not is_cold:
                self._record_warm(slots, upstream)
                self._release(slots, slots.unused(now_s))
                self._forget_unused(slots, upstream)
            elif slots.has_recorded_warm and slots.unused(now_s) > 0:
                self._release(slots, slots.unused(now_s))
            elif slots.is_wanted and self._may_acquire_more(slots, now_s):
                assert upstream is not None
                self._acquire(slots, upstream)
            else:
                self._release(slots, slots.idle_slots(now_s, SLOT_IDLE_S))

    def _may_acquire_more(self, slots: HeldSlots, now_s: float) -> bool:
        share = -(-slots.upstream.cold_in_flight_max // self._entry_count())
        return slots.free(now_s) <= 0 and slots.held < share

    def _entry_count(self) -> int:
        return max(1, self._callbacks.entry_count()) if self._callbacks is not None else 1

    def _acquire(self, slots: HeldSlots, upstream: Upstream) -> None:
        assert self._callbacks is not None
        slots.is_wanted = False
        report = self._callbacks.fresh_report(slots.upstream)
        now_s = time.monotonic()
        if report is None or upstream.view is not UpstreamView.COLD:
            self._schedule_retry(slots, is_failure=report is None)
            return
        measured_at_s = now_s - report.age_s
        if measured_at_s < upstream.view_since_s + self._settle_s:
            slots.is_wanted = True
            slots.retry_at_s = min(
                upstream.view_since_s + self._settle_s + report.age_s, now_s + RETRY_MAX_S
            )
            return
        with self._lock:
            own_in_flight = slots.in_flight_at(measured_at_s)
        in_flight = report.in_flight + report.queued
        result = self._store.acquire(slots.upstream, self._this_entry(), in_flight, own_in_flight)
        self._apply_result(slots, result)

    def _release(self, slots: HeldSlots, count: int) -> None:
        with self._lock:
            count = min(count, slots.unused(time.monotonic()))
            if count <= 0:
                return
            slots.held -= count
        result = self._store.release(slots.upstream, self._this_entry(), count)
        if isinstance(result, SlotFailure):
            with self._lock:
                slots.held += count
        self._apply_result(slots, result)

    def _validate(self, slots: HeldSlots) -> None:
        result = self._store.resolve_uncertain(
            slots.upstream, self._this_entry(), slots.uncertain_version
        )
        self._apply_result(slots, result)

    def _apply_result(
        self, slots: HeldSlots, result: SlotGranted | SlotOutcomeUnknown | SlotFailure
    ) -> None:
        self._next_call_at_s = time.monotonic() + self._entry_count() / FLEET_CALLS_PER_S
        match result:
            case SlotGranted(held=held):
                with self._lock:
                    has_more = held > slots.held
                    if has_more:
                        slots.has_recorded_warm = False
                    slots.held = held
                    slots.has_record = True
                    slots.is_validated = True
                    slots.uncertain_version = None
                    if has_more:
                        slots.used_at_s = time.monotonic()
                self._schedule_retry(slots, is_failure=not has_more)
                if has_more and self._callbacks is not None:
                    self._callbacks.capacity_changed(slots.upstream.service)
            case SlotOutcomeUnknown(expected_version=expected_version):
                slots.uncertain_version = expected_version
                self._schedule_retry(slots, is_failure=True)
            case SlotFailure():
                self._schedule_retry(slots, is_failure=True)

    def _schedule_retry(self, slots: HeldSlots, is_failure: bool) -> None:
        slots.failures = slots.failures + 1 if is_failure else 0
        backoff_s = min(RETRY_MAX_S, RETRY_MIN_S * 2.0 ** min(slots.failures, 8))
        slots.retry_at_s = time.monotonic() + backoff_s * self._rng.random()

    def _record_warm(self, slots: HeldSlots, upstream: Upstream | None) -> None:
        """Mark the record unsettled, as a warm upstream also receives requests without a slot."""
        if upstream is None or upstream.view is not UpstreamView.WARM:
            return
        if slots.has_recorded_warm or not slots.has_record:
            return
        result = self._store.unsettle(slots.upstream, self._this_entry())
        self._apply_result(slots, result)
        slots.has_recorded_warm = isinstance(result, SlotGranted)

    def _forget_unused(self, slots: HeldSlots, upstream: Upstream | None) -> None:
        must_record_warm = slots.has_record and not slots.has_recorded_warm
        if upstream is not None and must_record_warm:
            return
        with self._lock:
            if slots.is_unused():
                self._held_slots.pop(slots.upstream.id, None)
