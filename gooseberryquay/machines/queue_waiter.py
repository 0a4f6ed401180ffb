"""One request that waits for an upstream."""

import threading
from dataclasses import dataclass

from result import Result

from gooseberryquay.errors import Failure
from gooseberryquay.machines.choice import RequestEstimate
from gooseberryquay.machines.work import Placement

__all__ = ["Waiter"]


@dataclass(eq=False)
class Waiter:
    """Waiting request with its timeout and, once resolved, its answer.

    Callers must serialize the calls; `answered` is set while a thread waits for the answer.
    """

    estimate: RequestEstimate
    enqueued_at_s: float
    give_up_at_s: float
    answer: Result[Placement, Failure] | None = None
    answered: threading.Event | None = None

    def resolve(self, answer: Result[Placement, Failure]) -> None:
        """Set the answer and wake the waiting thread."""
        self.answer = answer
        if self.answered is not None:
            self.answered.set()

    def is_urgent(self, now_s: float) -> bool:
        """Return whether more than half of the maximum waiting time has passed."""
        return now_s - self.enqueued_at_s > 0.5 * (self.give_up_at_s - self.enqueued_at_s)
