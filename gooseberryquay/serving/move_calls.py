"""Calls to engines that migrate a run: choose a target, copy, stop."""

import time
from collections.abc import Callable, Collection
from dataclasses import dataclass

from result import Err, Ok, Result

from gooseberryquay.ids import UpstreamId, ZoneId
from gooseberryquay.serving.active_generation import (
    ActiveGeneration,
    KvCopy,
    MoveState,
    RunStop,
)
from gooseberryquay.serving.decision_log import DecisionLog
from gooseberryquay.serving.placement import EngineNeed, Placement
from gooseberryquay.serving.ports import (
    MovedCopy,
    MoveFailure,
    MoveRefusal,
    UpstreamClient,
)
from gooseberryquay.serving.upstream_load import LoadTable, Run
from gooseberryquay.serving.upstream_record import UpstreamRecord
from gooseberryquay.serving.upstream_registry import KnownUpstream

__all__ = ["DRAIN_S", "EVACUATION_S", "Move", "MoveCalls", "StopResult", "Target", "need_of"]

# Used where the deployment states none.
DRAIN_S = 2.0
EVACUATION_S = 5.0
# Until a request that returns to an upstream has arrived there.
RETURN_MARGIN_S = 0.3
# Longer than the longest notice that an engine gives.
COPY_TIMEOUT_S = 3.0


@dataclass(frozen=True, slots=True)
class Target:
    """Name the engine that takes a run, and the run that is counted there."""

    known: KnownUpstream
    run: Run


@dataclass(frozen=True, slots=True)
class Move:
    """Identify one migration of a generation."""

    active: ActiveGeneration
    source: KnownUpstream
    number: int
    began_at_s: float

    @property
    def is_needed(self) -> bool:
        """Return whether the source leaves or may be gone."""
        return self.source.is_leaving or self.source.is_missing


@dataclass(frozen=True, slots=True)
class StopResult:
    """Report whether an order to stop a run has ended it, and how it was refused if not."""

    is_over: bool
    is_moved: bool = False
    refusal: MoveRefusal | None = None


def need_of(active: ActiveGeneration) -> EngineNeed:
    """Return what a run needs at its target."""
    run, route = active.run, active.request.route
    return EngineNeed(
        run.held_tokens,
        max(0.0, run.expected_tokens - run.generated_tokens),
        route.gap_target_s,
        priority=route.priority,
    )


