"""Election of the entries that watch the platform."""

from collections.abc import Sequence

from gooseberryquay.ids import EntryId
from gooseberryquay.machines.peer import Peer
from gooseberryquay.machines.rendezvous import first_owners

__all__ = ["choose_watchers"]

WATCH_KEY = "configuration-watch"


def choose_watchers(live: Sequence[Peer], count: int) -> frozenset[EntryId]:
    """Return the watchers by rendezvous hashing, so that equal views give equal results."""
    return frozenset(peer.id for peer in first_owners(WATCH_KEY, live, count))
