"""Faults that can be injected into the platform stand-in."""

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
    """Treatment of every call during an outage of the platform."""

    NONE = "none"
    REFUSE = "refuse"
    DROP = "drop"
    HANG = "hang"


class LostAnswers(FrozenModel):
    """Close the connection instead of responding to matching writes.

    Without `is_applied`, the change is also lost. Without `count`, all matching writes are
    affected.
    """

    count: Annotated[int, Field(ge=1)] | None = None
    key_prefix: str = ""
    probability: Annotated[float, Field(gt=0, le=1)] = 1.0
    seed: int = 0
    is_applied: bool = True


class PlatformFaults(FrozenModel):
    """All faults in force; none by default."""

    outage: Outage = Outage.NONE
    delay_s: Annotated[float, Field(ge=0)] = 0.0
    lost_answers: LostAnswers | None = None
    stale_prefix: str | None = None


def drop_connection() -> None:
    """Make the server close the connection without a response."""
    raise ConnectionResetError(errno.ECONNRESET, "connection dropped on purpose")


class FaultInjector:
    """Apply the faults in force to calls; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._replaced = threading.Event()
        self.set(PlatformFaults())

    def set(self, faults: PlatformFaults) -> None:
        """Replace all faults; drop the connections of calls that hang."""
        with self._lock:
            self._replaced.set()
            self._replaced = threading.Event()
            self._faults = faults
            lost = faults.lost_answers
            self._rng = random.Random(lost.seed if lost else 0)
            self._remaining = lost.count if lost else None

    @property
    def faults(self) -> PlatformFaults:
        """Return the faults in force."""
        return self._faults

    def apply_to_call(self) -> Response | None:
        """Delay, drop or refuse a call; return None to let it through."""
        with self._lock:
            faults, replaced = self._faults, self._replaced
        if faults.delay_s:
            replaced.wait(faults.delay_s)
        match faults.outage:
            case Outage.REFUSE:
                return Response(status=503, body=b"{}", headers={"Retry-After": "1"})
            case Outage.DROP:
                drop_connection()
            case Outage.HANG:
                replaced.wait(MAX_HANG_S)
                drop_connection()
            case Outage.NONE:
                return None
        return None

    def consume_lost_answer(self, key: str) -> LostAnswers | None:
        """Return the fault that applies to this write, or None; decrement its remaining count."""
        with self._lock:
            lost = self._faults.lost_answers
            if lost is None or not key.startswith(lost.key_prefix) or self._remaining == 0:
                return None
            if self._rng.random() >= lost.probability:
                return None
            if self._remaining is not None:
                self._remaining -= 1
            return lost

    def is_stale(self, key: str) -> bool:
        """Return whether reads of a key return its previous version."""
        prefix = self._faults.stale_prefix
        return prefix is not None and key.startswith(prefix)
