"""One request that waits for a place."""

import threading
from dataclasses import dataclass

from result import Result

from gooseberryquay.errors import Failure
from gooseberryquay.machines.choice import Candidate
from gooseberryquay.machines.work import Placement

__all__ = ["Waiter"]


@dataclass(eq=False)
class Waiter:
    """Hold a waiting request, when it is given up, and its answer once there is one.

    The caller serialises the calls; `answered` is there once a thread waits for the answer.
    """

    candidate: Candidate
    entered_at_s: float
    give_up_at_s: float
    answer: Result[Placement, Failure] | None = None
    answered: threading.Event | None = None

    def resolve(self, answer: Result[Placement, Failure]) -> None:
        """Give the answer and wake the waiting thread."""
        self.answer = answer
        if self.answered is not None:
            self.answered.set()

    def is_urgent(self, now_s: float) -> bool:
        """Tell whether half of the patience is used up."""
        return now_s - self.entered_at_s > 0.5 * (self.give_up_at_s - self.entered_at_s)
