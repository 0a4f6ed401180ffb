"""Share the capacity of a cold upstream among all entries."""

import random
import threading
import time
from collections.abc import Callable

from gooseberryquay.contracts.upstream import UpstreamDeclaration
from gooseberryquay.ids import UpstreamId
from gooseberryquay.machines.cold_callbacks import ColdAdmissionCallbacks
from gooseberryquay.machines.cold_record import SlotHolder
from gooseberryquay.machines.cold_store import SlotFailure, SlotGranted, SlotStore, SlotUnsure
from gooseberryquay.machines.held_slots import ColdHolding
from gooseberryquay.machines.load_report import LoadReport
from gooseberryquay.machines.pause_counter import PauseWatch
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
    """Hold slots of cold upstreams and hand them to the dispatcher.

    A slot is a record in the platform; an entry sends at most one request at a time through each
    slot that it holds, so that the recorded slots bound the work of all entries together.
    """

    def __init__(
        self,
        store: SlotStore,
        this_entry: Callable[[], SlotHolder],
        table: UpstreamTable,
        settle_s: float = SETTLE_S,
        random_source: random.Random | None = None,
    ) -> None:
        self._store = store
        self._myself = this_entry
        self._table = table
        self._settle_s = settle_s
        self._random = random_source or random.Random()
        self._holdings: dict[UpstreamId, ColdHolding] = {}
        self._pause_watch = PauseWatch()
        self._pauses_seen = 0
        self._links: ColdAdmissionCallbacks | None = None
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._wanted = threading.Event()
        self._call_at_s = 0.0

    def start(self, links: ColdAdmissionCallbacks) -> None:
        """Take and release slots in the background."""
        self._links = links
        self._pause_watch.start()
        threading.Thread(target=self._run, name="cold-admission", daemon=True).start()

    def stop(self) -> None:
        """Release all unused slots and stop."""
        self._stopped.set()
        self._wanted.set()
        self._pause_watch.stop()

    def has_free(self, upstream: UpstreamDeclaration) -> bool:
        """Tell whether a slot is free; ask for one in the background if none is."""
        with self._lock:
            self._check_pause()
            holding = self._holding_of(upstream)
            if holding.free(time.monotonic()) > 0:
                return True
            holding.is_wanted = True
        self._wanted.set()
        return False

    def try_take(self, upstream: UpstreamDeclaration) -> bool:
        """Take a free slot that this entry holds."""
        with self._lock:
            self._check_pause()
            return self._holding_of(upstream).take(time.monotonic())

    def give_back(self, upstream: UpstreamDeclaration, is_certain: bool) -> None:
        """Free a slot that was taken; `is_certain` if the upstream is done with the request."""
        with self._lock:
            self._holding_of(upstream).give_back(is_certain, time.monotonic())

    def record_report(self, upstream: UpstreamId, report: LoadReport) -> None:
        """Take in a report, which may show that a request in doubt has ended."""
        with self._lock:
            holding = self._holdings.get(upstream)
            if holding is not None:
                measured_at_s = time.monotonic() - report.age_s
                holding.saw_in_flight(report.in_flight + report.queued, measured_at_s)

    def held(self, upstream: UpstreamId) -> int:
        """Give the number of slots that this entry holds."""
        with self._lock:
            holding = self._holdings.get(upstream)
            return holding.held if holding is not None else 0

    def _holding_of(self, upstream: UpstreamDeclaration) -> ColdHolding:
        holding = self._holdings.get(upstream.id)
        if holding is None:
            holding = self._holdings[upstream.id] = ColdHolding(upstream)
        holding.upstream = upstream
        return holding

    def _check_pause(self) -> None:
        """After a pause others may have freed the slots, so read the records again first."""
        pauses = self._pause_watch.pauses()
        if pauses == self._pauses_seen:
            return
        self._pauses_seen = pauses
        for holding in self._holdings.values():
            holding.is_validated = False

    def _run(self) -> None:
        while not self._stopped.is_set():
            self._wanted.wait(ROUND_S)
            self._wanted.clear()
            self._do_round()
            self._stopped.wait(ROUND_S)
        for holding in self._copy_holdings():
            self._release(holding, holding.unused(time.monotonic()))

    def _copy_holdings(self) -> list[ColdHolding]:
        with self._lock:
            self._check_pause()
            return list(self._holdings.values())

    def _do_round(self) -> None:
        holdings = self._copy_holdings()
        self._random.shuffle(holdings)
        for holding in holdings:
            now_s = time.monotonic()
            if now_s < self._call_at_s:
                return
            if now_s < holding.try_again_at_s:
                continue
            upstream = self._table.find(holding.upstream.id)
            is_cold = upstream is not None and upstream.view is UpstreamView.COLD
            if not holding.is_validated or holding.unsure_version is not None:
                self._validate(holding)
            elif not is_cold:
                self._note_warm(holding, upstream)
                self._release(holding, holding.unused(now_s))
                self._forget_unused(holding, upstream)
            elif holding.has_noted_warm and holding.unused(now_s) > 0:
                self._release(holding, holding.unused(now_s))
            elif holding.is_wanted and self._may_want_more(holding, now_s):
                assert upstream is not None
                self._acquire(holding, upstream)
            else:
                self._release(holding, holding.idle_slots(now_s, SLOT_IDLE_S))

    def _may_want_more(self, holding: ColdHolding, now_s: float) -> bool:
        share = -(-holding.upstream.cold_in_flight_max // self._entry_count())
        return holding.free(now_s) <= 0 and holding.held < share

    def _entry_count(self) -> int:
        return max(1, self._links.entry_count()) if self._links is not None else 1

    def _acquire(self, holding: ColdHolding, upstream: Upstream) -> None:
        assert self._links is not None
        holding.is_wanted = False
        report = self._links.fresh_report(holding.upstream)
        now_s = time.monotonic()
        if report is None or upstream.view is not UpstreamView.COLD:
            self._wait(holding, is_failure=report is None)
            return
        measured_at_s = now_s - report.age_s
        if measured_at_s < upstream.view_since_s + self._settle_s:
            holding.is_wanted = True
            holding.try_again_at_s = min(
                upstream.view_since_s + self._settle_s + report.age_s, now_s + RETRY_MAX_S
            )
            return
        with self._lock:
            own_in_flight = holding.in_flight_at(measured_at_s)
        in_flight = report.in_flight + report.queued
        answer = self._store.acquire(holding.upstream, self._myself(), in_flight, own_in_flight)
        self._take_answer(holding, answer)

    def _release(self, holding: ColdHolding, count: int) -> None:
        with self._lock:
            count = min(count, holding.unused(time.monotonic()))
            if count <= 0:
                return
            holding.held -= count
        answer = self._store.release(holding.upstream, self._myself(), count)
        if isinstance(answer, SlotFailure):
            with self._lock:
                holding.held += count
        self._take_answer(holding, answer)

    def _validate(self, holding: ColdHolding) -> None:
        answer = self._store.settle_unsure(holding.upstream, self._myself(), holding.unsure_version)
        self._take_answer(holding, answer)

    def _take_answer(
        self, holding: ColdHolding, answer: SlotGranted | SlotUnsure | SlotFailure
    ) -> None:
        self._call_at_s = time.monotonic() + self._entry_count() / FLEET_CALLS_PER_S
        match answer:
            case SlotGranted(held=held):
                with self._lock:
                    has_more = held > holding.held
                    if has_more:
                        holding.has_noted_warm = False
                    holding.held = held
                    holding.has_record = True
                    holding.is_validated = True
                    holding.unsure_version = None
                    if has_more:
                        holding.used_at_s = time.monotonic()
                self._wait(holding, is_failure=not has_more)
                if has_more and self._links is not None:
                    self._links.capacity_changed(holding.upstream.service)
            case SlotUnsure(expected_version=expected_version):
                holding.unsure_version = expected_version
                self._wait(holding, is_failure=True)
            case SlotFailure():
                self._wait(holding, is_failure=True)

    def _wait(self, holding: ColdHolding, is_failure: bool) -> None:
        holding.failures = holding.failures + 1 if is_failure else 0
        backoff_s = min(RETRY_MAX_S, RETRY_MIN_S * 2.0 ** min(holding.failures, 8))
        holding.try_again_at_s = time.monotonic() + backoff_s * self._random.random()

    def _note_warm(self, holding: ColdHolding, upstream: Upstream | None) -> None:
        """Have unslotted work counted anew, since a warm upstream gets such work."""
        if upstream is None or upstream.view is not UpstreamView.WARM:
            return
        if holding.has_noted_warm or not holding.has_record:
            return
        answer = self._store.unsettle(holding.upstream, self._myself())
        self._take_answer(holding, answer)
        holding.has_noted_warm = isinstance(answer, SlotGranted)

    def _forget_unused(self, holding: ColdHolding, upstream: Upstream | None) -> None:
        is_due_to_note = holding.has_record and not holding.has_noted_warm
        if upstream is not None and is_due_to_note:
            return
        with self._lock:
            if holding.is_unused():
                self._holdings.pop(holding.upstream.id, None)
