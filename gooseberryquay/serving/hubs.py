"""Which entries follow the store for others and sum up loads."""

import threading
import time
from collections.abc import Callable

import xxhash

from gooseberryquay.ids import EntryId, ZoneId
from gooseberryquay.machines.membership import Membership
from gooseberryquay.machines.peer import Peer

__all__ = ["HubChoice"]

# Up to so many entries talk to each other directly, and all of them follow the store.
MESH_MAX = 10
HUBS_PER_ZONE = 2
REFRESH_S = 0.5
AVOID_S = 5.0


class HubChoice:
    """Choose hubs by rendezvous hashing over the live entries, a few in each zone."""

    def __init__(
        self,
        membership: Membership,
        zone: ZoneId,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._membership = membership
        self._zone = zone
        self._clock = clock
        self._avoided_until_s: dict[EntryId, float] = {}
        self._refreshed_at_s = float("-inf")
        self._live: tuple[Peer, ...] = ()
        self._hubs: tuple[Peer, ...] = ()
        self._lock = threading.Lock()

    def entry_count(self) -> int:
        """Give the number of live entries, this one included."""
        self._refresh()
        return max(1, len(self._live))

    def is_hub(self) -> bool:
        """Tell whether this entry follows the store itself and serves others."""
        myself = self._membership.myself().id
        return any(each.id == myself for each in self.hubs())

    def hubs(self) -> tuple[Peer, ...]:
        """Give all hubs."""
        self._refresh()
        return self._hubs

    def other_hubs(self) -> list[Peer]:
        """Give all hubs but this entry."""
        myself = self._membership.myself().id
        return [each for each in self.hubs() if each.id != myself]

    def my_hub(self) -> Peer | None:
        """Give the hub to follow, or None where this entry follows the store itself."""
        if self.is_hub():
            return None
        now_s = self._clock()
        usable = [each for each in self.hubs() if self._avoided_until_s.get(each.id, 0.0) <= now_s]
        near = [each for each in usable if each.zone == self._zone] or usable
        if not near:
            return None
        myself = self._membership.myself().id
        return max(near, key=lambda each: _weight(f"{myself}:{each.id}"))

    def avoid(self, hub: EntryId) -> None:
        """Follow other hubs for a while."""
        self._avoided_until_s[hub] = self._clock() + AVOID_S

    def _refresh(self) -> None:
        now_s = self._clock()
        with self._lock:
            if now_s - self._refreshed_at_s < REFRESH_S:
                return
            self._refreshed_at_s = now_s
            self._live = self._membership.live()
            self._hubs = _hubs_of(self._live)


def _hubs_of(live: tuple[Peer, ...]) -> tuple[Peer, ...]:
    if len(live) <= MESH_MAX:
        return live
    ranked = sorted(live, key=lambda each: _weight(f"hub:{each.id}"))
    chosen: list[Peer] = []
    for zone in {each.zone for each in live}:
        chosen += [each for each in ranked if each.zone == zone][:HUBS_PER_ZONE]
    return tuple(chosen)


def _weight(key: str) -> int:
    return xxhash.xxh3_64_intdigest(key.encode())
