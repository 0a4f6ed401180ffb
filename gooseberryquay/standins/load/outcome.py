"""Outcome of one call."""

import threading
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from gooseberryquay.standins.load.arrivals import Arrival
from gooseberryquay.standins.load.stream_check import StreamCounts

__all__ = ["CallEnd", "CallOutcome"]


class CallEnd(Enum):
    """How a call ended."""

    ANSWERED = "answered"
    REFUSED = "refused"
    BROKEN = "broken"


@dataclass
class CallOutcome:
    """Times and counts of one call; times count from the start of the run.

    `gaps_us` holds the times between reads that returned tokens; tokens after the first of a read
    are counted in `coalesced_tokens`. The lock must be held to access the tokens of an open call.
    """

    arrival: Arrival
    started_at_s: float = 0.0
    finished_at_s: float = 0.0
    first_token_at_s: float | None = None
    last_token_at_s: float = 0.0
    gaps_us: list[int] = field(default_factory=list)
    coalesced_tokens: int = 0
    tokens: int = 0
    tokens_by_second: Counter[int] = field(default_factory=Counter)
    late_gaps_by_second: Counter[int] = field(default_factory=Counter)
    end: CallEnd = CallEnd.BROKEN
    failure: str = ""
    resumes: int = 0
    retries: int = 0
    is_wrong_answer: bool = False
    is_incomplete_refusal: bool = False
    counts: StreamCounts = field(default_factory=StreamCounts)
    lock: threading.Lock = field(default_factory=threading.Lock)

    @property
    def duration_s(self) -> float:
        """Return the time from the planned arrival to the end, in seconds."""
        return self.finished_at_s - self.arrival.at_s
