"""Waiting requests in the order in which they are placed."""

import heapq
from dataclasses import dataclass, field
from enum import Enum
from itertools import count

from gooseberryquay.ids import WorkspaceId
from gooseberryquay.machines.queue_waiter import Waiter

__all__ = ["QueueClass", "WorkQueue"]


class QueueClass(Enum):
    """Keep short answers apart from long ones."""

    QUICK = 0
    LONG = 1


@dataclass
class _Line:
    """Hold one workspace's waiters of one class, the earliest to give up first."""

    heap: list[tuple[float, int, Waiter]] = field(default_factory=list)

    def head(self) -> Waiter | None:
        while self.heap and self.heap[0][2].answer is not None:
            heapq.heappop(self.heap)
        return self.heap[0][2] if self.heap else None


@dataclass(frozen=True)
class _LineKey:
    workspace: WorkspaceId
    queue_class: QueueClass


class WorkQueue:
    """Order waiters by class, weighted share of their workspace and time left.

    Each workspace has a pass that grows with the tokens given to it divided by its weight; the
    lowest pass goes first. The caller serialises the calls.
    """

    def __init__(self) -> None:
        self._lines: dict[_LineKey, _Line] = {}
        self._passes: dict[WorkspaceId, float] = {}
        self._virtual_pass = 0.0
        self._sequence = count()
        self._lengths: dict[QueueClass, int] = dict.fromkeys(QueueClass, 0)

    def __len__(self) -> int:
        return sum(self._lengths.values())

    def length_before(self, queue_class: QueueClass) -> int:
        """Give how many waiters go before a new one of this class."""
        if queue_class is QueueClass.QUICK:
            return self._lengths[QueueClass.QUICK]
        return len(self)

    def add(self, waiter: Waiter) -> None:
        """Add a waiter."""
        key = _key_of(waiter)
        line = self._lines.setdefault(key, _Line())
        heapq.heappush(line.heap, (waiter.give_up_at_s, next(self._sequence), waiter))
        self._lengths[key.queue_class] += 1
        own_pass = self._passes.get(key.workspace, 0.0)
        self._passes[key.workspace] = max(own_pass, self._virtual_pass)

    def remove(self, waiter: Waiter) -> None:
        """Count a waiter out after it was resolved."""
        key = _key_of(waiter)
        self._lengths[key.queue_class] -= 1
        line = self._lines[key]
        if line.head() is None:
            del self._lines[key]

    def charge(self, waiter: Waiter, weight: int) -> None:
        """Count the tokens of a placed waiter against its workspace's share."""
        work = waiter.candidate.work
        own_pass = max(self._passes.get(work.workspace, 0.0), self._virtual_pass)
        self._virtual_pass = own_pass
        tokens = work.prompt_tokens + waiter.candidate.expected_tokens
        self._passes[work.workspace] = own_pass + tokens / weight

    def in_order(self) -> list[Waiter]:
        """Give all waiters, quick work first, then the least time left."""
        ranked: list[tuple[int, float, int, Waiter]] = []
        for key, line in self._lines.items():
            for give_up_at_s, sequence, waiter in line.heap:
                if waiter.answer is None:
                    ranked.append((key.queue_class.value, give_up_at_s, sequence, waiter))
        ranked.sort(key=lambda each: each[:3])
        return [each[3] for each in ranked]

    def heads(self, now_s: float) -> list[Waiter]:
        """Give the first waiter of each workspace and class, in placing order."""
        ranked: list[tuple[int, float, float, int, Waiter]] = []
        for index, (key, line) in enumerate(self._lines.items()):
            waiter = line.head()
            if waiter is None:
                continue
            rank = 0 if waiter.is_urgent(now_s) else key.queue_class.value
            own_pass = self._passes.get(key.workspace, 0.0)
            ranked.append((rank, own_pass, waiter.give_up_at_s, index, waiter))
        ranked.sort(key=lambda each: each[:4])
        return [each[4] for each in ranked]


def _key_of(waiter: Waiter) -> _LineKey:
    queue_class = QueueClass.QUICK if waiter.candidate.is_quick else QueueClass.LONG
    return _LineKey(waiter.candidate.work.workspace, queue_class)
