"""Messages about requests suspected of crashing upstreams."""

from enum import Enum

from pydantic import BaseModel, ConfigDict

from gooseberryquay.ids import UpstreamId
from gooseberryquay.machines.peer import Peer

__all__ = ["Death", "SlotRequest", "SlotResponse", "SuspectRecord", "SuspectUpdate", "Verdict"]


class Verdict(Enum):
    """How a request may be run, given the upstreams that died while running an equal one."""

    NORMAL = "normal"
    ALONE = "alone"
    REFUSED = "refused"


class _Message(BaseModel):
    model_config = ConfigDict(frozen=True)


class Death(_Message):
    """Death of an upstream; `is_cleared` once the request has finished at another upstream.

    A death is uncertain if the upstream only became unresponsive and may not have died.
    """

    upstream: UpstreamId
    at_s: float
    is_cleared: bool = False
    is_certain: bool = True

    def is_duplicate_of(self, other: "Death", span_s: float) -> bool:
        """Return whether two reports refer to the same death."""
        return self.upstream == other.upstream and abs(self.at_s - other.at_s) <= span_s


class SuspectRecord(_Message):
    """Deaths of upstreams that had a request in flight, ordered by time."""

    fingerprint: str
    deaths: tuple[Death, ...]

    def crash_count(self) -> int:
        """Return the number of certain deaths that are not cleared."""
        return sum(death.is_certain and not death.is_cleared for death in self.deaths)

    def is_cleared(self) -> bool:
        """Return whether every death is cleared."""
        return all(death.is_cleared for death in self.deaths)

    def uncertain_deaths_since(self, since_s: float) -> tuple[Death, ...]:
        """Return the deaths since a time that are neither certain nor cleared."""
        return tuple(
            death
            for death in self.deaths
            if death.at_s >= since_s and not death.is_certain and not death.is_cleared
        )

    def last_death_s(self) -> float:
        """Return the time of the last death, in seconds of the wall clock."""
        return max(death.at_s for death in self.deaths)

    def cleared(self) -> "SuspectRecord":
        """Return a copy with every death cleared."""
        deaths = tuple(death.model_copy(update={"is_cleared": True}) for death in self.deaths)
        return self.model_copy(update={"deaths": deaths})

    def merged(self, other: "SuspectRecord", span_s: float) -> "SuspectRecord":
        """Merge two records of one request; deaths of one upstream within `span_s` are merged."""
        kept: list[Death] = []
        for death in sorted((*self.deaths, *other.deaths), key=lambda death: death.at_s):
            duplicate = next((each for each in kept if each.is_duplicate_of(death, span_s)), None)
            if duplicate is None:
                kept.append(death)
            else:
                flags = {
                    "is_cleared": duplicate.is_cleared or death.is_cleared,
                    "is_certain": duplicate.is_certain or death.is_certain,
                }
                kept[kept.index(duplicate)] = duplicate.model_copy(update=flags)
        return self.model_copy(update={"deaths": tuple(kept)})


class SuspectUpdate(_Message):
    """Records as sent between entries and as stored in platform objects."""

    records: tuple[SuspectRecord, ...] = ()


class SlotRequest(_Message):
    """Request or release the single slot for suspected requests at an upstream."""

    upstream: UpstreamId
    fingerprint: str
    holder: Peer
    is_release: bool = False


class SlotResponse(_Message):
    """Response to `SlotRequest`: whether the slot was granted."""

    is_granted: bool
