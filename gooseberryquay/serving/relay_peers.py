"""Choice of the peer that carries requests of an entry that is cut off from all upstreams."""

import random
import threading
import time
from collections import Counter
from collections.abc import Callable, Collection, Iterator
from contextlib import contextmanager

from gooseberryquay.ids import EntryId, RequestId, UpstreamId, ZoneId
from gooseberryquay.machines.membership import Membership
from gooseberryquay.machines.peer import Peer
from gooseberryquay.serving.decision_log import DecisionLog

__all__ = ["RelayPeers"]

# A peer that is cut off, too, may be reached by upstreams again after this time.
AVOID_S = 1.0
# Requests that a peer of this zone carries more than one of another zone before that is chosen.
OTHER_ZONE_REQUESTS = 4


class RelayPeers:
    """Choose the live peer that carries the fewest requests of this entry; thread-safe."""

    def __init__(
        self,
        membership: Membership,
        zone: ZoneId,
        log: DecisionLog,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._membership = membership
        self._zone = zone
        self._log = log
        self._rng = rng
        self._clock = clock
        self._avoided_until_s: dict[EntryId, float] = {}
        self._carried: Counter[EntryId] = Counter()
        self._lock = threading.Lock()

    def choose(self, excluded: Collection[EntryId]) -> Peer | None:
        """Return a peer to send through, or None if there is none."""
        this_entry = self._membership.this_entry().id
        now_s = self._clock()
        candidates = [
            each
            for each in self._membership.live()
            if each.id != this_entry
            and each.id not in excluded
            and self._avoided_until_s.get(each.id, 0.0) <= now_s
        ]
        if not candidates:
            return None
        return min(candidates, key=self._cost)

    def avoid(self, peer: EntryId) -> None:
        """Exclude a peer that could not carry a request, for a while."""
        self._avoided_until_s[peer] = self._clock() + AVOID_S

    @contextmanager
    def carrying(self, peer: EntryId, request: RequestId, upstream: UpstreamId) -> Iterator[None]:
        """Count a request that a peer carries within the context."""
        with self._lock:
            self._carried[peer] += 1
        self._log.request("sent through a peer", request, peer=peer, upstream=upstream)
        try:
            yield
        finally:
            with self._lock:
                self._carried[peer] -= 1

    def _cost(self, peer: Peer) -> float:
        other_zone = OTHER_ZONE_REQUESTS if peer.zone != self._zone else 0
        return self._carried[peer.id] + other_zone + self._rng.random()
