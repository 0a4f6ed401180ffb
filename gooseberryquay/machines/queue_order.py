"""Weighted fair queue of the requests that wait for an upstream."""

import heapq
from dataclasses import dataclass, field
from enum import Enum
from itertools import count

from gooseberryquay.ids import WorkspaceId
from gooseberryquay.machines.queue_waiter import Waiter

__all__ = ["QueueClass", "WorkQueue"]


class QueueClass(Enum):
    """Class of a request by its expected output length."""

    QUICK = 0
    LONG = 1


@dataclass
class _WaiterHeap:
    """Waiters of one workspace and class, the earliest timeout first."""

    heap: list[tuple[float, int, Waiter]] = field(default_factory=list)

    def head(self) -> Waiter | None:
        while self.heap and self.heap[0][2].answer is not None:
            heapq.heappop(self.heap)
        return self.heap[0][2] if self.heap else None


@dataclass(frozen=True)
class _HeapKey:
    workspace: WorkspaceId
    queue_class: QueueClass


class WorkQueue:
    """Order waiters by class, then by stride scheduling of workspaces, then by time left.

    The pass of a workspace grows by its placed tokens divided by its weight; the workspace with
    the lowest pass is served first. Callers must serialize the calls.
    """

    def __init__(self) -> None:
        self._heaps: dict[_HeapKey, _WaiterHeap] = {}
        self._passes: dict[WorkspaceId, float] = {}
        self._virtual_pass = 0.0
        self._sequence = count()
        self._lengths: dict[QueueClass, int] = dict.fromkeys(QueueClass, 0)

    def __len__(self) -> int:
        return sum(self._lengths.values())

    def length_before(self, queue_class: QueueClass) -> int:
        """Return how many waiters precede a new one of this class."""
        if queue_class is QueueClass.QUICK:
            return self._lengths[QueueClass.QUICK]
        return len(self)

    def add(self, waiter: Waiter) -> None:
        """Add a waiter; a workspace that was idle gains no credit."""
        key = _key_of(waiter)
        waiter_heap = self._heaps.setdefault(key, _WaiterHeap())
        heapq.heappush(waiter_heap.heap, (waiter.give_up_at_s, next(self._sequence), waiter))
        self._lengths[key.queue_class] += 1
        own_pass = self._passes.get(key.workspace, 0.0)
        self._passes[key.workspace] = max(own_pass, self._virtual_pass)

    def remove(self, waiter: Waiter) -> None:
        """Remove a resolved waiter."""
        key = _key_of(waiter)
        self._lengths[key.queue_class] -= 1
        waiter_heap = self._heaps[key]
        if waiter_heap.head() is None:
            del self._heaps[key]

    def charge(self, waiter: Waiter, weight: int) -> None:
        """Charge the tokens of a placed waiter to its workspace."""
        work = waiter.estimate.work
        own_pass = max(self._passes.get(work.workspace, 0.0), self._virtual_pass)
        self._virtual_pass = own_pass
        tokens = work.prompt_tokens + waiter.estimate.expected_tokens
        self._passes[work.workspace] = own_pass + tokens / weight

    def in_order(self) -> list[Waiter]:
        """Return all waiters, quick class first, then by time left."""
        ranked: list[tuple[int, float, int, Waiter]] = []
        for key, waiter_heap in self._heaps.items():
            for give_up_at_s, sequence, waiter in waiter_heap.heap:
                if waiter.answer is None:
                    ranked.append((key.queue_class.value, give_up_at_s, sequence, waiter))
        ranked.sort(key=lambda each: each[:3])
        return [each[3] for each in ranked]

    def heads(self, now_s: float) -> list[Waiter]:
        """Return the first waiter of each workspace and class, in order of placement."""
        ranked: list[tuple[int, float, float, int, Waiter]] = []
        for index, (key, waiter_heap) in enumerate(self._heaps.items()):
            waiter = waiter_heap.head()
            if waiter is None:
                continue
            rank = 0 if waiter.is_urgent(now_s) else key.queue_class.value
            own_pass = self._passes.get(key.workspace, 0.0)
            ranked.append((rank, own_pass, waiter.give_up_at_s, index, waiter))
        ranked.sort(key=lambda each: each[:4])
        return [each[4] for each in ranked]


def _key_of(waiter: Waiter) -> _HeapKey:
    queue_class = QueueClass.QUICK if waiter.estimate.is_quick else QueueClass.LONG
    return _HeapKey(waiter.estimate.work.workspace, queue_class)
