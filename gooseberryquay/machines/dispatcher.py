"""Dispatch requests to upstreams and queue them until an upstream is available."""

import random
import threading
import time
from collections.abc import Callable

from result import Err, Ok, Result

from gooseberryquay.contracts.settings import ChoiceSettings
from gooseberryquay.errors import DeadlineUnreachable, Failure, Overloaded
from gooseberryquay.ids import ServiceId, UpstreamId
from gooseberryquay.machines.choice import ChoiceContext, Chooser, RequestEstimate
from gooseberryquay.machines.cold_slots import ColdSlots
from gooseberryquay.machines.dispatch_placement import PlacedRequest, PlacementCallbacks
from gooseberryquay.machines.in_flight_request import InFlightRequest
from gooseberryquay.machines.length_estimate import LengthEstimator
from gooseberryquay.machines.load_report import LoadReport
from gooseberryquay.machines.queue_order import QueueClass
from gooseberryquay.machines.queue_waiter import Waiter
from gooseberryquay.machines.service_queue import ServiceQueue
from gooseberryquay.machines.upstream import Upstream, UpstreamView
from gooseberryquay.machines.upstream_eligibility import EligibilityFilter
from gooseberryquay.machines.upstream_table import UpstreamTable
from gooseberryquay.machines.waiter_factory import make_waiter
from gooseberryquay.machines.work import Outcome, Placement, Work
from gooseberryquay.machines.workspace_limits import WorkspaceLimits

__all__ = ["WorkDispatcher"]

HEADS_TRIED = 4
RETRY_AFTER_MIN_S = 1.0
RETRY_AFTER_MAX_S = 60.0
CERTAIN_OUTCOMES = frozenset({Outcome.FINISHED, Outcome.REFUSED, Outcome.UNREACHABLE})
QUICK_PRIORITY = 0
LONG_PRIORITY = 1


