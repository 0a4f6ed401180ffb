"""Select the hubs: entries that watch the store for other entries and aggregate loads.

The entries of a zone are partitioned into cells. All entries of a cell talk to the same hub, so
that a placement by one of them is known to the others immediately. The hubs of other cells are on
standby.
"""

import threading
import time
from collections.abc import Callable

from gooseberryquay.ids import EntryId, UpstreamId, ZoneId
from gooseberryquay.machines.membership import Membership
from gooseberryquay.machines.peer import Peer
from gooseberryquay.machines.rendezvous import first_owners, owner_of

__all__ = ["HubSelector"]

# Up to this number, entries form a full mesh and each of them watches the store.
FULL_MESH_SIZE_MAX = 10
# At this size a hub answers about 200 exchanges per second.
CELL_SIZE_MAX = 40
HUBS_PER_CELL = 1
# Half of the probe period of the membership protocol.
REFRESH_S = 0.5
# More engines than are listed at once. Beyond it the cache is cleared, which drops engines that
# are gone.
OWNERS_MAX = 10_000
# About the time until a dead hub is removed from the membership.
AVOID_S = 5.0


class HubSelector:
    """Select hubs by rendezvous hashing over the live entries, one or more in each zone."""

    def __init__(
        self,
        membership: Membership,
        zone: ZoneId,
        clock: Callable[[], float] = time.monotonic,
        on_refresh: Callable[[tuple[Peer, ...]], None] = lambda _live: None,
    ) -> None:
        self._on_refresh = on_refresh
        self._membership = membership
        self._zone = zone
        self._clock = clock
        self._avoided_until_s: dict[EntryId, float] = {}
        self._on_avoid: list[Callable[[EntryId], None]] = []
        self._owners: dict[UpstreamId, EntryId] = {}
        self._refreshed_at_s = float("-inf")
        self._live: tuple[Peer, ...] = ()
        self._hubs: tuple[Peer, ...] = ()
        self._cell: tuple[Peer, ...] = ()
        self._cell_size = 1
        self._lock = threading.Lock()

    def cell_size(self) -> int:
        """Return the number of entries that share this entry's hub, the hub included."""
        self._refresh()
        return self._cell_size

    def is_hub(self) -> bool:
        """Return whether this entry watches the store itself and serves others."""
        this_entry = self._membership.this_entry().id
        return any(each.id == this_entry for each in self.hubs())

    def hubs(self) -> tuple[Peer, ...]:
        """Return the hubs of all cells."""
        self._refresh()
        return self._hubs

    def other_hubs(self) -> list[Peer]:
        """Return all hubs except this entry."""
        this_entry = self._membership.this_entry().id
        return [each for each in self.hubs() if each.id != this_entry]

    def my_hub(self) -> Peer | None:
        """Return the hub to follow, or None if this entry watches the store itself."""
        return None if self.is_hub() else next(iter(self.usable_hubs()), None)

    def usable_hubs(self) -> list[Peer]:
        """Return the other hubs that are not avoided, those of this entry's cell first."""
        now_s = self._clock()
        usable = [
            each for each in self.other_hubs() if self._avoided_until_s.get(each.id, 0.0) <= now_s
        ]
        return sorted(usable, key=lambda each: each not in self._cell)

    def owns_engine(self, upstream: UpstreamId) -> bool:
        """Return whether this entry's cell owns an engine and so prefers it for placement.

        Engines are assigned to hubs by rendezvous hashing.
        """
        hubs = self.hubs()
        if not hubs:
            return True
        own = (
            {self._membership.this_entry().id}
            if self.is_hub()
            else {each.id for each in self._cell}
        )
        owner = self._owners.get(upstream)
        if owner is None:
            owner = self._owners[upstream] = owner_of(upstream, hubs).id
        return owner in own

    def avoid(self, hub: EntryId) -> None:
        """Exclude a hub for AVOID_S and notify the listeners."""
        self._avoided_until_s[hub] = self._clock() + AVOID_S
        for listener in self._on_avoid:
            listener(hub)

    def on_avoid(self, listener: Callable[[EntryId], None]) -> None:
        """Register a listener that is called with each avoided hub."""
        self._on_avoid.append(listener)

    def _find_cell(self, cells: list[tuple[Peer, ...]]) -> tuple[Peer, ...]:
        """Return this entry's cell, hubs first, or a cell of its zone if it is in none yet."""
        this_entry = self._membership.this_entry().id
        own = [cell for cell in cells if any(each.id == this_entry for each in cell)]
        candidates = own or [cell for cell in cells if cell[0].zone == self._zone]
        return candidates[0] if candidates else ()

    def _refresh(self) -> None:
        now_s = self._clock()
        with self._lock:
            if now_s - self._refreshed_at_s < REFRESH_S:
                return
            self._refreshed_at_s = now_s
            previous = self._hubs
            self._live = self._membership.live()
            self._on_refresh(self._live)
            cells = _cells_of(self._live)
            self._hubs = tuple(each for cell in cells for each in cell[:HUBS_PER_CELL])
            own = self._find_cell(cells)
            self._cell, self._cell_size = own[:HUBS_PER_CELL], max(1, len(own))
            if len(self._live) <= FULL_MESH_SIZE_MAX:
                self._hubs = self._live
            if self._hubs != previous or len(self._owners) > OWNERS_MAX:
                self._owners = {}


def _cells_of(live: tuple[Peer, ...]) -> list[tuple[Peer, ...]]:
    """Partition the entries of each zone into cells, each with its hubs first."""
    ranked = first_owners("hub", live, len(live))
    cells: list[tuple[Peer, ...]] = []
    for zone in sorted({each.zone for each in live}):
        members = [each for each in ranked if each.zone == zone]
        count = -(-len(members) // CELL_SIZE_MAX)
        cells += [tuple(members[number::count]) for number in range(count)]
    return cells
