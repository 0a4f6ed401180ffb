"""Rendezvous hashing: the same key gives the same order of members wherever it is computed."""

from collections.abc import Iterable

import xxhash

from gooseberryquay.contracts.upstream import UpstreamDeclaration
from gooseberryquay.ids import EntryId
from gooseberryquay.machines.peer import Peer

__all__ = ["first_owners", "owner_of", "subset_of"]


def owner_of(key: str, peers: Iterable[Peer]) -> Peer:
    """Give the peer that owns a key; raise ValueError where there is no peer."""
    seed = _seed(key)
    return max(peers, key=lambda peer: _weight(seed, peer.id))


def first_owners(key: str, peers: Iterable[Peer], count: int) -> tuple[Peer, ...]:
    """Give the first `count` peers in a key's order, its owner first."""
    seed = _seed(key)
    ordered = sorted(peers, key=lambda peer: _weight(seed, peer.id), reverse=True)
    return tuple(ordered[:count])


def subset_of(
    entry: EntryId, upstreams: Iterable[UpstreamDeclaration], size: int
) -> tuple[UpstreamDeclaration, ...]:
    """Give the upstreams that one entry talks to, at most `size` of them."""
    seed = _seed(entry)
    ordered = sorted(upstreams, key=lambda each: _weight(seed, each.id), reverse=True)
    return tuple(ordered[:size])


def _seed(key: str) -> int:
    return xxhash.xxh3_64_intdigest(key.encode())


def _weight(seed: int, member: str) -> int:
    return xxhash.xxh3_64_intdigest(member.encode(), seed)
