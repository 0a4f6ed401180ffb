"""Messages about requests that may have crashed upstreams."""

from enum import Enum

from pydantic import BaseModel, ConfigDict

from gooseberryquay.ids import UpstreamId
from gooseberryquay.machines.peer import Peer

__all__ = ["Death", "SlotAnswer", "SlotRequest", "SuspectRecord", "SuspectUpdate", "Verdict"]


class Verdict(Enum):
    """Say how a request may be run, by the upstreams that died while they ran an equal one."""

    NORMAL = "normal"
    ALONE = "alone"
    REFUSED = "refused"


class _Message(BaseModel):
    model_config = ConfigDict(frozen=True)


class Death(_Message):
    """Record that an upstream died; `is_cleared` once the request has finished elsewhere.

    A death that is not certain is of an upstream that only fell silent, or is none.
    """

    upstream: UpstreamId
    at_s: float
    is_cleared: bool = False
    is_certain: bool = True

    def is_same(self, other: "Death", span_s: float) -> bool:
        """Tell whether two reports are of one death."""
        return self.upstream == other.upstream and abs(self.at_s - other.at_s) <= span_s


class SuspectRecord(_Message):
    """Hold the deaths that a request was in flight at, in order of time."""

    fingerprint: str
    deaths: tuple[Death, ...]

    def crash_count(self) -> int:
        """Give the number of certain deaths that no finished run has cleared."""
        return sum(death.is_certain and not death.is_cleared for death in self.deaths)

    def is_cleared(self) -> bool:
        """Tell whether no death counts against the request."""
        return all(death.is_cleared for death in self.deaths)

    def uncertain_deaths_since(self, since_s: float) -> tuple[Death, ...]:
        """Give the deaths after a time that are neither certain nor cleared."""
        return tuple(
            death
            for death in self.deaths
            if death.at_s >= since_s and not death.is_certain and not death.is_cleared
        )

    def last_death_s(self) -> float:
        """Give the time of the last death."""
        return max(death.at_s for death in self.deaths)

    def cleared(self) -> "SuspectRecord":
        """Give the record with every death cleared."""
        deaths = tuple(death.model_copy(update={"is_cleared": True}) for death in self.deaths)
        return self.model_copy(update={"deaths": deaths})

    def merged(self, other: "SuspectRecord", span_s: float) -> "SuspectRecord":
        """Join two records of one request; deaths of one upstream within a span are one."""
        kept: list[Death] = []
        for death in sorted((*self.deaths, *other.deaths), key=lambda death: death.at_s):
            same = next((each for each in kept if each.is_same(death, span_s)), None)
            if same is None:
                kept.append(death)
            else:
                flags = {
                    "is_cleared": same.is_cleared or death.is_cleared,
                    "is_certain": same.is_certain or death.is_certain,
                }
                kept[kept.index(same)] = same.model_copy(update=flags)
        return self.model_copy(update={"deaths": tuple(kept)})


class SuspectUpdate(_Message):
    """Carry records between entries and in the platform's objects."""

    records: tuple[SuspectRecord, ...] = ()


class SlotRequest(_Message):
    """Ask for, or give back, the one place for a suspected request at an upstream."""

    upstream: UpstreamId
    fingerprint: str
    holder: Peer
    is_release: bool = False


class SlotAnswer(_Message):
    """Say whether the place was given."""

    is_granted: bool
