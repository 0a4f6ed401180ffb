"""Carry out the limits on what callers have in flight: admit, wait, refuse and end."""

import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Protocol

from gooseberryquay.machines.caller_ledger import (
    CONNECTION_BYTES,
    SMALL_BODY_BYTES,
    THREAD_BYTES,
    UNCOUNTED_BYTES,
    CallerBounds,
    CallerLedger,
    CallerLimit,
    Exchange,
    Phase,
    Use,
    choose_stalled,
    overdue_limit,
)

__all__ = ["ROOM_WAIT_S", "CallerBudget", "CallerConnection", "LimitObserver"]

# How long a body waits for room, unread, before its request is refused.
ROOM_WAIT_S = 2.0
# Each waiting request takes a thread; further ones are refused at once.
WAITING_MAX = 64
WAIT_STEP_S = 0.1
SWEEP_INTERVAL_S = 0.25
# A sweep that is later than this was held up with the whole process, which read nothing meanwhile.
LATE_S = 0.5
PRESSURE_S = 0.5
# Of those who stall, so many are ended at once for want of threads or descriptors.
ENDED_AT_ONCE = 32

# Of the timeouts that the configuration states.
TIMEOUT_MARGIN = 2.0

# Called with the limit, and with fields that describe the case.
LimitObserver = Callable[[CallerLimit, dict[str, object]], None]


class CallerConnection(Protocol):
    """End what a connection waits for, so that its thread goes on."""

    def end_wait(self, is_writing: bool) -> None:
        """Let a blocked read or write of the connection end."""


def _observe_nothing(_limit: CallerLimit, _fields: dict[str, object]) -> None:
    pass


