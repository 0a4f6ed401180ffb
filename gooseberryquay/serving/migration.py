"""Migrate running generations away from engines that are leaving."""

import functools
import threading
import time
from collections.abc import Callable

from result import Err, Ok

from gooseberryquay.ids import UpstreamId, ZoneId
from gooseberryquay.serving.active_generation import (
    ActiveGeneration,
    ActiveGenerations,
    KvCopy,
    MoveState,
)
from gooseberryquay.serving.backups import Backups
from gooseberryquay.serving.decision_log import DecisionLog
from gooseberryquay.serving.joint_migration import JointMigration
from gooseberryquay.serving.machine_slowdown import MachineSlowdowns
from gooseberryquay.serving.move_calls import DRAIN_S, EVACUATION_S, Move, MoveCalls, Target
from gooseberryquay.serving.placement import Placement
from gooseberryquay.serving.ports import (
    ListeningState,
    MoveFailure,
    MoveRefusal,
    UpstreamClient,
)
from gooseberryquay.serving.upstream_load import LoadTable
from gooseberryquay.serving.upstream_registry import KnownUpstream

__all__ = ["Migration"]

# A final copy this quick pauses the stream well within the gap allowed between events.
QUICK_COPY_S = 0.06
# About half of the shortest notice that an engine gives.
STOP_AFTER_S = 0.9
# A few steps of an engine's batch.
RETRY_PAUSE_S = 0.05
# Within the gap allowed between events, in case the engine crashes without notice.
COPY_INTERVAL_S = 0.1
TARGETS_MAX = 4
# Twice the usual notice of engines.
MOVE_TIMEOUT_S = 4.0
# Callers abandon a stream after a longer gap.
STOP_TIMEOUT_S = 2.0
# A call that a failed link swallows is made again within the timeout.
STOP_CALL_TIMEOUT_S = 1.0
PROBE_TIMEOUT_S = 0.6
# Without a copy, a resumable stream may rather begin anew.
STOP_UNCOPIED_S = 0.4
# A run whose stream its engine has closed can go on from an earlier copy.
STOP_CLOSED_S = 0.4


