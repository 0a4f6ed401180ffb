"""Orders to move a service's traffic to another software version, and their states."""

from dataclasses import dataclass
from enum import Enum

from gooseberryquay.ids import ServiceId, SoftwareVersion

__all__ = ["RolloutOrder", "RolloutRecord", "RolloutState", "RolloutStatus"]


class RolloutState(Enum):
    """Enumerate the states of an order; the last two are final."""

    IN_PROGRESS = "in_progress"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def is_final(self) -> bool:
        """Return whether no other state follows."""
        return self is not RolloutState.IN_PROGRESS


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """Request that the traffic of a service be moved to engines of the target version."""

    service: ServiceId
    target: SoftwareVersion
    duration_s: float
    revision: int


@dataclass(frozen=True, slots=True)
class RolloutStatus:
    """State that was written for an order, and the target of that order."""

    state: RolloutState
    target: SoftwareVersion


@dataclass(frozen=True, slots=True)
class RolloutRecord:
    """Order as it is stored; the status may still be that of an earlier order."""

    order: RolloutOrder
    status: RolloutStatus | None = None

    @property
    def state(self) -> RolloutState | None:
        """Return the state written for this order, or None if there is none yet."""
        if self.status is None or self.status.target != self.order.target:
            return None
        return self.status.state
