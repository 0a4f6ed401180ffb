"""Place requests on upstreams and hold them until one can take them."""

import random
import threading
import time
from collections.abc import Callable

from result import Err, Ok, Result

from gooseberryquay.contracts.settings import ChoiceSettings
from gooseberryquay.errors import DeadlineUnreachable, Failure, Overloaded
from gooseberryquay.ids import ServiceId, UpstreamId
from gooseberryquay.machines.choice import Candidate, Chooser, Decision
from gooseberryquay.machines.cold_slots import ColdSlots
from gooseberryquay.machines.dispatch_placement import PlacedWork, PlacementEvents
from gooseberryquay.machines.length_estimate import LengthEstimator
from gooseberryquay.machines.load_report import LoadReport
from gooseberryquay.machines.queue_order import QueueClass
from gooseberryquay.machines.queue_waiter import Waiter
from gooseberryquay.machines.service_queue import ServiceLane
from gooseberryquay.machines.upstream import Upstream, UpstreamView
from gooseberryquay.machines.upstream_eligibility import UpstreamGate
from gooseberryquay.machines.upstream_table import UpstreamTable
from gooseberryquay.machines.upstream_work import UpstreamWork
from gooseberryquay.machines.waiter_factory import make_waiter
from gooseberryquay.machines.work import Outcome, Placement, Work
from gooseberryquay.machines.workspace_limits import WorkspaceShares

__all__ = ["WorkDispatcher"]

HEADS_TRIED = 4
RETRY_AFTER_MIN_S = 1.0
RETRY_AFTER_MAX_S = 60.0
CERTAIN_ENDS = frozenset({Outcome.FINISHED, Outcome.REFUSED, Outcome.UNREACHABLE})
QUICK_PRIORITY = 0
LONG_PRIORITY = 1


