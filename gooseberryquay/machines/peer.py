"""Peers (other entries) and the interface to them."""

from typing import Protocol

from pydantic import BaseModel
from result import Result

from gooseberryquay.contracts.fields import AddressField, FrozenModel
from gooseberryquay.ids import EntryId, Incarnation, ZoneId
from gooseberryquay.links.http_client import Reply, TransportFailure

__all__ = ["Peer", "Peers"]


class Peer(FrozenModel):
    """Identify one incarnation of an entry and the address of its control API."""

    id: EntryId
    incarnation: Incarnation
    zone: ZoneId
    control_address: AddressField


class Peers(Protocol):
    """Provide the live entries and send messages to them."""

    def this_entry(self) -> Peer:
        """Return the peer record of this entry."""

    def live(self) -> tuple[Peer, ...]:
        """Return every entry believed alive and not leaving, this one included."""

    def send(
        self, to: Peer, path: str, message: BaseModel, timeout_s: float
    ) -> Result[Reply, TransportFailure]:
        """POST a message as JSON to a peer's control API."""
