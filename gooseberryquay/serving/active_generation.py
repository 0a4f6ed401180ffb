"""Generations in flight and the copies of their KV caches."""

import threading
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from gooseberryquay.ids import RequestId, UpstreamId
from gooseberryquay.serving.accepted import AcceptedRequest
from gooseberryquay.serving.ports import CopyHandle
from gooseberryquay.serving.upstream_load import Run
from gooseberryquay.serving.upstream_registry import KnownUpstream

__all__ = ["ActiveGeneration", "ActiveGenerations", "KvCopy", "MoveState", "RunStop"]

# Weight of the latest interval in the mean; engines send several events in one part.
PACE_WEIGHT = 0.15


class MoveState(Enum):
    """Enumerate the states of a generation's migration."""

    STAYING = "staying"
    COPYING = "copying"
    STOPPING = "stopping"
    STOPPED = "stopped"
    FAILED = "failed"


class RunStop(Enum):
    """Enumerate what is known of an order to stop a run."""

    NOT_ORDERED = "not ordered"
    ORDERED = "ordered"
    STOPPED = "stopped"
    # The run was over before, or went on.
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class KvCopy:
    """Reference the newest copy of a generation's KV cache, its holder and the run there.

    A source that has stopped the run also keeps its KV cache for a while.
    """

    holder: KnownUpstream
    handle: CopyHandle
    run: Run
    stopped_source: KnownUpstream | None = None

    def is_final(self, run: Run) -> bool:
        """Return whether the source has stopped the run of which this is a copy."""
        return self.stopped_source is not None or self.run is run

    def at_source(self, run: Run) -> "KvCopy | None":
        """Return a reference to the KV cache that the stopped source keeps, if there is one."""
        if self.stopped_source is None:
            return None
        return KvCopy(self.stopped_source, self.handle, run)