class WorkDispatcher:
    """Choose upstreams by the set rule; safe for use by many threads."""

    def __init__(
        self,
        *,
        table: UpstreamTable,
        settings: ChoiceSettings,
        slots: ColdSlots,
        entry_count: Callable[[], int],
        queue_length_max: int,
        random_source: random.Random | None = None,
        on_turned_cold: Callable[[UpstreamId], None] = lambda _upstream: None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._clock = clock
        self._turned_cold = on_turned_cold
        self._table = table
        self._settings = settings
        self._entry_count = entry_count
        self._slots = slots
        self._queue_length_max = queue_length_max
        self._chooser = Chooser(settings, random_source or random.Random())
        self._lengths = LengthEstimator(settings.length_scale)
        self._lanes: dict[ServiceId, ServiceLane] = {}
        self._shares = WorkspaceShares(table.configuration, entry_count)
        self._events = PlacementEvents(self._take_report, self._finish)
        self._lock = threading.Lock()

    def place(self, work: Work) -> Result[Placement, Failure]:
        """Wait for a place, or give the final refusal at once when there will be none."""
        with self._lock:
            waiter = self._enter(work)
            if waiter.answer is not None:
                return waiter.answer
            answered = waiter.answered = threading.Event()
        answered.wait(max(0.0, waiter.give_up_at_s - self._clock()))
        with self._lock:
            if waiter.answer is None:
                self._refuse(
                    waiter, self._overloaded(work.service, "no upstream came free in time")
                )
        assert waiter.answer is not None
        return waiter.answer

    def record_report(self, upstream_id: UpstreamId, report: LoadReport) -> None:
        """Take in a report that was polled."""
        upstream = self._table.find(upstream_id)
        if upstream is not None:
            self._take_report(upstream, report)

    def record_unresponsive(self, upstream_id: UpstreamId, is_gone: bool) -> None:
        """Give no new work to an upstream until it reports; a gone one is then taken as cold."""
        upstream = self._table.find(upstream_id)
        if upstream is None:
            return
        with self._lock:
            upstream.is_silent = True
            if is_gone:
                upstream.refused_connection(self._clock())

    def record_cold(self, upstream_id: UpstreamId) -> None:
        """Take an upstream as cold, as another entry has seen."""
        upstream = self._table.find(upstream_id)
        if upstream is not None:
            with self._lock:
                upstream.record_cold(self._clock())

    def capacity_changed(self, service: ServiceId) -> None:
        """Place what can be placed after something outside the dispatcher changed."""
        with self._lock:
            self._place_waiters(self._lane(service))

    def in_flight(self) -> int:
        """Give the number of own requests in flight."""
        with self._lock:
            return self._shares.total

    def queued(self) -> int:
        """Give the number of requests that wait."""
        with self._lock:
            return sum(len(lane.queue) for lane in self._lanes.values())

    def _enter(self, work: Work) -> Waiter:
        now_s = self._clock()
        lane = self._lane(work.service)
        waiter = make_waiter(work, self._lengths, self._settings, now_s)
        refusal = self._early_refusal(lane, waiter, now_s)
        if refusal is not None:
            waiter.resolve(Err(refusal))
            return waiter
        lane.queue.add(waiter)
        self._place_waiters(lane)
        return waiter

    def _early_refusal(self, lane: ServiceLane, waiter: Waiter, now_s: float) -> Failure | None:
        work = waiter.candidate.work
        if waiter.give_up_at_s <= now_s:
            return DeadlineUnreachable(
                "the deadline is too near for the expected length",
                retry_after_s=RETRY_AFTER_MIN_S,
            )
        if not self._has_upstream(work):
            return self._overloaded(work.service, "no upstream may get this request")
        if len(lane.queue) >= self._queue_length_max:
            return self._overloaded(work.service, "the queue is full")
        queue_class = QueueClass.QUICK if waiter.candidate.is_quick else QueueClass.LONG
        before = lane.queue.length_before(queue_class)
        if before > 0 and lane.is_hopeless(waiter, before, now_s):
            return self._overloaded(work.service, "the queue is too long")
        return None

    def _has_upstream(self, work: Work) -> bool:
        upstreams = self._usable(work.service)
        if not work.excluded:
            return len(upstreams) > 0
        return any(each.declaration.id not in work.excluded for each in upstreams)

    def _overloaded(self, service: ServiceId, message: str) -> Failure:
        lane = self._lane(service)
        wait_s = lane.expected_wait_s(len(lane.queue), self._clock())
        retry_after_s = min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, wait_s))
        return Overloaded(message, retry_after_s=retry_after_s)

    def _refuse(self, waiter: Waiter, failure: Failure) -> None:
        waiter.resolve(Err(failure))
        self._lane(waiter.candidate.work.service).queue.remove(waiter)

    def _place_waiters(self, lane: ServiceLane) -> None:
        while len(lane.queue) > 0 and self._place_one(lane):
            pass
        if len(lane.queue) > 1:
            for waiter in lane.hopeless(self._clock()):
                self._refuse(waiter, self._overloaded(lane.service, "the queue is too long"))

    def _place_one(self, lane: ServiceLane) -> bool:
        now_s = self._clock()
        tried = 0
        for waiter in lane.queue.heads(now_s):
            if not self._shares.has_room(waiter.candidate.work.workspace):
                continue
            if self._try_place(lane, waiter, now_s):
                return True
            tried += 1
            if tried == HEADS_TRIED:
                break
        return False

    def _try_place(self, lane: ServiceLane, waiter: Waiter, now_s: float) -> bool:
        candidate = waiter.candidate
        upstreams = self._usable(lane.service)
        typical_gap_s = lane.typical_gap_s(upstreams, now_s)
        gate = UpstreamGate(candidate.work, self._slots, typical_gap_s, now_s)
        sharing_entries = self._table.sharing_entries(lane.service, self._entry_count())
        usual_memory_share = lane.own_memory_share(upstreams, sharing_entries, now_s)
        decision = Decision(candidate, gate, sharing_entries, usual_memory_share, now_s)
        upstream = self._chooser.choose(decision, upstreams)
        if upstream is None:
            return False
        is_cold = upstream.view is not UpstreamView.WARM
        if is_cold and not self._slots.try_take(upstream.declaration):
            return False
        waiter.resolve(Ok(self._start(upstream, candidate, is_cold, now_s)))
        lane.queue.remove(waiter)
        lane.queue.charge(waiter, self._shares.weight(candidate.work.workspace))
        return True

    def _start(
        self, upstream: Upstream, candidate: Candidate, is_cold: bool, now_s: float
    ) -> PlacedWork:
        work = candidate.work
        curve = self._lengths.curve(work.workspace, work.service, work.kind, work.max_tokens)
        in_flight = UpstreamWork(work.prompt_tokens, work.max_tokens, curve)
        upstream.start(in_flight, now_s)
        self._chooser.prefixes.note(work.prefix_hash, upstream.declaration.id)
        self._shares.enter(work.workspace)
        priority = QUICK_PRIORITY if candidate.is_quick else LONG_PRIORITY
        return PlacedWork(
            upstream=upstream,
            work=work,
            in_flight=in_flight,
            priority=priority,
            is_cold=is_cold,
            events=self._events,
        )

    def _finish(self, placed: PlacedWork, outcome: Outcome) -> None:
        work = placed.work
        with self._lock:
            placed.upstream_state.end(placed.in_flight, self._clock())
            self._shares.leave(work.workspace)
            if outcome is Outcome.FINISHED:
                generated_tokens = placed.in_flight.generated_tokens
                self._lengths.record(work.workspace, work.service, work.kind, generated_tokens)
            if outcome is Outcome.UNREACHABLE:
                placed.upstream_state.refused_connection(self._clock())
            if placed.is_cold:
                self._slots.give_back(placed.upstream, outcome in CERTAIN_ENDS)
            lane = self._lane(work.service)
            lane.finish_rate.count(self._clock())
            self._place_waiters(lane)

    def _take_report(self, upstream: Upstream, report: LoadReport) -> None:
        with self._lock:
            was_warm = upstream.view is UpstreamView.WARM
            upstream.take_report(report, self._clock())
            if was_warm and upstream.view is UpstreamView.COLD:
                self._turned_cold(upstream.declaration.id)
            self._slots.record_report(upstream.declaration.id, report)
            self._place_waiters(self._lane(upstream.declaration.service))

    def _lane(self, service: ServiceId) -> ServiceLane:
        lane = self._lanes.get(service)
        if lane is None:
            lane = self._lanes[service] = ServiceLane(service)
        return lane

    def _usable(self, service: ServiceId) -> tuple[Upstream, ...]:
        return self._table.usable(service)