class CallerBudget:
    """Divide one amount of memory among all callers of a process; thread-safe."""

    def __init__(self, bounds: CallerBounds, observe: LimitObserver = _observe_nothing) -> None:
        self.bounds = bounds
        self._body_grace_s = bounds.body_grace_s
        self._observe = observe
        self._ledger = CallerLedger(bounds)
        self._changed = threading.Condition()
        self._exchanges: set[Exchange] = set()
        self._waiting: dict[Exchange, int] = {}
        self._pressed: dict[CallerLimit, float] = {}
        self._swept_at_s = time.monotonic()

    def start(self) -> None:
        """End overdue and stalled exchanges in the background from now on."""
        threading.Thread(target=self._run, daemon=True, name="caller-limits").start()

    def set_times(self, header_timeout_s: float, idle_timeout_s: float) -> None:
        """Allow more time than a caller takes that keeps the configuration's timeouts."""
        self.bounds = replace(
            self.bounds,
            head_s_max=TIMEOUT_MARGIN * header_timeout_s,
            body_grace_s=max(self._body_grace_s, TIMEOUT_MARGIN * idle_timeout_s),
        )

    @property
    def used_bytes(self) -> int:
        """Return the memory that is in use."""
        return self._ledger.used_bytes

    def begin(self, address: str, connection: CallerConnection) -> Exchange:
        """Track a request of which the first byte has arrived."""
        now_s = time.monotonic()
        exchange = Exchange(address, connection, now_s, progress_at_s=now_s)
        self._exchanges.add(exchange)
        return exchange

    def end(self, exchange: Exchange) -> None:
        """Return the memory of an exchange, whose response is written or whose caller has left."""
        self._exchanges.discard(exchange)
        if exchange.held_bytes:
            self._give_back(exchange.address, exchange.held_bytes, Use.LARGE_BODY)

    def admit(self, exchange: Exchange, count: int, wait_s: float = ROOM_WAIT_S) -> bool:
        """Take memory for `count` bytes of a body; wait for a while if there is no room."""
        if count <= UNCOUNTED_BYTES and not exchange.held_bytes:
            return True
        total = exchange.held_bytes + count
        use = Use.SMALL_BODY if total <= SMALL_BODY_BYTES else Use.LARGE_BODY
        with self._changed:
            is_admitted = self._ledger.take(exchange.address, count, use)
            if not is_admitted and len(self._waiting) < WAITING_MAX:
                is_admitted = self._wait_for_room(exchange, count, use, wait_s)
            if is_admitted:
                exchange.held_bytes = total
        if not is_admitted:
            self.report(CallerLimit.MEMORY, exchange, wanted_bytes=count)
        return is_admitted

    def _wait_for_room(self, exchange: Exchange, count: int, use: Use, wait_s: float) -> bool:
        phase, began_at_s = exchange.phase, time.monotonic()
        exchange.phase = Phase.ROOM
        self._waiting[exchange] = count
        try:
            while (now_s := time.monotonic()) < began_at_s + min(wait_s, ROOM_WAIT_S):
                self._pressed[CallerLimit.MEMORY] = now_s + PRESSURE_S
                self._changed.wait(WAIT_STEP_S)
                if self._ledger.take(exchange.address, count, use):
                    return True
            return False
        finally:
            del self._waiting[exchange]
            exchange.postpone(time.monotonic() - began_at_s)
            exchange.phase = phase

    def try_acquire(self, count: int) -> bool:
        """Take memory for a part of a response, or for what is carried for a peer."""
        with self._changed:
            return self._ledger.take("", count, Use.RESPONSE)

    def release(self, count: int) -> None:
        """Return memory that was taken with `try_acquire`."""
        self._give_back("", count, Use.RESPONSE)

    def try_add_thread(self) -> bool:
        """Take the memory of one more thread."""
        with self._changed:
            return self._ledger.take("", THREAD_BYTES, Use.THREAD)

    def remove_thread(self) -> None:
        """Return the memory of a thread that ends."""
        self._give_back("", THREAD_BYTES, Use.THREAD)

    def try_connect(self) -> bool:
        """Take the memory of one more connection."""
        with self._changed:
            return self._ledger.take("", CONNECTION_BYTES, Use.CONNECTION)

    def disconnect(self) -> None:
        """Return the memory of a connection that was closed."""
        self._give_back("", CONNECTION_BYTES, Use.CONNECTION)

    def press(self, limit: CallerLimit) -> None:
        """State that others wait since all threads or descriptors are in use."""
        self._pressed[limit] = time.monotonic() + PRESSURE_S

    def report(self, limit: CallerLimit, exchange: Exchange, **fields: object) -> None:
        """Report that a caller has reached a limit."""
        self._observe(
            limit,
            {
                "caller": exchange.address,
                "phase": exchange.phase.value,
                "held_bytes": exchange.held_bytes,
                "used_bytes": self._ledger.used_bytes,
                **fields,
            },
        )

    def _give_back(self, address: str, count: int, use: Use) -> None:
        with self._changed:
            self._ledger.give_back(address, count, use)
            if self._waiting:
                self._changed.notify_all()

    def _run(self) -> None:
        while True:
            time.sleep(SWEEP_INTERVAL_S)
            self.sweep(time.monotonic())

    def sweep(self, now_s: float) -> None:
        """End the exchanges that are overdue, and those that stall while others wait."""
        exchanges = list(self._exchanges)
        late_s = now_s - self._swept_at_s - SWEEP_INTERVAL_S
        self._swept_at_s = now_s
        if late_s > LATE_S:
            for each in exchanges:
                each.postpone(late_s)
            return
        for each in exchanges:
            limit = overdue_limit(each, now_s, self.bounds)
            if limit is not None and each.ended_by is None:
                self._end(each, limit)
        for limit, until_s in list(self._pressed.items()):
            if now_s < until_s:
                self._end_stalled(limit, choose_stalled(exchanges, now_s, self._ledger))

    def _end_stalled(self, limit: CallerLimit, stalled: Iterable[Exchange]) -> None:
        if limit is not CallerLimit.MEMORY:
            for each in list(stalled)[:ENDED_AT_ONCE]:
                self._end(each, limit)
            return
        with self._changed:
            wanted = sum(self._waiting.values())
        for each in stalled:
            if wanted <= 0:
                return
            if each.held_bytes:
                wanted -= each.held_bytes
                self._end(each, limit)

    def _end(self, exchange: Exchange, limit: CallerLimit) -> None:
        if exchange not in self._exchanges:
            # Its connection may have begun another one meanwhile.
            return
        exchange.ended_by = limit
        self.report(limit, exchange)
        connection: CallerConnection = exchange.connection  # type: ignore[assignment]
        connection.end_wait(exchange.phase is Phase.RESPONSE)
