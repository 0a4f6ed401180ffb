"""Generations in flight and the copies of their KV caches."""

import threading
from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum

from gooseberryquay.ids import RequestId, UpstreamId
from gooseberryquay.serving.accepted import AcceptedRequest
from gooseberryquay.serving.ports import CopyHandle
from gooseberryquay.serving.upstream_load import Run
from gooseberryquay.serving.upstream_registry import KnownUpstream

__all__ = ["ActiveGeneration", "ActiveGenerations", "KvCopy", "MoveState"]


class MoveState(Enum):
    """Enumerate the states of a generation's migration."""

    STAYING = "staying"
    COPYING = "copying"
    STOPPING = "stopping"
    STOPPED = "stopped"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class KvCopy:
    """Reference the newest copy of a generation's KV cache, its holder and the run there.

    A source that has stopped the run also keeps its KV cache for a while.
    """

    holder: KnownUpstream
    handle: CopyHandle
    run: Run
    stopped_source: KnownUpstream | None = None

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
    is_ended: bool = False
    changed: threading.Condition = field(default_factory=threading.Condition)

    def set_state(self, state: MoveState) -> None:
        """Change the state of a migration in progress and wake the relay."""
        with self.changed:
            if self.state is not MoveState.STAYING:
                self.state = state
            self.changed.notify_all()

    def set_copy(self, copy: KvCopy) -> Run | None:
        """Store a newer copy, unless the relay has continued without it.

        Returns the run of the previous copy at another engine, which is no longer needed.
        """
        with self.changed:
            if self.state is MoveState.STAYING:
                return None
            previous, self.copy = self.copy, copy
            return previous.run if previous is not None and previous.run is not copy.run else None

    def needs(self, run: Run) -> bool:
        """Return whether the generation uses a run or may still resume there."""
        with self.changed:
            return run is self.run or (self.copy is not None and run is self.copy.run)

    def take_copy(self, timeout_s: float) -> KvCopy | None:
        """Wait for the end of a migration that stops the run, then detach the newest copy."""
        with self.changed:
            self.changed.wait_for(lambda: self.state is not MoveState.STOPPING, timeout_s)
            copy, self.copy = self.copy, None
            self.state = MoveState.STAYING
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
