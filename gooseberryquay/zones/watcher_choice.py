"""Which entries hold the platform watch."""

from collections.abc import Sequence

import xxhash

from gooseberryquay.ids import EntryId
from gooseberryquay.machines.peer import Peer

__all__ = ["choose_watchers"]

SALT = "configuration-watch"


def choose_watchers(live: Sequence[Peer], count: int) -> frozenset[EntryId]:
    """Choose a few live entries by rendezvous hashing."""
    ranked = sorted(live, key=lambda peer: xxhash.xxh64_intdigest(f"{SALT}:{peer.id}".encode()))
    return frozenset(peer.id for peer in ranked[:count])
