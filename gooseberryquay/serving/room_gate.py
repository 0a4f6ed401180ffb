"""Keep requests from upstreams without room that fall over if too many are turned away."""

import threading
import time
from collections.abc import Callable, Collection
from dataclasses import dataclass

from gooseberryquay.ids import ServiceId, UpstreamId
from gooseberryquay.serving.call_pace import CallPace
from gooseberryquay.serving.entry_counter import GROWTH_MAX, EntryCounter
from gooseberryquay.serving.upstream_registry import (
    KnownUpstream,
    StatedLimit,
    UpstreamRegistry,
)

__all__ = ["RoomGate", "TakenRoom"]

# Leaves the rest for requests that are on their way when an upstream's room is taken.
TURN_AWAY_SHARE = 0.5
# Finds out that an upstream has room that lets no request be turned away.
TURN_AWAYS_MIN_PER_S = 0.2


@dataclass(frozen=True, slots=True)
class TakenRoom:
    """Count the requests that are known to be at an upstream.

    Each entry may have as many `unsettled` ones, which may still be turned away or are unknown to
    the others, as its share of the slots that no `settled` request of any entry holds.
    """

    requests: int
    unsettled: int
    settled: int


class RoomGate:
    """Divide among all entries how often a brittle upstream may turn requests away; thread-safe.

    An entry whose request was turned away leaves the upstream until its share allows another one.
    Requests that may still be turned away are bounded by a share of the slots, as entries learn
    late of each other's requests.
    """

    def __init__(
        self,
        registry: UpstreamRegistry,
        entry_counter: EntryCounter,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._registry = registry
        self._entry_counter = entry_counter
        self._clock = clock
        self._pace = CallPace(clock)
        self._left_until_s: dict[UpstreamId, float] = {}
        self._lock = threading.Lock()

    def is_brittle(self, known: KnownUpstream) -> bool:
        """Return whether an upstream falls over if it turns too many requests away."""
        return self._turn_aways_per_s(known) is not None

    def may_send(self, known: KnownUpstream, taken: TakenRoom) -> bool:
        """Return whether an upstream has room for another request of this entry.

        No room to wait is counted on, as a brittle upstream may let none wait.
        """
        if not self.is_brittle(known):
            return True
        slots = max(1, known.record.slots)
        share = max(1, int((slots - taken.settled) / self._entries()))
        has_room = taken.requests < slots and taken.unsettled < share
        return has_room and self.wait_s(known) <= 0.0

    def may_call(self, known: KnownUpstream, taken: TakenRoom) -> bool:
        """Return whether an upstream has room for a call, which ends before other entries know.

        Where one call of each entry at the same time would be too many, each has a share of the
        time instead.
        """
        most_per_s = self._turn_aways_per_s(known)
        if most_per_s is None:
            return True
        entries = self._entries()
        is_within_pace = entries <= known.record.slots + most_per_s or self._pace.may_send(
            known, entries, self._allowed_per_s(known)
        )
        return is_within_pace and self.may_send(known, taken)

    def record_duration(self, service: ServiceId, duration_s: float) -> None:
        """Add the duration of a call that an upstream has answered."""
        self._pace.record_duration(service, duration_s)

    def spend(self, known: KnownUpstream) -> None:
        """Count a request that is sent."""
        self._pace.spend(known)

    def wait_s(self, known: KnownUpstream) -> float:
        """Return the seconds until the next request may be turned away, 0 if it may be now."""
        with self._lock:
            until_s = self._left_until_s.get(known.record.id, 0.0)
        return max(0.0, until_s - self._clock()) if self.is_brittle(known) else 0.0

    def record_turned_away(self, known: KnownUpstream) -> None:
        """Leave a brittle upstream for this entry's share of the time between two such answers."""
        if not self.is_brittle(known):
            return
        until_s = self._clock() + self._entries() / self._allowed_per_s(known)
        with self._lock:
            self._left_until_s[known.record.id] = until_s

    def forget(self, keep: Collection[UpstreamId]) -> None:
        """Drop the upstreams that are not in `keep`."""
        with self._lock:
            for upstream in [each for each in self._left_until_s if each not in keep]:
                del self._left_until_s[upstream]
        self._pace.forget(keep)

    def _entries(self) -> float:
        """Return the number of entries, and more while some of them may be unknown."""
        count = self._entry_counter.count()
        return count if self._entry_counter.is_stable() else GROWTH_MAX * count + 1.0

    def _allowed_per_s(self, known: KnownUpstream) -> float:
        """Return how many requests per second of all entries may be turned away."""
        most_per_s = self._turn_aways_per_s(known) or 0.0
        return TURN_AWAY_SHARE * max(TURN_AWAYS_MIN_PER_S, most_per_s)

    def _turn_aways_per_s(self, known: KnownUpstream) -> float | None:
        stated = known.notice.recent_statement(StatedLimit.TURN_AWAYS, self._clock())
        if stated is not None:
            return stated.per_s
        return self._registry.service_limit_per_s(known.record.service, StatedLimit.TURN_AWAYS)
