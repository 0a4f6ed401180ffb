"""Description of an entry for its peers."""

import time

from gooseberryquay.contracts.node_settings import NodeSettings
from gooseberryquay.ids import Incarnation
from gooseberryquay.machines.peer import Peer

__all__ = ["build_own_peer"]

MS_PER_S = 1000.0


def build_own_peer(settings: NodeSettings) -> Peer:
    """Return the description of the entry that starts now."""
    return Peer(
        id=settings.id,
        incarnation=Incarnation(int(time.time() * MS_PER_S)),
        zone=settings.zone,
        control_address=settings.control_address,
    )
