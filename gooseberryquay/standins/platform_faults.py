"""Faults that the platform stand-in can be told to show."""

import errno
import random
import threading
from enum import Enum
from typing import Annotated

from pydantic import Field

from gooseberryquay.contracts.fields import FrozenModel
from gooseberryquay.links.http_server import Response

__all__ = ["FaultInjector", "LostAnswers", "Outage", "PlatformFaults", "drop_connection"]

MAX_HANG_S = 60.0


class Outage(Enum):
    """Tell how the platform treats every call while it is down."""

    NONE = "none"
    REFUSE = "refuse"
    DROP = "drop"
    HANG = "hang"


class LostAnswers(FrozenModel):
    """Close the connection instead of answering matching writes.

    Without `is_applied` the change is lost too. Without `count` every match is lost.
    """

    count: Annotated[int, Field(ge=1)] | None = None
    key_prefix: str = ""
    probability: Annotated[float, Field(gt=0, le=1)] = 1.0
    seed: int = 0
    is_applied: bool = True


class PlatformFaults(FrozenModel):
    """Hold every fault in force; the default shows none."""

    outage: Outage = Outage.NONE
    delay_s: Annotated[float, Field(ge=0)] = 0.0
    lost_answers: LostAnswers | None = None
    stale_prefix: str | None = None


def drop_connection() -> None:
    """Make the server close the connection without an answer."""
    raise ConnectionResetError(errno.ECONNRESET, "connection dropped on purpose")


class FaultInjector:
    """Apply the faults in force to calls; safe for use by many threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._lifted = threading.Event()
        self.set(PlatformFaults())

    def set(self, faults: PlatformFaults) -> None:
        """Replace all faults; calls that hang are dropped."""
        with self._lock:
            self._lifted.set()
            self._lifted = threading.Event()
            self._faults = faults
            lost = faults.lost_answers
            self._random = random.Random(lost.seed if lost else 0)
            self._remaining = lost.count if lost else None

    @property
    def faults(self) -> PlatformFaults:
        """Give the faults in force."""
        return self._faults

    def meet_call(self) -> Response | None:
        """Delay, drop or refuse a call; None lets it through."""
        with self._lock:
            faults, lifted = self._faults, self._lifted
        if faults.delay_s:
            lifted.wait(faults.delay_s)
        match faults.outage:
            case Outage.REFUSE:
                return Response(status=503, body=b"{}", headers={"Retry-After": "1"})
            case Outage.DROP:
                drop_connection()
            case Outage.HANG:
                lifted.wait(MAX_HANG_S)
                drop_connection()
            case Outage.NONE:
                return None
        return None

    def take_lost_answer(self, key: str) -> LostAnswers | None:
        """Give the rule by which this write is lost, or None; uses up one of its count."""
        with self._lock:
            lost = self._faults.lost_answers
            if lost is None or not key.startswith(lost.key_prefix) or self._remaining == 0:
                return None
            if self._random.random() >= lost.probability:
                return None
            if self._remaining is not None:
                self._remaining -= 1
            return lost

    def is_stale(self, key: str) -> bool:
        """Tell whether reads of a key are answered with its previous version."""
        prefix = self._faults.stale_prefix
        return prefix is not None and key.startswith(prefix)
