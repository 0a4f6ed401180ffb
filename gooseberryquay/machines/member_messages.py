"""Messages of the membership protocol."""

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
    "RelayRequest",
    "RelayResponse",
]


class MemberState(Enum):
    """State of one incarnation of an entry, as believed by its peers."""

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
        """Encode as JSON with short keys and without default values."""
        return self.model_dump_json(by_alias=True, exclude_defaults=True).encode()


class MemberRecord(_Message):
    """Believed state of an entry; of two records, the one with the higher order wins.

    Only the entry itself increments `refutation`.
    """

    id: EntryId
    incarnation: Incarnation
    refutation: int = 0
    state: MemberState = MemberState.ALIVE
    zone: ZoneId
    control_address: AddressField

    def peer(self) -> Peer:
        """Return the incarnation that the record describes."""
        return Peer(
            id=self.id,
            incarnation=self.incarnation,
            zone=self.zone,
            control_address=self.control_address,
        )

    def order(self) -> tuple[int, int, int]:
        """Return the key by which two records of one entry are compared."""
        return self.incarnation, self.refutation, STATE_RANK[self.state]

    def in_state(self, state: MemberState) -> "MemberRecord":
        """Return a copy with another state."""
        return self.model_copy(update={"state": state})

    def is_present(self) -> bool:
        """Return whether the entry is believed to be running."""
        return self.state in PRESENT_STATES

    def is_live(self) -> bool:
        """Return whether the entry is believed to be running and not leaving."""
        return self.state in LIVE_STATES


class HeartbeatExtras(_Message):
    """Data of other components, piggybacked on each heartbeat.

    `confirmed_age_s` is None if it is unknown or the message may have been delayed.
    """

    revision: Revision = Revision(0)
    confirmed_age_s: float | None = None
    platform_unreachable: bool = False


class Heartbeat(_Message):
    """Records of the sender, of the receiver if not believed alive, and of recent changes.

    Equal sets of present members have equal digests.
    """

    sender: MemberRecord
    receiver: MemberRecord | None = None
    changes: tuple[MemberRecord, ...] = ()
    digest: str = ""
    extras: HeartbeatExtras = HeartbeatExtras()


class RelayRequest(_Message):
    """Ask a member to send a heartbeat to another member."""

    target: MemberRecord


class RelayResponse(_Message):
    """Response to `RelayRequest`: whether the other member responded."""

    is_reached: bool = False


class MemberList(_Message):
    """Records of all members that the sender believes present."""

    members: tuple[MemberRecord, ...] = ()
