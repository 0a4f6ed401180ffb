"""Queue generations at the entry until an engine has capacity for them."""

import math
import threading
import time
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from functools import partial

from result import Err, Ok, Result

from gooseberryquay.ids import RequestId, ServiceId, UpstreamId
from gooseberryquay.links.caller_watch import CallerWatch
from gooseberryquay.links.upstream_connection import CallerLeft
from gooseberryquay.serving.admission import Claim, Contention, Refuse
from gooseberryquay.serving.placement import EngineNeed, Placement
from gooseberryquay.serving.refusal import Refusal, RefusalReason
from gooseberryquay.serving.shared_admission import SharedAdmission
from gooseberryquay.serving.upstream_load import LoadTable, Run
from gooseberryquay.serving.upstream_registry import KnownUpstream

__all__ = ["AdmissionTerms", "GenerationQueue", "PlacedGeneration", "QueueTicket", "QueueWaiter"]

# Loads reported by peers change about as often.
POLL_INTERVAL_S = 0.1
# All waiters share one pass in each interval. A waiter that wakes up just before its end makes it.
PASS_INTERVAL_S = 0.9 * POLL_INTERVAL_S
# The delay grows with the number of waiting generations.
RETRY_AFTER_MIN_S = 0.5
RETRY_AFTER_MAX_S = 5.0
# Small generations may overtake a large one that does not fit on any engine.
FAILED_PLACEMENTS_MAX = 4


@dataclass(frozen=True, slots=True)
class AdmissionTerms:
    """Describe a generation that is admitted by forecast."""

    arrived_at_s: float
    workspace: int
    run_s: float


@dataclass(frozen=True, slots=True)
class QueueTicket:
    """Describe a generation that waits for an engine.

    After `late_at_s` it is queued behind all others; at `give_up_at_s` it is refused. With `terms`
    it is admitted by forecast.
    """

    id: RequestId
    service: ServiceId
    need: EngineNeed
    rank: int
    late_at_s: float
    give_up_at_s: float
    excluded: Collection[UpstreamId] = ()
    terms: AdmissionTerms | None = None

    def claim(self, sequence: int) -> Claim | None:
        """Return what admission decides from, or None if it does not apply."""
        if self.terms is None:
            return None
        return Claim(
            sequence=sequence,
            arrived_at_s=self.terms.arrived_at_s,
            rank=self.rank,
            workspace=self.terms.workspace,
            tokens=self.need.planned_tokens,
            run_s=self.terms.run_s,
            late_at_s=self.late_at_s,
            useful_until_s=self.give_up_at_s,
        )


@dataclass(frozen=True, slots=True)
class PlacedGeneration:
    """Engine chosen for a generation, and its run in the load table.

    `forecast_s` is the wait that was first expected, if the generation had to wait.
    """

    known: KnownUpstream
    run: Run
    forecast_s: float | None = None


@dataclass(eq=False)
class QueueWaiter:
    """Track a generation in the queue until it is placed or refused."""

    ticket: QueueTicket
    sequence: int
    claim: Claim | None = None
    forecast_s: float | None = None
    placed: PlacedGeneration | None = None
    refusal: Refusal | None = None
    signal: threading.Event = field(default_factory=threading.Event)

    def sort_key(self, now_s: float) -> tuple[bool, int, int]:
        """Return the key of the order by rank and arrival, late generations last."""
        return (now_s > self.ticket.late_at_s, self.ticket.rank, self.sequence)

    @property
    def is_waiting(self) -> bool:
        """Return whether the generation was neither placed nor refused."""
        return self.placed is None and self.refusal is None


