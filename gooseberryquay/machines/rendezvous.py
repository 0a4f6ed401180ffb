"""Rendezvous hashing: the same key gives the same order of members wherever it is computed."""

from collections.abc import Iterable

import xxhash

from gooseberryquay.machines.peer import Peer

__all__ = ["first_owners", "member_weight", "owner_of"]


def owner_of(key: str, peers: Iterable[Peer]) -> Peer:
    """Give the peer that owns a key; raise ValueError where there is no peer."""
    return max(peers, key=lambda peer: member_weight(key, peer.id))


def first_owners(key: str, peers: Iterable[Peer], count: int) -> tuple[Peer, ...]:
    """Give the first `count` peers in a key's order, its owner first."""
    ordered = sorted(peers, key=lambda peer: member_weight(key, peer.id), reverse=True)
    return tuple(ordered[:count])


def member_weight(key: str, member: str) -> int:
    """Give the place of a member in a key's order, the greatest first."""
    return xxhash.xxh3_64_intdigest(member.encode(), xxhash.xxh3_64_intdigest(key.encode()))