@dataclass(eq=False)
class ActiveGeneration:
    """Track one generation that is relayed and its migration, which the relay waits for."""

    request: AcceptedRequest
    known: KnownUpstream
    run: Run
    tokens_per_event: int = 1
    state: MoveState = MoveState.STAYING
    copy: KvCopy | None = None
    # The run at the holder of the latest copy that was stored, also once that is used.
    stored_run: Run | None = None
    is_ended: bool = False
    # Set while the relay, whose stream broke, takes over from the migration.
    is_interrupted: bool = False
    stop: RunStop = RunStop.NOT_ORDERED
    # The engine has closed the stream, so that it works on the run no more.
    is_stream_closed: bool = False
    # The run goes on at the engine that had stopped it, as no other took its KV cache.
    is_back_at_source: bool = False
    # When the engine was first known to leave or to be missing, on the migration's clock.
    leaves_since_s: float | None = None
    # Number of migrations begun; each may change the state only while it is the latest.
    move_number: int = 0
    # Stops the run at its engine; returns the copy to resume from, or None.
    stop_run: Callable[[KvCopy | None], KvCopy | None] = lambda copy: copy
    # Mean time between the events of the current run; None before the second one.
    pace_s: float | None = None
    last_event_at_s: float | None = None
    # Whether the request may be sent anew; `resend` breaks its stream off for that.
    may_resend: Callable[[], bool] = lambda: False
    resend: Callable[[], bool] = lambda: False
    # The stream was broken off before its first event, to begin anew at another engine.
    is_resent: bool = False
    # The engine that keeps a backup of the current run.
    backup: KnownUpstream | None = None
    was_backup_used: bool = False
    # Holders of backups of earlier runs, to be freed when the generation has ended.
    old_backups: list[KnownUpstream] = field(default_factory=list)
    # Ends the relay's read of the current response; None while there is none.
    break_off: Callable[[], None] | None = None
    changed: threading.Condition = field(default_factory=threading.Condition)

    def record_event(self, now_s: float) -> None:
        """Update the pace of the run with an event that its engine sent."""
        if self.last_event_at_s is not None:
            interval_s = now_s - self.last_event_at_s
            mean_s = interval_s if self.pace_s is None else self.pace_s
            self.pace_s = mean_s + PACE_WEIGHT * (interval_s - mean_s)
        self.last_event_at_s = now_s

    def break_stream(self) -> bool:
        """Break off the stream; return False if no response is being read."""
        with self.changed:
            # Later, the connection may carry the response to another request.
            if self.break_off is None:
                return False
            self.is_resent = True
            self.break_off()
            return True

    def set_break_off(self, break_off: Callable[[], None] | None) -> None:
        """Set how the current read is ended, None once there is none."""
        with self.changed:
            self.break_off = break_off

    def begin_move(self, now_s: float) -> int | None:
        """Begin a migration and return its number, or None if there is nothing to migrate."""
        with self.changed:
            if self.state is not MoveState.STAYING or self.is_ended or self.is_interrupted:
                return None
            if self.leaves_since_s is None:
                self.leaves_since_s = now_s
            self.state = MoveState.COPYING
            self.move_number += 1
            return self.move_number

    def is_moving(self, number: int) -> bool:
        """Return whether a migration is the latest and neither ended nor interrupted."""
        with self.changed:
            return self._is_moving(number)

    def _is_moving(self, number: int) -> bool:
        is_over = self.is_ended or self.is_interrupted or self.state is MoveState.STAYING
        return number == self.move_number and not is_over

    def try_stop(self, number: int) -> bool:
        """Let a migration stop the run; return False if it is over."""
        with self.changed:
            if not self._is_moving(number):
                return False
            self.state = MoveState.STOPPING
            self.stop = RunStop.ORDERED
            return True

    def end_stop(self, stop: RunStop, state: MoveState, number: int) -> None:
        """Record the answer to the order to stop the run, and wake the relay."""
        with self.changed:
            if number == self.move_number and self.stop is RunStop.ORDERED:
                self.stop = stop
        self.set_state(state, number)

    def withdraw_stop(self, number: int) -> None:
        """Forget an order to stop the run that the engine has answered but not heeded."""
        with self.changed:
            if self._is_moving(number) and self.state is MoveState.COPYING:
                self.stop = RunStop.NOT_ORDERED

    def has_ended_by_itself(self, timeout_s: float) -> bool:
        """Return whether a run whose stream was closed certainly did not end on an order.

        An answer to the order is awaited for `timeout_s`; none is given from now on.
        """
        with self.changed:
            self.is_interrupted = self.is_stream_closed = True
            self.changed.wait_for(lambda: self.stop is not RunStop.ORDERED, timeout_s)
            return self.stop in {RunStop.NOT_ORDERED, RunStop.REFUSED}

    def switch_to(self, holder: KnownUpstream, run: Run) -> None:
        """Continue with a run that resumes from a copy."""
        with self.changed:
            self.is_back_at_source = run is self.run
            if not self.is_back_at_source:
                self.leaves_since_s = None
            self.known = holder
            self.run = run
            self.pace_s = self.last_event_at_s = None
            self.is_resent = False
            self.stop = RunStop.NOT_ORDERED
            self.is_stream_closed = False

    def set_state(self, state: MoveState, number: int) -> None:
        """Change the state of a migration in progress and wake the relay."""
        with self.changed:
            if number == self.move_number and self.state is not MoveState.STAYING:
                self.state = state
            self.changed.notify_all()

    def set_copy(self, copy: KvCopy, number: int) -> KvCopy | None:
        """Store a newer copy, unless the relay has continued without it.

        Returns a copy that is not needed: the previous one at another engine, or this one if the
        generation has ended.
        """
        with self.changed:
            if self.is_ended:
                return copy
            is_awaited = not self.is_interrupted or self.state is MoveState.STOPPING
            is_over = number != self.move_number or self.state is MoveState.STAYING
            if is_over or not is_awaited:
                return None
            previous, self.copy = self.copy, copy
            self.stored_run = copy.run
            is_replaced = previous is not None and previous.run is not copy.run
            return previous if is_replaced else None

    def has_copy(self) -> bool:
        """Return whether there is a copy of the KV cache."""
        with self.changed:
            return self.copy is not None

    def needs(self, run: Run) -> bool:
        """Return whether the generation uses a run or may still resume there."""
        with self.changed:
            return run is self.run or (self.copy is not None and run is self.copy.run)

    def take_copy(self, timeout_s: float) -> KvCopy | None:
        """Detach the newest copy once the run has stopped; None if there is none or it may go on.

        A migration that is about to stop the run may take `timeout_s` to do so.
        """
        with self.changed:
            self.is_interrupted = True
            if not self.is_stream_closed:
                self.changed.wait_for(lambda: self.state is not MoveState.STOPPING, timeout_s)
            copy = self.copy
        if copy is None or not copy.is_final(self.run):
            stopped = self.stop_run(copy)
            if stopped is not None or not self.is_stream_closed:
                copy = stopped
        with self.changed:
            if self.copy is not None and self.copy.is_final(self.run):
                copy = self.copy
            if copy is not None:
                self.copy = None
            self.state = MoveState.STAYING
            self.is_interrupted = False
            return copy

    def end(self) -> KvCopy | None:
        """Mark the generation as ended and return a copy that was not used."""
        with self.changed:
            self.is_ended = True
            copy, self.copy = self.copy, None
            return copy


class ActiveGenerations:
    """Index the generations in flight by engine; thread-safe."""

    def __init__(self) -> None:
        self._at: dict[UpstreamId, dict[RequestId, ActiveGeneration]] = defaultdict(dict)
        self._lock = threading.Lock()

    def add(self, active: ActiveGeneration) -> None:
        """Add a generation under its engine."""
        with self._lock:
            self._at[active.known.record.id][active.request.call.id] = active

    def remove(self, active: ActiveGeneration) -> None:
        """Remove a generation from its engine."""
        with self._lock:
            upstream = active.known.record.id
            self._at[upstream].pop(active.request.call.id, None)
            if not self._at[upstream]:
                del self._at[upstream]

    def at(self, upstream: UpstreamId) -> list[ActiveGeneration]:
        """Return the generations in flight at an engine."""
        with self._lock:
            return list(self._at.get(upstream, {}).values())
