"""Record of the slots of one cold upstream, as stored in the platform."""

from collections.abc import Iterable

from pydantic import BaseModel

from gooseberryquay.ids import EntryId, Incarnation, UpstreamId

__all__ = ["AdmissionRecord", "SlotHolder", "admission_key"]


class SlotHolder(BaseModel, frozen=True):
    """Identify the incarnation of an entry that holds a slot."""

    entry: EntryId
    incarnation: Incarnation


class AdmissionRecord(BaseModel, frozen=True):
    """Record the slots taken at one upstream.

    `unslotted` is an upper bound on the requests in flight that were sent without a slot; it is
    valid only while `is_settled`.
    """

    holders: tuple[SlotHolder, ...] = ()
    is_settled: bool = False
    unslotted: int = 0

    def count_of(self, holder: SlotHolder) -> int:
        """Return the number of slots held by one holder."""
        return self.holders.count(holder)

    def with_report(self, in_flight: int, own_in_flight: int) -> "AdmissionRecord":
        """Tighten the bound on unslotted requests by a report of all requests in flight.

        `own_in_flight` counts requests that were certainly in flight through own slots.
        """
        not_own = max(0, in_flight - own_in_flight)
        upper = min(self.unslotted, not_own) if self.is_settled else not_own
        lower = max(0, in_flight - len(self.holders))
        return self.model_copy(update={"is_settled": True, "unslotted": max(upper, lower)})

    def has_room(self, cold_in_flight_max: int) -> bool:
        """Return whether one more slot fits within the limit of the upstream."""
        return self.is_settled and self.unslotted + len(self.holders) < cold_in_flight_max

    def with_slot(self, holder: SlotHolder) -> "AdmissionRecord":
        """Add a slot."""
        return self.model_copy(update={"holders": (*self.holders, holder)})

    def without_slots(self, holder: SlotHolder, count: int) -> "AdmissionRecord":
        """Remove slots; once none is left, unslotted requests must be counted again."""
        left = list(self.holders)
        for _ in range(min(count, left.count(holder))):
            left.remove(holder)
        is_settled = self.is_settled and len(left) > 0
        return self.model_copy(update={"holders": tuple(left), "is_settled": is_settled})

    def unsettled(self) -> "AdmissionRecord":
        """Invalidate the count of unslotted requests, as after the upstream was seen warm."""
        return self.model_copy(update={"is_settled": False})

    def without_dead(self, dead: Iterable[SlotHolder]) -> "AdmissionRecord":
        """Remove the slots of ended holders; their requests count as unslotted."""
        ended = frozenset(dead)
        left = tuple(each for each in self.holders if each not in ended)
        unslotted = self.unslotted + len(self.holders) - len(left)
        return self.model_copy(update={"holders": left, "unslotted": unslotted})


def admission_key(upstream: UpstreamId) -> str:
    """Return the platform key of an upstream's record."""
    return f"admission/{upstream}"
