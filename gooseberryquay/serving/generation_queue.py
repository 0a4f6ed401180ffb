"""Hold generations at the entry until an engine has room for them."""

import threading
import time
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from result import Err, Ok, Result

from gooseberryquay.ids import RequestId, ServiceId, UpstreamId
from gooseberryquay.links.caller_watch import CallerWatch
from gooseberryquay.links.upstream_connection import CallerLeft
from gooseberryquay.serving.placement import EngineNeed, Placement
from gooseberryquay.serving.refusal import Refusal, RefusalReason
from gooseberryquay.serving.upstream_load import LoadTable, Run
from gooseberryquay.serving.upstream_registry import KnownUpstream

__all__ = ["GenerationQueue", "Placed", "QueueTicket"]

# Loads that peers tell change about as often.
LOOK_INTERVAL_S = 0.1
# Grows with the number that waits.
RETRY_AFTER_MIN_S = 0.5
RETRY_AFTER_MAX_S = 5.0
# Lets small generations pass a large one that fits nowhere.
WAITERS_TRIED = 4


@dataclass(frozen=True, slots=True)
class QueueTicket:
    """Describe a generation that looks for an engine.

    It goes behind all others from `late_at_s` on, and is refused at `give_up_at_s`.
    """

    id: RequestId
    service: ServiceId
    need: EngineNeed
    rank: int
    late_at_s: float
    give_up_at_s: float
    excluded: Collection[UpstreamId] = ()


@dataclass(frozen=True, slots=True)
class Placed:
    """Hold the engine of a generation and its entry in the table of loads."""

    known: KnownUpstream
    run: Run


@dataclass(eq=False)
class _Waiter:
    ticket: QueueTicket
    sequence: int
    placed: Placed | None = None
    signal: threading.Event = field(default_factory=threading.Event)

    def order(self, now_s: float) -> tuple[bool, int, int]:
        return (now_s > self.ticket.late_at_s, self.ticket.rank, self.sequence)


class GenerationQueue:
    """Place generations in order of rank and arrival; safe for use by many threads."""

    def __init__(
        self,
        placement: Placement,
        loads: LoadTable,
        refresh: Callable[[], None] = lambda: None,
        tell: Callable[[], None] = lambda: None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._placement = placement
        self._loads = loads
        self._refresh = refresh
        self._tell = tell
        self._clock = clock
        self._waiters: list[_Waiter] = []
        self._sequence = 0
        self._lock = threading.Lock()

    def place(
        self, ticket: QueueTicket, caller: CallerWatch
    ) -> Result[Placed, Refusal | CallerLeft]:
        """Wait for an engine; the generation is then counted at it."""
        pause_s = self._placement.pause_left_s(ticket.service)
        if pause_s > ticket.give_up_at_s - self._clock():
            return Err(Refusal(RefusalReason.OVERLOADED, "all engines asked for a pause", pause_s))
        if not pause_s and not self._placement.has_any(ticket.service, ticket.excluded):
            return Err(self._refusal(RefusalReason.NO_UPSTREAM, "no engine takes new work"))
        self._refresh()
        with self._lock:
            self._sequence += 1
            waiter = _Waiter(ticket, self._sequence)
            self._waiters.append(waiter)
            self._place_waiters()
        while True:
            with self._lock:
                if waiter.placed is not None:
                    return Ok(waiter.placed)
                left_s = ticket.give_up_at_s - self._clock()
                is_disconnected = caller.is_disconnected()
                if left_s <= 0.0 or is_disconnected:
                    self._waiters.remove(waiter)
                    break
            waiter.signal.wait(min(left_s, LOOK_INTERVAL_S))
            if waiter.placed is None:
                self.changed()
        if is_disconnected:
            return Err(CallerLeft())
        return Err(self._refusal(RefusalReason.OVERLOADED, "no engine came free in time"))

    def changed(self) -> None:
        """Place what can be placed after something changed."""
        with self._lock:
            self._place_waiters()

    def length(self) -> int:
        """Give the number of generations that wait."""
        with self._lock:
            return len(self._waiters)

    def _place_waiters(self) -> None:
        now_s = self._clock()
        tried = 0
        for waiter in sorted(self._waiters, key=lambda each: each.order(now_s)):
            if self._try(waiter, now_s):
                self._waiters.remove(waiter)
                waiter.signal.set()
                continue
            tried += 1
            if tried >= WAITERS_TRIED:
                return

    def _try(self, waiter: _Waiter, now_s: float) -> bool:
        ticket = waiter.ticket
        known = self._placement.choose_engine(ticket.service, ticket.need, ticket.excluded)
        if known is None or not self._placement.take_cold(known):
            return False
        need = ticket.need
        run = Run(ticket.id, known.record.id, now_s, need.prompt_tokens, need.expected_tokens)
        self._loads.start(run)
        waiter.placed = Placed(known, run)
        self._tell()
        return True

    def _refusal(self, reason: RefusalReason, message: str) -> Refusal:
        wait_s = RETRY_AFTER_MIN_S * (1 + self.length())
        return Refusal(reason, message, min(RETRY_AFTER_MAX_S, wait_s))