class _FailedNeeds:
    """Remember in one pass which needs no engine has room for: larger ones need not be tried."""

    def __init__(self) -> None:
        self._least: dict[ServiceId, list[tuple[frozenset[UpstreamId], float]]] = {}

    def covers(self, ticket: QueueTicket, excluded: frozenset[UpstreamId]) -> bool:
        return any(
            ticket.need.planned_tokens >= tokens and excluded >= failed_with
            for failed_with, tokens in self._least.get(ticket.service, ())
        )

    def add(self, ticket: QueueTicket, excluded: frozenset[UpstreamId]) -> None:
        failures = self._least.setdefault(ticket.service, [])
        failures.append((excluded, ticket.need.planned_tokens))


@dataclass
class _Reservations:
    """Engines that are kept for generations that go first and do not fit yet."""

    blocked: list[Claim] = field(default_factory=list)
    engines: dict[UpstreamId, float] = field(default_factory=dict)

    def closed_to(self, claim: Claim) -> Iterable[UpstreamId]:
        """Return the reserved engines at which a run would not end before they are needed."""
        return [each for each, wait_s in self.engines.items() if claim.run_s > wait_s]


class GenerationQueue:
    """Place generations in order; thread-safe.

    The order is rank and arrival, or that of admission for tickets with terms.
    """

    def __init__(
        self,
        placement: Placement,
        loads: LoadTable,
        refresh_loads: Callable[[], None] = lambda: None,
        notify_placed: Callable[[], None] = lambda: None,
        *,
        clock: Callable[[], float] = time.monotonic,
        admission: SharedAdmission | None = None,
    ) -> None:
        self.admission = admission
        self._contended: set[ServiceId] = set()
        self._judged_at_s: dict[ServiceId, float] = {}
        self._passed_at_s = -math.inf
        self._placement = placement
        self._loads = loads
        self._refresh_loads = refresh_loads
        self._notify_placed = notify_placed
        self._clock = clock
        self._waiters: list[QueueWaiter] = []
        self._sequence = 0
        self._lock = threading.Lock()

    def place(
        self, ticket: QueueTicket, caller: CallerWatch
    ) -> Result[PlacedGeneration, Refusal | CallerLeft]:
        """Wait for an engine and register the generation's run there.

        Returns a refusal if no engine is available by the ticket's `give_up_at_s`, or CallerLeft if
        the caller disconnects.
        """
        pause_s = self._placement.pause_left_s(ticket.service)
        if pause_s > ticket.give_up_at_s - self._clock():
            return Err(Refusal(RefusalReason.OVERLOADED, "all engines requested a pause", pause_s))
        room_s = self._placement.room_wait_s(ticket.service, ticket.excluded)
        if room_s > ticket.give_up_at_s - self._clock():
            message = "no engine is expected to have room in time"
            retry_after_s = min(RETRY_AFTER_MAX_S, room_s)
            return Err(Refusal(RefusalReason.OVERLOADED, message, retry_after_s))
        if not pause_s and not self._placement.has_candidate(ticket.service, ticket.excluded):
            return Err(self._refusal(RefusalReason.NO_UPSTREAM, "no engine takes new work"))
        limited = self._refuse_beyond_rate_limits(ticket)
        if limited is not None:
            return Err(limited)
        self._refresh_loads()
        waiter = self.enter(ticket)
        while waiter.is_waiting:
            remaining_s = ticket.give_up_at_s - self._clock()
            is_disconnected = caller.is_disconnected()
            if is_disconnected and self._remove(waiter):
                return Err(CallerLeft())
            if remaining_s <= 0.0:
                self.give_up(waiter)
            waiter.signal.wait(min(max(0.0, remaining_s), POLL_INTERVAL_S))
            if waiter.is_waiting:
                self.poll()
        if waiter.placed is not None:
            return Ok(waiter.placed)
        return Err(waiter.refusal or self._refusal(RefusalReason.OVERLOADED, "not placed"))

    def enter(self, ticket: QueueTicket) -> QueueWaiter:
        """Add a generation to those that wait; place or refuse it if that is possible now."""
        with self._lock:
            self._sequence += 1
            waiter = QueueWaiter(ticket, self._sequence, ticket.claim(self._sequence))
            self._waiters.append(waiter)
            self._place_waiters()
        return waiter

    def give_up(self, waiter: QueueWaiter) -> None:
        """Refuse a generation that has waited for as long as it may, unless it was placed."""
        if self._remove(waiter):
            waiter.refusal = self._out_of_time(waiter)

    def changed(self) -> None:
        """Place the waiting generations that fit now, after the available capacity changed."""
        with self._lock:
            self._place_waiters()

    def length(self) -> int:
        """Return the number of waiting generations."""
        with self._lock:
            return len(self._waiters)

    def poll(self) -> None:
        """Place the generations that fit now, unless that was tried within the interval."""
        with self._lock:
            if self._clock() - self._passed_at_s >= PASS_INTERVAL_S:
                self._place_waiters()

    def _remove(self, waiter: QueueWaiter) -> bool:
        """Take a waiter out; return False if it was placed or refused meanwhile."""
        with self._lock:
            if not waiter.is_waiting:
                return False
            self._waiters.remove(waiter)
            if self.admission is not None and waiter.claim is not None:
                service = waiter.ticket.service
                if not any(each.ticket.service == service for each in self._waiters):
                    self.admission.record_waiting(service, ())
            return True

    def _out_of_time(self, waiter: QueueWaiter) -> Refusal:
        message = "no engine became available in time"
        if self.admission is None or waiter.claim is None:
            return self._refusal(RefusalReason.OVERLOADED, message)
        ticket = waiter.ticket
        with self._lock:
            retry_after_s = self.admission.record_out_of_time(
                ticket.service, ticket.id, waiter.claim, waiter.forecast_s
            )
        return Refusal(RefusalReason.OVERLOADED, message, retry_after_s)

    def _place_waiters(self) -> None:
        now_s = self._passed_at_s = self._clock()
        self._place_by_admission(now_s)
        failed = _FailedNeeds()
        tried = 0
        waiters = [each for each in self._waiters if each.claim is None]
        for waiter in sorted(waiters, key=lambda each: each.sort_key(now_s)):
            excluded = frozenset(waiter.ticket.excluded)
            if self._try_place(waiter, now_s, excluded, failed):
                continue
            tried += 1
            if tried >= FAILED_PLACEMENTS_MAX:
                return

    def _place_by_admission(self, now_s: float) -> None:
        if self.admission is None:
            return
        by_service: dict[ServiceId, dict[int, QueueWaiter]] = {each: {} for each in self._contended}
        for waiter in self._waiters:
            if waiter.claim is not None:
                by_service.setdefault(waiter.ticket.service, {})[waiter.sequence] = waiter
        if by_service:
            self.admission.observe_engines()
        for service, waiters in by_service.items():
            claims = [each.claim for each in waiters.values() if each.claim is not None]
            contention = self.admission.contention(service, claims)
            self._place_contending(self.admission, contention, waiters, now_s)
            passed_s = now_s - self._judged_at_s.get(service, -math.inf)
            if passed_s >= PASS_INTERVAL_S or not contention.ordered:
                self._judge(self.admission, service, contention, waiters)
        self._contended = {each.ticket.service for each in self._waiters if each.claim is not None}

    def _place_contending(
        self,
        admission: SharedAdmission,
        contention: Contention,
        waiters: dict[int, QueueWaiter],
        now_s: float,
    ) -> None:
        """Place the claims that fit, in order, and keep engines for the first that do not."""
        failed = _FailedNeeds()
        reservations = _Reservations()
        # Engines are only ever closed during a pass, so that the same need fails again.
        hopeless: set[tuple[float, float, frozenset[UpstreamId]]] = set()
        for claim in list(contention.ordered):
            waiter = waiters[claim.sequence]
            service, left_out = waiter.ticket.service, frozenset(waiter.ticket.excluded)
            need = (claim.tokens, claim.run_s, left_out)
            if need in hopeless:
                continue
            if contention.must_yield(claim, partial(admission.forecast, service)):
                continue
            if not contention.may_pass(claim, reservations.blocked):
                continue
            forecast = admission.forecast(service)
            kept = contention.kept_engine(claim, forecast.present_engines())
            closed = [*forecast.closed_engines(), *([kept] if kept is not None else [])]
            excluded = left_out.union(reservations.closed_to(claim), closed)
            if failed.covers(waiter.ticket, excluded):
                hopeless.add(need)
                continue
            if self._try_place(waiter, now_s, excluded, failed) and waiter.placed is not None:
                contention.remove(claim)
                admission.record_placed(service, waiter.placed.run, claim, waiter.forecast_s)
                continue
            hopeless.add(need)
            reservations.blocked.append(claim)
            if len(reservations.blocked) >= FAILED_PLACEMENTS_MAX:
                return
            first = admission.forecast(service).first_engine(claim.tokens, excluded)
            if first is not None:
                reservations.engines[first[0]] = first[1]

    def _judge(
        self,
        admission: SharedAdmission,
        service: ServiceId,
        contention: Contention,
        waiters: dict[int, QueueWaiter],
    ) -> None:
        """Refuse the claims whose place is certain to come too late, and report the others."""
        if contention.ordered:
            self._judged_at_s[service] = self._clock()
        for claim, outlook, verdict in admission.verdicts(service, contention):
            waiter = waiters[claim.sequence]
            if waiter.forecast_s is None:
                waiter.forecast_s = outlook.wait_s
                admission.record_first_outlook(waiter.ticket.id, claim, outlook)
            if isinstance(verdict, Refuse):
                message = "no engine is expected to have room while the answer is of use"
                waiter.refusal = Refusal(RefusalReason.OVERLOADED, message, verdict.retry_after_s)
                self._waiters.remove(waiter)
                admission.record_refused(service, waiter.ticket.id, claim, verdict)
                waiter.signal.set()
        left = [each for each in contention.ordered if waiters[each.sequence].is_waiting]
        admission.record_waiting(service, left)

    def _try_place(
        self,
        waiter: QueueWaiter,
        now_s: float,
        excluded: frozenset[UpstreamId],
        failed: _FailedNeeds,
    ) -> bool:
        ticket = waiter.ticket
        if failed.covers(ticket, excluded):
            return False
        known = self._placement.choose_engine(ticket.service, ticket.need, excluded)
        if known is None:
            failed.add(ticket, excluded)
            return False
        if not self._placement.try_acquire(known):
            return False
        need = ticket.need
        run = Run(ticket.id, known.record.id, now_s, need.prompt_tokens, need.expected_tokens)
        self._loads.start(run)
        waiter.placed = PlacedGeneration(known, run, waiter.forecast_s)
        self._waiters.remove(waiter)
        waiter.signal.set()
        self._notify_placed()
        return True

    def _refuse_beyond_rate_limits(self, ticket: QueueTicket) -> Refusal | None:
        """Refuse a generation that rate limits keep from all engines until others overtake it."""
        with self._lock:
            ahead = sum(each.ticket.service == ticket.service for each in self._waiters)
        wait_s = self._placement.rate_wait_s(ticket.service, ticket.excluded, ahead)
        now_s = self._clock()
        until_s = ticket.late_at_s if ticket.late_at_s > now_s else ticket.give_up_at_s
        if wait_s <= max(0.0, until_s - now_s):
            return None
        if math.isinf(wait_s):
            wait_s = (1 + ahead) * self._placement.rate_interval_s(ticket.service)
        retry_after_s = min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, wait_s))
        message = "all engines limit the rate of requests"
        return Refusal(RefusalReason.OVERLOADED, message, retry_after_s)

    def _refusal(self, reason: RefusalReason, message: str) -> Refusal:
        wait_s = RETRY_AFTER_MIN_S * (1 + self.length())
        return Refusal(reason, message, min(RETRY_AFTER_MAX_S, wait_s))
