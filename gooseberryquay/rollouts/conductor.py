"""Carry out roll-outs: decide periodically, and write what was decided."""

import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from result import Err, Ok, Result

from gooseberryquay.ids import ServiceId, UpstreamId
from gooseberryquay.links.platform_client import OutcomeUnknown, PlatformRefused
from gooseberryquay.rollouts.book import RolloutBook, UnwrittenState
from gooseberryquay.rollouts.course import Facts, RolloutCourse
from gooseberryquay.rollouts.order import RolloutOrder, RolloutRecord, RolloutState
from gooseberryquay.rollouts.version_view import version_name
from gooseberryquay.serving.decision_log import DecisionLog
from gooseberryquay.serving.upstream_record import UpstreamRecord

__all__ = ["ConductorSources", "RolloutConductor", "StatusConflict", "StatusStore"]

DECIDE_INTERVAL_S = 0.1
# Entries write in the order of their rank, so that a state is mostly written by one. The next one
# writes if that one is killed.
WRITE_STAGGER_S = 0.25
STAGGERED_MAX = 6
WRITE_RETRY_MIN_S = 0.2
WRITE_RETRY_MAX_S = 1.0


@dataclass(frozen=True, slots=True)
class StatusConflict:
    """Report that the order has changed; `current` is the stored one, if it is readable."""

    current: RolloutRecord | None


class StatusStore(Protocol):
    """Write the states of orders, each only if the order has the given revision."""

    def write_status(
        self, order: RolloutOrder, state: RolloutState
    ) -> Result[RolloutRecord | None, StatusConflict | OutcomeUnknown | PlatformRefused]:
        """Write a state; return the order as it is stored then, if it is readable."""


@dataclass(frozen=True, slots=True)
class ConductorSources:
    """Provide the knowledge that decisions are based on."""

    records: Callable[[], list[UpstreamRecord]]
    runs_at: Callable[[UpstreamId], int]
    is_fresh: Callable[[], bool]
    rank: Callable[[str], tuple[int | None, int]]
    notify: Callable[[], None] = lambda: None


class RolloutConductor:
    """Decide on all orders in a background thread, and write their states in another."""

    def __init__(
        self,
        book: RolloutBook,
        sources: ConductorSources,
        store: StatusStore,
        log: DecisionLog,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._book = book
        self._sources = sources
        self._store = store
        self._log = log
        self._clock = clock
        self._due_at_s: dict[tuple[str, str, RolloutState], float] = {}
        self._unwritten: list[UnwrittenState] = []
        self._stopped = threading.Event()

    def start(self) -> None:
        """Start the background threads."""
        for name, step in (("rollouts", self.decide), ("rollout states", self.write)):
            threading.Thread(target=self._run, args=(step,), name=name, daemon=True).start()

    def stop(self) -> None:
        """Stop the background threads."""
        self._stopped.set()

    def _run(self, step: Callable[[], None]) -> None:
        while not self._stopped.wait(DECIDE_INTERVAL_S):
            try:
                step()
            except Exception as error:
                self._log.error("rollout step failed", error, step=step.__name__)

    def decide(self) -> None:
        """Decide on all orders."""
        self._book.observe_engines()
        previous = {(each.order.service, each.state) for each in self._unwritten}
        self._unwritten = self._book.decide(self._facts)
        if any((each.order.service, each.state) not in previous for each in self._unwritten):
            self._sources.notify()

    def _facts(self, course: RolloutCourse) -> Facts:
        target = version_name(course.order.target)
        target_slots = present_slots = present_runs = service_runs = 0
        for each in self._sources.records():
            if each.service != course.order.service:
                continue
            runs = self._sources.runs_at(each.id)
            service_runs += runs
            if version_name(each.version) == target:
                target_slots += each.slots
            else:
                present_runs += runs
                present_slots += each.slots
        return Facts(
            target_slots=target_slots,
            present_slots=present_slots,
            present_runs=present_runs,
            service_runs=service_runs,
            is_fresh=self._sources.is_fresh(),
        )

    def write(self) -> None:
        """Write the states that are due at this entry."""
        now_s = self._clock()
        unwritten = {
            (str(each.order.service), str(each.order.target), each.state): each
            for each in list(self._unwritten)
        }
        self._due_at_s = {key: at_s for key, at_s in self._due_at_s.items() if key in unwritten}
        for key, each in unwritten.items():
            due_at_s = self._due_at_s.setdefault(key, now_s + self._stagger_s(each.order))
            if now_s >= due_at_s:
                self._due_at_s[key] = self._clock() + self._write_one(each)

    def _stagger_s(self, order: RolloutOrder) -> float:
        rank, _ = self._sources.rank(f"{order.service} {order.target}")
        if rank is None or rank >= STAGGERED_MAX:
            return WRITE_STAGGER_S * (STAGGERED_MAX + STAGGERED_MAX * random.random())
        return WRITE_STAGGER_S * rank

    def _write_one(self, unwritten: UnwrittenState) -> float:
        """Write a state; return the seconds until it is written again if it is not known then."""
        order, state = unwritten.order, unwritten.state
        written = self._store.write_status(order, state)
        match written:
            case Ok(record):
                outcome = "written"
                self._apply(record, order.service)
            case Err(StatusConflict(current)):
                outcome = "conflict"
                self._apply(current, order.service)
            case Err(failure):
                # The next attempt tells by its conflict whether this one was stored.
                outcome = type(failure).__name__
        self._log.belief(
            "rollout state written" if outcome == "written" else "rollout state not written",
            service=order.service,
            target=order.target,
            state=state.value,
            outcome=outcome,
        )
        return random.uniform(WRITE_RETRY_MIN_S, WRITE_RETRY_MAX_S)

    def _apply(self, record: RolloutRecord | None, service: ServiceId) -> None:
        if record is not None and record.order.service == service:
            self._book.apply(record)
