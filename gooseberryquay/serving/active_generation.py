"""Generations in flight and the copies of their memory."""

import threading
from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum

from gooseberryquay.ids import RequestId, UpstreamId
from gooseberryquay.serving.accepted import AcceptedRequest
from gooseberryquay.serving.ports import CopyHandle
from gooseberryquay.serving.upstream_load import Run
from gooseberryquay.serving.upstream_registry import KnownUpstream

__all__ = ["ActiveGeneration", "ActiveGenerations", "Copy", "MoveState"]


class MoveState(Enum):
    """Say how far the move of a generation has come."""

    STAYING = "staying"
    COPYING = "copying"
    STOPPING = "stopping"
    STOPPED = "stopped"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Copy:
    """Hold the newest copy of a generation's memory, where it lies and its run there.

    A source that has stopped the run keeps its memory for a while, too.
    """

    holder: KnownUpstream
    handle: CopyHandle
    run: Run
    stopped_source: KnownUpstream | None = None

    def at_source(self, run: Run) -> "Copy | None":
        """Give the memory that the stopped source keeps, where there is one."""
        if self.stopped_source is None:
            return None
        return Copy(self.stopped_source, self.handle, run)


@dataclass(eq=False)
class ActiveGeneration:
    """Hold one generation that is relayed, and the move that its relay waits for."""

    request: AcceptedRequest
    known: KnownUpstream
    run: Run
    tokens_per_event: int = 1
    state: MoveState = MoveState.STAYING
    copy: Copy | None = None
    is_ended: bool = False
    changed: threading.Condition = field(default_factory=threading.Condition)

    def set_state(self, state: MoveState) -> None:
        """Change the state of a move in progress and wake the relay."""
        with self.changed:
            if self.state is not MoveState.STAYING:
                self.state = state
            self.changed.notify_all()

    def set_copy(self, copy: Copy) -> Run | None:
        """Note a newer copy, unless its relay has gone on without it.

        Gives the run of a former copy at another engine, which is no longer needed.
        """
        with self.changed:
            if self.state is MoveState.STAYING:
                return None
            former, self.copy = self.copy, copy
            return former.run if former is not None and former.run is not copy.run else None

    def needs(self, run: Run) -> bool:
        """Tell whether the generation is at a run or may still go on there."""
        with self.changed:
            return run is self.run or (self.copy is not None and run is self.copy.run)

    def take_copy(self, timeout_s: float) -> Copy | None:
        """Wait for the end of a move that has stopped the run, and take the newest copy."""
        with self.changed:
            self.changed.wait_for(lambda: self.state is not MoveState.STOPPING, timeout_s)
            copy, self.copy = self.copy, None
            self.state = MoveState.STAYING
            return copy

    def end(self) -> Copy | None:
        """Mark the generation as ended and give a copy that is left over."""
        with self.changed:
            self.is_ended = True
            copy, self.copy = self.copy, None
            return copy


class ActiveGenerations:
    """Find the generations that run at an engine; safe for use by many threads."""

    def __init__(self) -> None:
        self._at: dict[UpstreamId, dict[RequestId, ActiveGeneration]] = defaultdict(dict)
        self._lock = threading.Lock()

    def add(self, active: ActiveGeneration) -> None:
        """Note where a generation runs."""
        with self._lock:
            self._at[active.known.record.id][active.request.call.id] = active

    def remove(self, active: ActiveGeneration) -> None:
        """Forget a generation."""
        with self._lock:
            upstream = active.known.record.id
            self._at[upstream].pop(active.request.call.id, None)
            if not self._at[upstream]:
                del self._at[upstream]

    def at(self, upstream: UpstreamId) -> list[ActiveGeneration]:
        """Give the generations that run at an engine."""
        with self._lock:
            return list(self._at.get(upstream, {}).values())
