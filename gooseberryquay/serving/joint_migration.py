"""Migrate the runs that leave one engine together, one copy at a time.

Carries out the decisions of `migration_plan` for engines on shared machines, whose links are too
slow to copy all runs at once within the notice that the engine gives.
"""

import random
import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from result import Err, Ok

from gooseberryquay.ids import RequestId, ServiceId, UpstreamId
from gooseberryquay.serving.active_generation import KvCopy, MoveState
from gooseberryquay.serving.decision_log import DecisionLog
from gooseberryquay.serving.leave_notices import LeaveNotices
from gooseberryquay.serving.machine_slowdown import MachineSlowdowns
from gooseberryquay.serving.migration_plan import (
    LeavingEngine,
    LeavingRun,
    LinkTerms,
    MoveAction,
    choose_target,
    first_queue_s,
    is_link_free,
    next_move,
    planned_order,
)
from gooseberryquay.serving.move_calls import Move, MoveCalls, Target, need_of
from gooseberryquay.serving.placement import Placement
from gooseberryquay.serving.ports import (
    ListeningState,
    MoveFailure,
    MoveRefusal,
    UpstreamClient,
)
from gooseberryquay.serving.upstream_load import LoadTable
from gooseberryquay.serving.upstream_registry import KnownUpstream

__all__ = ["JointMigration"]

MS_PER_S = 1000.0
# A few steps of an engine's batch.
REST_S = 0.05
# Until memory may have become free at targets that all had no room.
NO_TARGET_REST_S = 0.1
# Twice the usual notice of engines.
MOVE_TIMEOUT_S = 4.0
# Engines are near.
PROBE_TIMEOUT_S = 0.3
# Longer than an engine goes on after its notice.
FORGET_S = 10.0

_Incarnation = tuple[UpstreamId, int | None]


@dataclass(eq=False)
class _RunMove:
    """Track the migration of one run: its target, the tokens copied and the engines tried."""

    move: Move
    target: Target | None = None
    copied_tokens: int = 0
    is_quiet: bool = False
    rests_until_s: float = 0.0
    may_resend: bool = True
    is_hopeless: bool = False
    tried: set[UpstreamId] = field(default_factory=set)

    @property
    def id(self) -> RequestId:
        return self.move.active.request.call.id

    @property
    def may_stop(self) -> bool:
        """Return whether the run may be stopped.

        Another stop of one that is back could be refused too, when it may not return any more.
        """
        return self.move.source.is_leaving and not self.move.active.is_back_at_source

    @property
    def is_open(self) -> bool:
        """Return whether something is left to do."""
        active = self.move.active
        is_done = active.state in {MoveState.STOPPED, MoveState.FAILED}
        return active.is_moving(self.move.number) and not is_done


@dataclass(eq=False)
class _LeavingSource:
    """Track the runs of this entry at an engine that leaves."""

    known: KnownUpstream
    since_s: float
    queue_s: float
    all_copies_s: float
    moves: list[_RunMove] = field(default_factory=list)
    # Targets of this entry's runs, also of those that have moved.
    used: set[UpstreamId] = field(default_factory=set)
    is_gone: bool = False
    planned: frozenset[RequestId] = frozenset()

    @property
    def incarnation(self) -> _Incarnation:
        return self.known.record.id, self.known.record.born_ms


