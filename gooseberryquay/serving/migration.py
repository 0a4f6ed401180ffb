"""Migrate running generations away from engines that are leaving."""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from gooseberryquay.ids import UpstreamId
from gooseberryquay.serving.active_generation import (
    ActiveGeneration,
    ActiveGenerations,
    KvCopy,
    MoveState,
)
from gooseberryquay.serving.decision_log import DecisionLog
from gooseberryquay.serving.placement import EngineNeed, Placement
from gooseberryquay.serving.ports import MovedCopy, MoveFailure, MoveRefusal, UpstreamClient
from gooseberryquay.serving.upstream_load import LoadTable, Run
from gooseberryquay.serving.upstream_registry import KnownUpstream

__all__ = ["Migration"]

# A final copy this quick pauses the stream well within the gap allowed between events.
QUICK_COPY_S = 0.06
# About half of the shortest notice that an engine gives.
STOP_AFTER_S = 0.9
# Longer than the longest notice that an engine gives.
COPY_TIMEOUT_S = 3.0
# A few steps of an engine's batch.
RETRY_PAUSE_S = 0.05
# Within the gap allowed between events, in case the engine crashes without notice.
COPY_INTERVAL_S = 0.1
TARGETS_MAX = 4
# Twice the usual notice of engines.
MOVE_TIMEOUT_S = 4.0


@dataclass(frozen=True, slots=True)
class _Target:
    known: KnownUpstream
    run: Run


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
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._upstream_client = upstream_client
        self._placement = placement
        self._loads = loads
        self._active = active
        self._log = log
        self._clock = clock

    def upstream_leaving(self, upstream: UpstreamId) -> None:
        """Start to migrate every generation that runs at an upstream."""
        for active in self._active.at(upstream):
            self.begin(active)

    def upstream_missing(self, upstream: UpstreamId) -> None:
        """Copy generations at a missing upstream in advance, without stopping them yet."""
        self.upstream_leaving(upstream)

    def begin(self, active: ActiveGeneration) -> None:
        """Start to migrate one generation in the background.

        While its engine is only missing from the list, the run continues and the copy is kept up
        to date.
        """
        engine = self._placement.engine_terms(active.request.service)
        if engine is None or not engine.can_move:
            return
        with active.changed:
            if active.state is not MoveState.STAYING or active.is_ended:
                return
            active.state = MoveState.COPYING
        threading.Thread(target=self._move, args=(active,), daemon=True).start()

    def _move(self, active: ActiveGeneration) -> None:
        began_at_s = self._clock()
        tried: set[UpstreamId] = {active.known.record.id}
        while len(tried) <= TARGETS_MAX and not self._is_over(active, began_at_s):
            target = self._choose_target(active, tried)
            if target is None:
                time.sleep(RETRY_PAUSE_S)
                continue
            tried.add(target.known.record.id)
            if self._move_to(active, target, began_at_s):
                return
            if not active.needs(target.run):
                self._loads.end(target.run)
        if _is_needed(active):
            if active.state is not MoveState.STAYING:
                active.set_state(MoveState.FAILED)
        else:
            self._cancel_move(active)

    def _cancel_move(self, active: ActiveGeneration) -> None:
        """Keep a generation at an engine whose list entry had only expired, and free the copy."""
        with active.changed:
            copy, active.copy = active.copy, None
            active.state = MoveState.STAYING
            active.changed.notify_all()
        if copy is not None:
            if copy.run is not active.run:
                self._loads.end(copy.run)
            self._upstream_client.free_copy(copy.handle.source, copy.handle)

    def _is_over(self, active: ActiveGeneration, began_at_s: float) -> bool:
        if active.is_ended or active.state is MoveState.STAYING or not _is_needed(active):
            return True
        return self._clock() - began_at_s > MOVE_TIMEOUT_S

    def _choose_target(self, active: ActiveGeneration, tried: set[UpstreamId]) -> _Target | None:
        run = active.run
        need = EngineNeed(run.held_tokens, max(0.0, run.expected_tokens - run.generated_tokens))
        version = active.known.record.version
        excluded = tried | self._placement.of_other_versions(active.request.service, version)
        known = self._placement.choose_move_target(
            active.request.service, need, excluded, active.known.record.zone
        )
        if (
            known is None
            or known.record.version != version
            or not self._placement.try_acquire(known)
        ):
            return None
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
        return _Target(known, moved)

    def _move_to(self, active: ActiveGeneration, target: _Target, began_at_s: float) -> bool:
        """Copy until little is left, then stop the run.

        Returns False if another target is needed.
        """
        while not target.known.is_leaving and not self._is_over(active, began_at_s):
            started_at_s = self._clock()
            match self._copy(active, target, is_final=False):
                case Ok(copy):
                    self._record_copy(active, KvCopy(target.known, copy.handle, target.run))
                    took_s = self._clock() - started_at_s
                    is_late = self._clock() - began_at_s > STOP_AFTER_S
                    if active.known.is_leaving and (took_s < QUICK_COPY_S or is_late):
                        return self._stop(active, target)
                    if not active.known.is_leaving:
                        time.sleep(COPY_INTERVAL_S)
                case Err(MoveFailure(MoveRefusal.UNKNOWN_RUN | MoveRefusal.IN_PROGRESS)):
                    time.sleep(RETRY_PAUSE_S)
                case Err(failure):
                    self._log_event(active, target, "copy refused", failure)
                    return False
        return False

    def _stop(self, active: ActiveGeneration, target: _Target) -> bool:
        active.set_state(MoveState.STOPPING)
        match self._copy(active, target, is_final=True):
            case Ok(copy):
                self._record_copy(
                    active, KvCopy(target.known, copy.handle, target.run, active.known)
                )
                self._log.request(
                    "generation moved",
                    active.request.call.id,
                    source=active.known.record.id,
                    upstream=target.known.record.id,
                    events=copy.events,
                )
                active.set_state(MoveState.STOPPED)
            case Err(failure):
                self._log_event(active, target, "stop refused", failure)
                if failure.handle is not None:
                    self._record_copy(active, KvCopy(active.known, failure.handle, active.run))
                active.set_state(MoveState.FAILED)
        return True

    def _record_copy(self, active: ActiveGeneration, copy: KvCopy) -> None:
        unneeded = active.set_copy(copy)
        if unneeded is not None and unneeded is not active.run:
            self._loads.end(unneeded)

    def _copy(
        self, active: ActiveGeneration, target: _Target, is_final: bool
    ) -> Result[MovedCopy, MoveFailure]:
        until_s = self._clock() + COPY_TIMEOUT_S
        source = active.known.record
        address = target.known.record.address
        return self._upstream_client.move(
            source, active.request.call.id, address, is_final, until_s
        )

    def _log_event(
        self, active: ActiveGeneration, target: _Target, event: str, failure: MoveFailure
    ) -> None:
        self._log.request(
            event,
            active.request.call.id,
            source=active.known.record.id,
            upstream=target.known.record.id,
            reason=failure.refusal.value,
        )


def _is_needed(active: ActiveGeneration) -> bool:
    return active.known.is_leaving or active.known.is_missing