class WorkDispatcher:
    """Dispatch requests by the configured rule; thread-safe."""

    def __init__(
        self,
        *,
        table: UpstreamTable,
        settings: ChoiceSettings,
        slots: ColdSlots,
        entry_count: Callable[[], int],
        queue_length_max: int,
        rng: random.Random | None = None,
        on_turned_cold: Callable[[UpstreamId], None] = lambda _upstream: None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._clock = clock
        self._on_turned_cold = on_turned_cold
        self._table = table
        self._settings = settings
        self._entry_count = entry_count
        self._slots = slots
        self._queue_length_max = queue_length_max
        self._chooser = Chooser(settings, rng or random.Random())
        self._lengths = LengthEstimator(settings.length_scale)
        self._service_queues: dict[ServiceId, ServiceQueue] = {}
        self._workspace_limits = WorkspaceLimits(table.configuration, entry_count)
        self._callbacks = PlacementCallbacks(self._apply_report, self._finish)
        self._lock = threading.Lock()

    def place(self, work: Work) -> Result[Placement, Failure]:
        """Wait for a placement; fail immediately if none can be expected."""
        with self._lock:
            waiter = self._enqueue(work)
            if waiter.answer is not None:
                return waiter.answer
            answered = waiter.answered = threading.Event()
        answered.wait(max(0.0, waiter.give_up_at_s - self._clock()))
        with self._lock:
            if waiter.answer is None:
                self._refuse(
                    waiter,
                    self._overloaded(work.service, "no upstream came free in time"),
                )
        assert waiter.answer is not None
        return waiter.answer

    def record_report(self, upstream_id: UpstreamId, report: LoadReport) -> None:
        """Process a polled load report."""
        upstream = self._table.find(upstream_id)
        if upstream is not None:
            self._apply_report(upstream, report)

    def record_unresponsive(self, upstream_id: UpstreamId, is_unreachable: bool) -> None:
        """Exclude an upstream until it reports; discard the last report of an unreachable one."""
        upstream = self._table.find(upstream_id)
        if upstream is None:
            return
        with self._lock:
            upstream.is_silent = True
            if is_unreachable:
                upstream.mark_unreachable(self._clock())

    def record_cold(self, upstream_id: UpstreamId) -> None:
        """Mark an upstream cold, as reported by another entry."""
        upstream = self._table.find(upstream_id)
        if upstream is not None:
            with self._lock:
                upstream.record_cold(self._clock())

    def capacity_changed(self, service: ServiceId) -> None:
        """Try to place waiting requests after capacity changed outside the dispatcher."""
        with self._lock:
            self._place_waiters(self._service_queue(service))

    def in_flight(self) -> int:
        """Return the number of own requests in flight."""
        with self._lock:
            return self._workspace_limits.total

    def queued(self) -> int:
        """Return the number of waiting requests."""
        with self._lock:
            return sum(
                len(service_queue.waiters) for service_queue in self._service_queues.values()
            )

    def _enqueue(self, work: Work) -> Waiter:
        now_s = self._clock()
        service_queue = self._service_queue(work.service)
        waiter = make_waiter(work, self._lengths, self._settings, now_s)
        refusal = self._admission_failure(service_queue, waiter, now_s)
        if refusal is not None:
            waiter.resolve(Err(refusal))
            return waiter
        service_queue.waiters.add(waiter)
        self._place_waiters(service_queue)
        return waiter

    def _admission_failure(
        self, service_queue: ServiceQueue, waiter: Waiter, now_s: float
    ) -> Failure | None:
        work = waiter.estimate.work
        if waiter.give_up_at_s <= now_s:
            return DeadlineUnreachable(
                "the deadline is too near for the expected length",
                retry_after_s=RETRY_AFTER_MIN_S,
            )
        if not self._has_upstream(work):
            return self._overloaded(work.service, "no upstream may get this request")
        if len(service_queue.waiters) >= self._queue_length_max:
            return self._overloaded(work.service, "the queue is full")
        queue_class = QueueClass.QUICK if waiter.estimate.is_quick else QueueClass.LONG
        before = service_queue.waiters.length_before(queue_class)
        if before > 0 and service_queue.will_time_out(waiter, before, now_s):
            return self._overloaded(work.service, "the queue is too long")
        return None

    def _has_upstream(self, work: Work) -> bool:
        upstreams = self._usable(work.service)
        if not work.excluded:
            return len(upstreams) > 0
        return any(each.declaration.id not in work.excluded for each in upstreams)

    def _overloaded(self, service: ServiceId, message: str) -> Failure:
        service_queue = self._service_queue(service)
        wait_s = service_queue.expected_wait_s(len(service_queue.waiters), self._clock())
        retry_after_s = min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, wait_s))
        return Overloaded(message, retry_after_s=retry_after_s)

    def _refuse(self, waiter: Waiter, failure: Failure) -> None:
        waiter.resolve(Err(failure))
        self._service_queue(waiter.estimate.work.service).waiters.remove(waiter)

    def _place_waiters(self, service_queue: ServiceQueue) -> None:
        while len(service_queue.waiters) > 0 and self._place_one(service_queue):
            pass
        if len(service_queue.waiters) > 1:
            for waiter in service_queue.waiters_to_shed(self._clock()):
                self._refuse(
                    waiter, self._overloaded(service_queue.service, "the queue is too long")
                )

    def _place_one(self, service_queue: ServiceQueue) -> bool:
        now_s = self._clock()
        tried = 0
        for waiter in service_queue.waiters.heads(now_s):
            if not self._workspace_limits.has_room(waiter.estimate.work.workspace):
                continue
            if self._try_place(service_queue, waiter, now_s):
                return True
            tried += 1
            if tried == HEADS_TRIED:
                break
        return False

    def _try_place(self, service_queue: ServiceQueue, waiter: Waiter, now_s: float) -> bool:
        estimate = waiter.estimate
        upstreams = self._usable(service_queue.service)
        median_gap_s = service_queue.median_gap_s(upstreams, now_s)
        eligibility = EligibilityFilter(estimate.work, self._slots, median_gap_s, now_s)
        sharing_entries = self._table.sharing_entries(service_queue.service, self._entry_count())
        fallback_memory_share = service_queue.own_memory_share(upstreams, sharing_entries, now_s)
        context = ChoiceContext(
            estimate, eligibility, sharing_entries, fallback_memory_share, now_s
        )
        upstream = self._chooser.choose(context, upstreams)
        if upstream is None:
            return False
        is_cold = upstream.view is not UpstreamView.WARM
        if is_cold and not self._slots.try_take(upstream.declaration):
            return False
        waiter.resolve(Ok(self._start(upstream, estimate, is_cold, now_s)))
        service_queue.waiters.remove(waiter)
        service_queue.waiters.charge(waiter, self._workspace_limits.weight(estimate.work.workspace))
        return True

    def _start(
        self, upstream: Upstream, estimate: RequestEstimate, is_cold: bool, now_s: float
    ) -> PlacedRequest:
        work = estimate.work
        distribution = self._lengths.distribution(
            work.workspace, work.service, work.kind, work.max_tokens
        )
        in_flight = InFlightRequest(work.prompt_tokens, work.max_tokens, distribution)
        upstream.start(in_flight, now_s)
        self._chooser.prefixes.record_holder(work.prefix_hash, upstream.declaration.id)
        self._workspace_limits.enter(work.workspace)
        priority = QUICK_PRIORITY if estimate.is_quick else LONG_PRIORITY
        return PlacedRequest(
            upstream=upstream,
            work=work,
            in_flight=in_flight,
            priority=priority,
            is_cold=is_cold,
            callbacks=self._callbacks,
        )

    def _finish(self, placed: PlacedRequest, outcome: Outcome) -> None:
        work = placed.work
        with self._lock:
            placed.upstream_state.end(placed.in_flight, self._clock())
            self._workspace_limits.leave(work.workspace)
            if outcome is Outcome.FINISHED:
                generated_tokens = placed.in_flight.generated_tokens
                self._lengths.record(work.workspace, work.service, work.kind, generated_tokens)
            if outcome is Outcome.UNREACHABLE:
                placed.upstream_state.mark_unreachable(self._clock())
            if placed.is_cold:
                self._slots.return_slot(placed.upstream, outcome in CERTAIN_OUTCOMES)
            service_queue = self._service_queue(work.service)
            service_queue.finish_rate.count(self._clock())
            self._place_waiters(service_queue)

    def _apply_report(self, upstream: Upstream, report: LoadReport) -> None:
        with self._lock:
            was_warm = upstream.view is UpstreamView.WARM
            upstream.update_report(report, self._clock())
            if was_warm and upstream.view is UpstreamView.COLD:
                self._on_turned_cold(upstream.declaration.id)
            self._slots.record_report(upstream.declaration.id, report)
            self._place_waiters(self._service_queue(upstream.declaration.service))

    def _service_queue(self, service: ServiceId) -> ServiceQueue:
        service_queue = self._service_queues.get(service)
        if service_queue is None:
            service_queue = self._service_queues[service] = ServiceQueue(service)
        return service_queue

    def _usable(self, service: ServiceId) -> tuple[Upstream, ...]:
        return self._table.usable(service)