class Migration:
    """Copy the KV cache of a running generation, then stop it and resume it at another engine."""

    def __init__(
        self,
        *,
        upstream_client: UpstreamClient,
        placement: Placement,
        loads: LoadTable,
        active: ActiveGenerations,
        log: DecisionLog,
        drain_s: float = DRAIN_S,
        slowdowns: MachineSlowdowns | None = None,
        on_outcome: Callable[[str], None] = lambda _outcome: None,
        evacuation_s: float = EVACUATION_S,
        zone_out_for_s: Callable[[ZoneId], float] = lambda _zone: 0.0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._upstream_client = upstream_client
        self._placement = placement
        self._loads = loads
        self._active = active
        self._log = log
        self._clock = clock
        self._calls = MoveCalls(
            upstream_client=upstream_client,
            placement=placement,
            loads=loads,
            log=log,
            drain_s=drain_s,
            evacuation_s=evacuation_s,
            zone_out_for_s=zone_out_for_s,
            clock=clock,
        )
        self._joint: JointMigration | None = None
        self.backups: Backups | None = None
        if slowdowns is not None:
            self.backups = Backups(
                calls=self._calls,
                upstream_client=upstream_client,
                placement=placement,
                is_shared=slowdowns.is_shared,
                on_outcome=on_outcome,
                clock=clock,
            )
            self._joint = JointMigration(
                calls=self._calls,
                upstream_client=upstream_client,
                placement=placement,
                loads=loads,
                slowdowns=slowdowns,
                log=log,
                cancel=self._cancel_move,
                on_outcome=on_outcome,
                clock=clock,
            )

    def upstream_leaving(self, upstream: UpstreamId) -> None:
        """Start to migrate every generation that runs at an upstream."""
        for active in self._active.at(upstream):
            self.begin(active)

    def upstream_missing(self, upstream: UpstreamId) -> None:
        """Copy generations at a missing upstream in advance, without stopping them yet."""
        self.upstream_leaving(upstream)

    def attach(self, active: ActiveGeneration) -> None:
        """Stop the run at its engine if its stream breaks, and keep its KV cache."""
        active.stop_run = functools.partial(self._stop_lost_run, active)

    def begin(self, active: ActiveGeneration) -> None:
        """Start to migrate one generation in the background.

        While its engine is only missing from the list, the run continues and the copy is kept up
        to date.
        """
        engine = self._placement.engine_terms(active.request.service)
        if engine is None or not engine.can_move:
            return
        source = active.known
        number = active.begin_move(self._clock())
        if number is None:
            return
        self.attach(active)
        move = Move(active, source, number, self._clock())
        if (
            self._joint is not None
            and source.is_leaving
            and self._joint.applies_to(active.request.service)
        ):
            self._joint.add(move)
            return
        threading.Thread(target=self._move, args=(move,), daemon=True).start()

    def _move(self, move: Move) -> None:
        active = move.active
        tried: set[UpstreamId] = {move.source.record.id}
        while len(tried) <= TARGETS_MAX and not self._is_over(move):
            target = self._calls.choose_target(active, move.source.record, tried)
            if target is None:
                time.sleep(RETRY_PAUSE_S)
                continue
            tried.add(target.known.record.id)
            if self._move_to(move, target):
                return
            if not active.needs(target.run):
                self._loads.end(target.run)
        if move.is_needed:
            active.set_state(MoveState.FAILED, move.number)
        else:
            self._cancel_move(move)

    def _cancel_move(self, move: Move) -> None:
        """Keep a generation at an engine whose list entry had only expired, and free the copy."""
        active = move.active
        with active.changed:
            if not active.is_moving(move.number):
                return
            copy, active.copy = active.copy, None
            active.state = MoveState.STAYING
            active.changed.notify_all()
        if copy is not None:
            if copy.run is not active.run:
                self._loads.end(copy.run)
            self._upstream_client.free_copy(copy.handle.source, copy.handle)

    def _is_over(self, move: Move) -> bool:
        if not move.active.is_moving(move.number) or not move.is_needed:
            return True
        return self._clock() - move.began_at_s > MOVE_TIMEOUT_S

    def _move_to(self, move: Move, target: Target) -> bool:
        """Copy until little is left, then stop the run.

        Returns False if another target is needed.
        """
        while not target.known.is_leaving and not self._is_over(move):
            started_at_s = self._clock()
            match self._calls.copy(move, target, is_final=False):
                case Ok(copy):
                    self._calls.record_copy(move, KvCopy(target.known, copy.handle, target.run))
                    took_s = self._clock() - started_at_s
                    is_late = self._clock() - move.began_at_s > STOP_AFTER_S
                    # Another stop could be refused too, when the run may not return any more.
                    may_stop = move.source.is_leaving and not move.active.is_back_at_source
                    # The run is there, so that an order whose answer left that open was refused.
                    move.active.withdraw_stop(move.number)
                    if may_stop and (took_s < QUICK_COPY_S or is_late):
                        if self._calls.stop(move, target):
                            return True
                        time.sleep(RETRY_PAUSE_S)
                    if not may_stop:
                        time.sleep(COPY_INTERVAL_S)
                case Err(MoveFailure(MoveRefusal.UNKNOWN_RUN | MoveRefusal.IN_PROGRESS)):
                    time.sleep(RETRY_PAUSE_S)
                case Err(failure):
                    self._calls.log_event(move, target, "copy refused", failure)
                    return False
        return False

    def _stop_lost_run(self, active: ActiveGeneration, copy: KvCopy | None) -> KvCopy | None:
        """Stop a run whose stream broke, as not every engine notices that by itself.

        Returns the copy to resume from, or None if there is none or the run may go on.
        """
        source = active.known
        engine = self._placement.engine_terms(active.request.service)
        if engine is None or not engine.can_move:
            return copy
        if copy is not None:
            return self._stop_lost(active, source, Target(copy.holder, copy.run), copy)
        target = self._calls.choose_target(active, source.record, {source.record.id})
        if target is None:
            return None
        stopped = self._stop_lost(active, source, target, None)
        if stopped is None or stopped.run is not target.run:
            self._loads.end(target.run)
        return stopped

    def _stop_lost(
        self, active: ActiveGeneration, source: KnownUpstream, target: Target, copy: KvCopy | None
    ) -> KvCopy | None:
        began_at_s = self._clock()
        timeout_s = STOP_CLOSED_S if active.is_stream_closed else STOP_TIMEOUT_S
        until_s = min(began_at_s + timeout_s, active.request.until_s)
        address = target.known.record.address
        while True:
            stopped = self._upstream_client.move(
                source.record,
                active.request.call.id,
                address,
                True,
                min(until_s, self._clock() + STOP_CALL_TIMEOUT_S),
            )
            match stopped:
                case Ok(final):
                    return KvCopy(target.known, final.handle, target.run, source)
                case Err(MoveFailure(MoveRefusal.UNKNOWN_RUN)):
                    return copy
                case Err(MoveFailure(MoveRefusal.IN_PROGRESS)) if (
                    active.state is MoveState.STOPPING and copy is not None
                ):
                    # The final copy of the migration is still on its way.
                    return copy
                case Err(MoveFailure(_, handle)) if handle is not None:
                    if not self._calls.may_return(active):
                        return copy
                    self._loads.end(target.run)
                    return KvCopy(source, handle, active.run)
                case Err(MoveFailure(MoveRefusal.FAILED | MoveRefusal.NOT_SENT)):
                    probe_until_s = self._clock() + PROBE_TIMEOUT_S
                    listening = self._upstream_client.listening_state(source.record, probe_until_s)
                    if listening is not ListeningState.OPEN:
                        return copy
                    if copy is None:
                        until_s = min(until_s, began_at_s + STOP_UNCOPIED_S)
            if active.request.caller.is_disconnected():
                return None
            if self._clock() + RETRY_PAUSE_S >= until_s:
                self._log.request(
                    "lost run may go on", active.request.call.id, source=source.record.id
                )
                return None
            time.sleep(RETRY_PAUSE_S)

    def may_return_to(self, source: KnownUpstream) -> bool:
        """Return whether a request may still be sent to an engine in view of its zone."""
        return self._calls.may_return_to(source)
