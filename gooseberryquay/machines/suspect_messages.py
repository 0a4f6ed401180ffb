"""Messages about requests suspected of crashing upstreams."""

from enum import Enum

from pydantic import BaseModel, ConfigDict

from gooseberryquay.ids import UpstreamId
from gooseberryquay.machines.peer import Peer

__all__ = ["Death", "SlotRequest", "SlotResponse", "SuspectRecord", "SuspectUpdate", "Verdict"]

# More deaths than any cooldown distinguishes.
DEATHS_MAX = 16


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
    """Deaths of upstreams that had a request in flight, ordered by time.

    Deaths up to `cleared_until_s` are cleared and no longer kept, so that the record of a prompt's
    part that many requests share stays small.
    """

    fingerprint: str
    deaths: tuple[Death, ...] = ()
    cleared_until_s: float = 0.0

    def crash_count(self) -> int:
        """Return the number of certain deaths that are not cleared."""
        return sum(death.is_certain and not death.is_cleared for death in self.deaths)

    def suspected_upstreams(self, uncertain_since_s: float) -> frozenset[UpstreamId]:
        """Return the upstreams whose deaths count, uncertain ones since a time only."""
        return frozenset(
            death.upstream
            for death in self.deaths
            if not death.is_cleared and (death.is_certain or death.at_s >= uncertain_since_s)
        )

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
        return max((death.at_s for death in self.deaths), default=self.cleared_until_s)

    def cleared(self) -> "SuspectRecord":
        """Return a copy with every death cleared."""
        deaths = tuple(death.model_copy(update={"is_cleared": True}) for death in self.deaths)
        return self.model_copy(update={"deaths": deaths})

    def cleared_up_to(self, cleared_until_s: float) -> "SuspectRecord":
        """Return a copy without the deaths up to a time."""
        if cleared_until_s <= self.cleared_until_s:
            return self
        deaths = tuple(each for each in self.deaths if each.at_s > cleared_until_s)
        return self.model_copy(update={"deaths": deaths, "cleared_until_s": cleared_until_s})

    def merged(self, other: "SuspectRecord", span_s: float) -> "SuspectRecord":
        """Merge two records of one request; deaths of one upstream within `span_s` are merged."""
        kept: list[Death] = []
        cleared_until_s = max(self.cleared_until_s, other.cleared_until_s)
        deaths = [each for each in (*self.deaths, *other.deaths) if each.at_s > cleared_until_s]
        for death in sorted(deaths, key=lambda death: death.at_s):
            duplicate = next((each for each in kept if each.is_duplicate_of(death, span_s)), None)
            if duplicate is None:
                kept.append(death)
            else:
                flags = {
                    "is_cleared": duplicate.is_cleared or death.is_cleared,
                    "is_certain": duplicate.is_certain or death.is_certain,
                }
                kept[kept.index(duplicate)] = duplicate.model_copy(update=flags)
        newest = tuple(kept[-DEATHS_MAX:])
        return self.model_copy(update={"deaths": newest, "cleared_until_s": cleared_until_s})


class SuspectUpdate(_Message):
    """Records as sent between entries and as stored in platform objects.

    If `is_lost_in_store`, the recipient writes them again even if it knows them.
    """

    records: tuple[SuspectRecord, ...] = ()
    is_lost_in_store: bool = False


class SlotRequest(_Message):
    """Request or release the single slot for suspected requests at an upstream."""

    upstream: UpstreamId
    fingerprint: str
    holder: Peer
    is_release: bool = False


class SlotResponse(_Message):
    """Response to `SlotRequest`: whether the slot was granted."""

    is_granted: bool
