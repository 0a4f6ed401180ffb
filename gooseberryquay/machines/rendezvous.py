"""Rendezvous hashing: the same key gives the same order of members wherever it is computed."""

from collections.abc import Iterable

import xxhash

from gooseberryquay.contracts.upstream import UpstreamDeclaration
from gooseberryquay.ids import EntryId
from gooseberryquay.machines.peer import Peer

__all__ = ["first_owners", "owner_of", "subset_of"]


def owner_of(key: str, peers: Iterable[Peer]) -> Peer:
    """Give the peer that owns a key; raise ValueError where there is no peer."""
    return max(peers, key=lambda peer: _weight(key, peer.id))


def first_owners(key: str, peers: Iterable[Peer], count: int) -> tuple[Peer, ...]:
    """Give the first `count` peers in a key's order, its owner first."""
    ordered = sorted(peers, key=lambda peer: _weight(key, peer.id), reverse=True)
    return tuple(ordered[:count])


def subset_of(
    entry: EntryId, upstreams: Iterable[UpstreamDeclaration], size: int
) -> tuple[UpstreamDeclaration, ...]:
    """Give the upstreams that one entry talks to, at most `size` of them."""
    ordered = sorted(upstreams, key=lambda each: _weight(entry, each.id), reverse=True)
    return tuple(ordered[:size])


def _weight(key: str, member: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\n{member}".encode())