class MoveCalls:
    """Carry out single steps of migrations."""

    def __init__(
        self,
        *,
        upstream_client: UpstreamClient,
        placement: Placement,
        loads: LoadTable,
        log: DecisionLog,
        drain_s: float = DRAIN_S,
        evacuation_s: float = EVACUATION_S,
        zone_out_for_s: Callable[[ZoneId], float] = lambda _zone: 0.0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._upstream_client = upstream_client
        self._placement = placement
        self._loads = loads
        self._log = log
        self._drain_s = drain_s
        self._evacuation_s = evacuation_s
        self._zone_out_for_s = zone_out_for_s
        self._clock = clock

    def choose_target(
        self, active: ActiveGeneration, source: UpstreamRecord, tried: Collection[UpstreamId]
    ) -> Target | None:
        """Reserve the best engine for a run, or return None if none takes it now."""
        known = self._placement.choose_move_target(
            active.request.service, need_of(active), self.excluded(source, tried), source.zone
        )
        return self.reserve(active, source, known) if known is not None else None

    def excluded(self, source: UpstreamRecord, tried: Collection[UpstreamId]) -> set[UpstreamId]:
        """Return the engines that may not take a run: those tried and those of other versions."""
        others = self._placement.of_other_versions(source.service, source.version)
        return {*tried, *others}

    def reserve(
        self, active: ActiveGeneration, source: UpstreamRecord, known: KnownUpstream
    ) -> Target | None:
        """Count a run at its target; return None if that has changed or is at its rate limit."""
        if known.record.version != source.version or not self._placement.try_acquire(known):
            return None
        run = active.run
        moved = Run(
            run.id,
            known.record.id,
            self._clock(),
            run.prompt_tokens,
            run.expected_tokens,
            run.generated_tokens,
            is_moved=True,
        )
        self._loads.start(moved)
        return Target(known, moved)

    def stop(self, move: Move, target: Target) -> bool:
        """Order the source to stop the run; return False if it may go on there."""
        return self.order_stop(move, target).is_over

    def order_stop(self, move: Move, target: Target) -> StopResult:
        """Order the source to stop the run; return whether it is over there, or why not."""
        active = move.active
        if not active.try_stop(move.number):
            return StopResult(is_over=False)
        match self.copy(move, target, is_final=True):
            case Ok(copy):
                self.record_copy(move, KvCopy(target.known, copy.handle, target.run, move.source))
                self._log.request(
                    "generation moved",
                    active.request.call.id,
                    source=move.source.record.id,
                    upstream=target.known.record.id,
                    events=copy.events,
                )
                active.end_stop(RunStop.STOPPED, MoveState.STOPPED, move.number)
                return StopResult(is_over=True, is_moved=True)
            case Err(failure):
                self.log_event(move, target, "stop refused", failure)
                if failure.handle is not None and self.may_return(active):
                    self.record_copy(move, KvCopy(move.source, failure.handle, active.run))
                stop = _stop_of(failure)
                if stop is RunStop.REFUSED and failure.refusal is not MoveRefusal.UNKNOWN_RUN:
                    active.end_stop(stop, MoveState.COPYING, move.number)
                    return StopResult(is_over=False, refusal=failure.refusal)
                if stop is RunStop.UNKNOWN and failure.refusal is MoveRefusal.NO_ROOM:
                    active.end_stop(stop, MoveState.COPYING, move.number)
                    return StopResult(is_over=False, refusal=failure.refusal)
                active.end_stop(stop, MoveState.FAILED, move.number)
        return StopResult(is_over=True)

    def may_return(self, active: ActiveGeneration) -> bool:
        """Return whether a stopped run may still be resumed at an engine that is leaving."""
        if not self.may_return_to(active.known):
            return False
        if active.leaves_since_s is None:
            return True
        return self._clock() - active.leaves_since_s < self._drain_s - RETURN_MARGIN_S

    def may_return_to(self, source: KnownUpstream) -> bool:
        """Return whether a request may still be sent to an engine in view of its zone."""
        out_for_s = self._zone_out_for_s(source.record.zone)
        return out_for_s == 0.0 or out_for_s < self._evacuation_s - RETURN_MARGIN_S

    def record_copy(self, move: Move, copy: KvCopy) -> None:
        """Store a newer copy and free the one that is not needed."""
        unneeded = move.active.set_copy(copy, move.number)
        if unneeded is not None and unneeded.run is not move.active.run:
            self._loads.end(unneeded.run)
        if unneeded is copy:
            self._upstream_client.free_copy(copy.handle.source, copy.handle)

    def copy(self, move: Move, target: Target, is_final: bool) -> Result[MovedCopy, MoveFailure]:
        """Copy the KV cache of a run to its target, and stop the run if `is_final`."""
        until_s = self._clock() + COPY_TIMEOUT_S
        return self._upstream_client.move(
            move.source.record,
            move.active.request.call.id,
            target.known.record.address,
            is_final,
            until_s,
        )

    def log_event(self, move: Move, target: Target, event: str, failure: MoveFailure) -> None:
        """Log a copy that was refused."""
        self._log.request(
            event,
            move.active.request.call.id,
            source=move.source.record.id,
            upstream=target.known.record.id,
            reason=failure.refusal.value,
        )


def _stop_of(failure: MoveFailure) -> RunStop:
    """Return what a failed final copy tells of the run."""
    match failure:
        case MoveFailure(_, handle) if handle is not None:
            return RunStop.STOPPED
        case MoveFailure(MoveRefusal.UNKNOWN_RUN | MoveRefusal.IN_PROGRESS | MoveRefusal.NOT_SENT):
            return RunStop.REFUSED
        case _:
            return RunStop.UNKNOWN