class JointMigration:
    """Plan and carry out the migrations from each engine that leaves; thread-safe."""

    def __init__(
        self,
        *,
        calls: MoveCalls,
        upstream_client: UpstreamClient,
        placement: Placement,
        loads: LoadTable,
        slowdowns: MachineSlowdowns,
        log: DecisionLog,
        cancel: Callable[[Move], None],
        on_outcome: Callable[[str], None] = lambda _outcome: None,
        rng: random.Random | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._calls = calls
        self._upstream_client = upstream_client
        self._placement = placement
        self._loads = loads
        self._slowdowns = slowdowns
        self._log = log
        self._cancel = cancel
        self._on_outcome = on_outcome
        self._rng = rng or random.Random()
        self._clock = clock
        self._notices = LeaveNotices()
        self._sources: dict[_Incarnation, _LeavingSource] = {}
        self._since_s: dict[_Incarnation, float] = {}
        self._lock = threading.Lock()

    def applies_to(self, service: ServiceId) -> bool:
        """Return whether a service's engines state their link and share their machines."""
        return self._link(service) is not None and self._slowdowns.is_shared(service)

    def add(self, move: Move) -> None:
        """Migrate a run together with the others of this entry at its source."""
        with self._lock:
            known = move.source
            incarnation = (known.record.id, known.record.born_ms)
            source = self._sources.get(incarnation)
            if source is not None:
                source.moves.append(_RunMove(move))
                return
            since_s = self._since_of(incarnation, move.active.leaves_since_s or move.began_at_s)
            queue_s, all_copies_s = self._link_load(known)
            source = _LeavingSource(known, since_s, queue_s, all_copies_s, [_RunMove(move)])
            self._sources[incarnation] = source
        threading.Thread(target=self._run, args=(source,), daemon=True).start()

    def _since_of(self, incarnation: _Incarnation, at_s: float) -> float:
        for old in [each for each, since_s in self._since_s.items() if at_s - since_s > FORGET_S]:
            del self._since_s[old]
        return self._since_s.setdefault(incarnation, at_s)

    def _link(self, service: ServiceId) -> LinkTerms | None:
        engine = self._placement.engine_terms(service)
        if engine is None or engine.link_mbps <= 0.0 or engine.bytes_per_token <= 0.0:
            return None
        return LinkTerms(engine.bytes_per_token, engine.link_mbps)

    def _link_load(self, known: KnownUpstream) -> tuple[float, float]:
        """Return the expected wait for the link, and the time of copies of all runs."""
        link = self._link(known.record.service)
        if link is None:
            return 0.0, 0.0
        others = self._placement.peer_load_at(known.record.id)
        own_tokens = sum(each.held_tokens for each in self._loads.runs_at(known.record.id))
        queue_s = first_queue_s(link, others.runs, others.held_tokens)
        return queue_s, link.copy_s(own_tokens + others.held_tokens)

    def _run(self, source: _LeavingSource) -> None:
        while True:
            with self._lock:
                closed = [each for each in source.moves if not self._is_open(source, each)]
                source.moves = [each for each in source.moves if each not in closed]
                moves = list(source.moves)
                if not moves:
                    self._sources.pop(source.incarnation, None)
            for each in closed:
                self._close(source, each)
            if not moves:
                return
            self._step(source, moves)

    def _is_open(self, source: _LeavingSource, each: _RunMove) -> bool:
        is_late = self._clock() - each.move.began_at_s > MOVE_TIMEOUT_S
        return each.is_open and each.move.is_needed and not source.is_gone and not is_late

    def _close(self, source: _LeavingSource, each: _RunMove) -> None:
        """Give up a migration that is over, and what was reserved for it."""
        move = each.move
        if each.is_open:
            if move.is_needed:
                move.active.set_state(MoveState.FAILED, move.number)
                self._on_outcome("engine gone" if source.is_gone else "out of time")
            else:
                self._cancel(move)
        self._release(each)

    def _release(self, each: _RunMove) -> None:
        # Once a copy is stored, the generation ends the run that is counted there. While the relay
        # switches to it, nothing else shows that it is still needed.
        if each.target is not None and each.move.active.stored_run is not each.target.run:
            self._loads.end(each.target.run)
        each.target = None

    def _step(self, source: _LeavingSource, moves: Sequence[_RunMove]) -> None:
        now_s = self._clock()
        service = source.known.record.service
        link = self._link(service)
        if link is None:
            # The configuration has changed; runs stay until their engine ends.
            time.sleep(REST_S)
            return
        passed_s = now_s - source.since_s
        engine = LeavingEngine(
            self._notices.expected_s(service) - passed_s,
            self._notices.longest_s(service) - passed_s,
            link,
            source.queue_s,
            passed_s,
            source.all_copies_s,
        )
        runs = {each.id: _view_of(each, now_s) for each in moves}
        self._log_plan(source, engine, list(runs.values()))
        step = next_move(engine, list(runs.values()))
        chosen = next((each for each in moves if each.id == step.run), None)
        if chosen is None:
            time.sleep(step.wait_s)
            return
        match step.action:
            case MoveAction.RESEND:
                self._resend(chosen)
            case MoveAction.FINISH:
                self._finish(source, chosen)
            case _:
                self._copy(source, chosen, runs[chosen.id], engine)

    def _resend(self, each: _RunMove) -> None:
        each.may_resend = False
        if each.move.active.resend():
            self._on_outcome("sent anew")
            self._log.request("generation sent anew", each.id, source=each.move.source.record.id)
            each.rests_until_s = self._clock() + MOVE_TIMEOUT_S

    def _finish(self, source: _LeavingSource, each: _RunMove) -> None:
        target = self._target_of(source, each)
        if target is None:
            return
        result = self._calls.order_stop(each.move, target)
        if result.is_over:
            self._on_outcome("moved" if result.is_moved else "final copy failed")
            return
        each.is_quiet = False
        if result.refusal is not None:
            self._on_outcome("final copy refused")
        match result.refusal:
            case MoveRefusal.NO_ROOM:
                self._drop_target(source, each, target)
            case MoveRefusal.NOT_SENT:
                self._check_source(source, each)
            case _:
                self._rest(each, REST_S)

    def _copy(
        self, source: _LeavingSource, each: _RunMove, run: LeavingRun, engine: LeavingEngine
    ) -> None:
        target = self._target_of(source, each)
        if target is None:
            return
        crosses = target.known.record.zone != source.known.record.zone
        tokens = max(0, run.held_tokens - each.copied_tokens)
        copy_s = engine.link.copy_s(tokens, crosses)
        started_at_s = self._clock()
        match self._calls.copy(each.move, target, is_final=False):
            case Ok(copy):
                took_s = self._clock() - started_at_s
                self._calls.record_copy(each.move, KvCopy(target.known, copy.handle, target.run))
                # The run is there, so that an order whose answer left that open was refused.
                each.move.active.withdraw_stop(each.move.number)
                each.copied_tokens = max(1, run.held_tokens)
                source.queue_s = max(0.0, took_s - copy_s)
                others = self._placement.peer_load_at(source.known.record.id)
                each.is_quiet = is_link_free(copy_s, took_s, others.runs)
                if not each.may_stop:
                    self._rest(each, NO_TARGET_REST_S)
            case Err(MoveFailure(MoveRefusal.UNKNOWN_RUN | MoveRefusal.IN_PROGRESS)):
                self._rest(each, REST_S)
            case Err(failure):
                self._calls.log_event(each.move, target, "copy refused", failure)
                self._on_outcome(f"copy refused: {failure.refusal.value}")
                self._drop_target(source, each, target)
                if failure.refusal is not MoveRefusal.NO_ROOM:
                    self._check_source(source, each)

    def _rest(self, each: _RunMove, rest_s: float) -> None:
        each.rests_until_s = self._clock() + rest_s

    def _drop_target(self, source: _LeavingSource, each: _RunMove, target: Target) -> None:
        source.used.discard(target.known.record.id)
        each.tried.add(target.known.record.id)
        self._release(each)
        each.copied_tokens = 0
        each.is_quiet = False

    def _check_source(self, source: _LeavingSource, each: _RunMove) -> None:
        """Find out whether the source has ended or the target has failed."""
        until_s = self._clock() + PROBE_TIMEOUT_S
        state = self._upstream_client.listening_state(source.known.record, until_s)
        is_silent = state is ListeningState.SILENT and source.known.is_gone
        if state is not ListeningState.REFUSED and not is_silent:
            self._rest(each, REST_S)
            return
        source.is_gone = True
        self._notices.record_end(source.known.record.service, self._clock() - source.since_s)

    def _target_of(self, source: _LeavingSource, each: _RunMove) -> Target | None:
        """Return the target of a run, another one if it leaves as well; None if none has room."""
        if each.target is not None and not each.target.known.is_leaving:
            return each.target
        if each.target is not None:
            self._drop_target(source, each, each.target)
        record = source.known.record
        need = need_of(each.move.active)
        excluded = self._calls.excluded(record, {record.id, *each.tried})
        found = self._placement.move_targets(record.service, need, excluded, record.zone)
        engine = self._placement.engine_terms(record.service)
        memory_tokens = engine.memory_tokens if engine is not None else 0
        chosen = choose_target(
            [target for _, target in found], memory_tokens, source.used, self._rng
        )
        if chosen is not None:
            known = next(known for known, target in found if target is chosen)
            each.target = self._calls.reserve(each.move.active, record, known)
        if each.target is not None:
            source.used.add(each.target.known.record.id)
        else:
            # Memory may be free again at those that had none.
            each.tried.clear()
            self._rest(each, NO_TARGET_REST_S)
        return each.target

    def _log_plan(
        self, source: _LeavingSource, engine: LeavingEngine, runs: Sequence[LeavingRun]
    ) -> None:
        """Log the planned order once for each set of runs."""
        ids = frozenset(each.id for each in runs)
        if ids <= source.planned:
            return
        source.planned |= ids
        order = planned_order(engine, runs)
        others = self._placement.peer_load_at(source.known.record.id)
        self._log.belief(
            "moves planned",
            upstream=source.known.record.id,
            order=[f"{each.id}: {each.action.value}" for each in order],
            copy_ms=[round(each.copy_s * MS_PER_S) for each in order],
            queue_ms=round(engine.queue_s * MS_PER_S),
            left_ms=round(engine.left_s * MS_PER_S),
            other_runs=others.runs,
        )
        for each in order:
            self._on_outcome(f"planned: {each.action.value}")


def _view_of(each: _RunMove, now_s: float) -> LeavingRun:
    active, source = each.move.active, each.move.source
    run, target = active.run, each.target
    return LeavingRun(
        id=each.id,
        held_tokens=run.held_tokens,
        tokens_left=run.growth_tokens,
        tokens_per_event=active.tokens_per_event,
        pace_s=active.pace_s,
        has_begun=run.generated_tokens > 0,
        waited_s=now_s - run.started_at_s,
        may_resend=each.may_resend and active.may_resend(),
        may_run_again=active.request.may_run_again,
        gap_target_s=active.request.route.gap_target_s,
        copied_tokens=each.copied_tokens,
        is_quiet=each.is_quiet,
        crosses_zones=target is not None and target.known.record.zone != source.record.zone,
        rests_s=each.rests_until_s - now_s,
        may_stop=each.may_stop,
    )
