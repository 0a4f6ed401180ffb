"""Messages by which entries learn of each other."""

from enum import Enum

from pydantic import BaseModel, ConfigDict

from gooseberryquay.contracts.fields import AddressField
from gooseberryquay.ids import EntryId, Incarnation, Revision, ZoneId
from gooseberryquay.machines.peer import Peer

__all__ = [
    "Heartbeat",
    "HeartbeatExtras",
    "MemberList",
    "MemberRecord",
    "MemberState",
    "RelayAnswer",
    "RelayRequest",
]


class MemberState(Enum):
    """Tell what is believed of one run of an entry."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    REMOVED = "removed"
    LEFT = "left"


STATE_RANK = {state: rank for rank, state in enumerate(MemberState)}
PRESENT_STATES = frozenset({MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING})
LIVE_STATES = frozenset({MemberState.ALIVE, MemberState.SUSPECT})


SHORT_KEYS = {
    "incarnation": "run",
    "refutation": "n",
    "state": "is",
    "control_address": "at",
    "revision": "rev",
    "confirmed_age_s": "age",
    "platform_unreachable": "out",
    "sender": "from",
    "receiver": "you",
    "changes": "new",
    "digest": "sum",
    "extras": "with",
    "is_reached": "reached",
}


def _short_key(name: str) -> str:
    return SHORT_KEYS.get(name, name)


class _Message(BaseModel):
    model_config = ConfigDict(frozen=True, populate_by_name=True, alias_generator=_short_key)

    def encode(self) -> bytes:
        """Encode compactly, leaving out what has its default value."""
        return self.model_dump_json(by_alias=True, exclude_defaults=True).encode()


class MemberRecord(_Message):
    """State what is believed of an entry; of two records the one with the higher order holds.

    Only the entry itself raises `refutation`.
    """

    id: EntryId
    incarnation: Incarnation
    refutation: int = 0
    state: MemberState = MemberState.ALIVE
    zone: ZoneId
    control_address: AddressField

    def peer(self) -> Peer:
        """Give the run that the record is about."""
        return Peer(
            id=self.id,
            incarnation=self.incarnation,
            zone=self.zone,
            control_address=self.control_address,
        )

    def order(self) -> tuple[int, int, int]:
        """Give what two records of one entry are compared by."""
        return self.incarnation, self.refutation, STATE_RANK[self.state]

    def in_state(self, state: MemberState) -> "MemberRecord":
        """Give the same record with another state."""
        return self.model_copy(update={"state": state})

    def is_present(self) -> bool:
        """Tell whether the entry is believed to run."""
        return self.state in PRESENT_STATES

    def is_live(self) -> bool:
        """Tell whether the entry is believed to run and to stay."""
        return self.state in LIVE_STATES


class HeartbeatExtras(_Message):
    """Carry what other parts tell with each heartbeat.

    `confirmed_age_s` is None where it is not known, or where the message may have been held up.
    """

    revision: Revision = Revision(0)
    confirmed_age_s: float | None = None
    platform_unreachable: bool = False


class Heartbeat(_Message):
    """Tell of the sender, of the receiver where it is not held alive, and of recent changes.

    `digest` is equal for equal sets of present members.
    """

    sender: MemberRecord
    receiver: MemberRecord | None = None
    changes: tuple[MemberRecord, ...] = ()
    digest: str = ""
    extras: HeartbeatExtras = HeartbeatExtras()


class RelayRequest(_Message):
    """Ask a member to send a heartbeat to another."""

    target: MemberRecord


class RelayAnswer(_Message):
    """Say whether the other member answered."""

    is_reached: bool = False


class MemberList(_Message):
    """Hold every member that the sender believes present."""

    members: tuple[MemberRecord, ...] = ()
