"""Rendezvous hashing: each key has the same order of members on every entry."""

from collections.abc import Iterable

import xxhash

from gooseberryquay.machines.peer import Peer

__all__ = ["first_owners", "member_weight", "owner_of"]


def owner_of(key: str, peers: Iterable[Peer]) -> Peer:
    """Return the peer that owns a key; raise ValueError if there are no peers."""
    return max(peers, key=lambda peer: member_weight(key, peer.id))


def first_owners(key: str, peers: Iterable[Peer], count: int) -> tuple[Peer, ...]:
    """Return the first `count` peers in the key's order, the owner first."""
    ordered = sorted(peers, key=lambda peer: member_weight(key, peer.id), reverse=True)
    return tuple(ordered[:count])


def member_weight(key: str, member: str) -> int:
    """Return the weight of a member for a key; the member with the highest weight owns it."""
    return xxhash.xxh3_64_intdigest(member.encode(), xxhash.xxh3_64_intdigest(key.encode()))
