"""Which entries hold the platform watch."""

from collections.abc import Sequence

from gooseberryquay.ids import EntryId
from gooseberryquay.machines.peer import Peer
from gooseberryquay.machines.rendezvous import first_owners

__all__ = ["choose_watchers"]

WATCH_KEY = "configuration-watch"


def choose_watchers(live: Sequence[Peer], count: int) -> frozenset[EntryId]:
    """Choose a few live entries, on which all agree."""
    return frozenset(peer.id for peer in first_owners(WATCH_KEY, live, count))
