"""Counts of kept and broken promises over time, bounded in time and in keys."""

from pydantic import BaseModel, Field

from gooseberryquay.reports.promise import Promise, PromiseCounts

__all__ = ["LevelLedger", "join_ledgers", "level_key"]

MINUTE_S = 60
HOUR_S = 3600
MINUTES_KEPT = 60
HOURS_KEPT = 25
MAX_KEYS = 128
OTHER_KEY = "other/other/other"

KeyCounts = dict[Promise, PromiseCounts]
SlotCounts = dict[str, KeyCounts]


def level_key(workspace: str, service: str, kind: str) -> str:
    """Name what counts are kept for."""
    return f"{workspace}/{service}/{kind}"


class LevelLedger(BaseModel):
    """Hold counts by minute for an hour and by hour for a day; slots are of the wall clock."""

    minutes: dict[int, SlotCounts] = Field(default_factory=dict)
    hours: dict[int, SlotCounts] = Field(default_factory=dict)

    def add(self, now_s: float, key: str, counts: KeyCounts) -> None:
        """Add counts at a wall clock time; beyond the bound on keys they go to a joint one."""
        _add_to_slot(self.minutes, int(now_s) // MINUTE_S, key, counts)
        _add_to_slot(self.hours, int(now_s) // HOUR_S, key, counts)

    def drop_old(self, now_s: float) -> None:
        """Drop slots that are past their time."""
        _drop_before(self.minutes, int(now_s) // MINUTE_S - MINUTES_KEPT)
        _drop_before(self.hours, int(now_s) // HOUR_S - HOURS_KEPT)

    def join(self, other: "LevelLedger") -> None:
        """Add all counts of another ledger."""
        _join_slots(self.minutes, other.minutes)
        _join_slots(self.hours, other.hours)

    def key_names(self) -> set[str]:
        """Give every key that has counts."""
        return {key for slot in (*self.minutes.values(), *self.hours.values()) for key in slot}

    def counts_since(self, start_s: float, key: str, promise: Promise) -> PromiseCounts:
        """Sum the counts from a wall clock time on, by minutes where they reach so far back."""
        slots, slot_s = self._slots_reaching(start_s)
        total = PromiseCounts()
        for number, slot in slots.items():
            if number * slot_s + slot_s > start_s and key in slot:
                total = total.plus(slot[key].get(promise, PromiseCounts()))
        return total

    def _slots_reaching(self, start_s: float) -> tuple[dict[int, SlotCounts], int]:
        newest = max(self.minutes, default=0)
        is_by_minute = start_s // MINUTE_S >= newest - MINUTES_KEPT
        return (self.minutes, MINUTE_S) if is_by_minute else (self.hours, HOUR_S)


def join_ledgers(ledgers: list[LevelLedger]) -> LevelLedger:
    """Sum ledgers of several entries."""
    joined = LevelLedger()
    for ledger in ledgers:
        joined.join(ledger)
    return joined


def _add_to_slot(slots: dict[int, SlotCounts], number: int, key: str, counts: KeyCounts) -> None:
    slot = slots.setdefault(number, {})
    if key not in slot and len(slot) >= MAX_KEYS:
        key = OTHER_KEY
    kept = slot.setdefault(key, {})
    for promise, added in counts.items():
        kept[promise] = kept.get(promise, PromiseCounts()).plus(added)


def _join_slots(slots: dict[int, SlotCounts], others: dict[int, SlotCounts]) -> None:
    for number, other in others.items():
        slot = slots.setdefault(number, {})
        for key, counts in other.items():
            kept = slot.setdefault(key, {})
            for promise, added in counts.items():
                kept[promise] = kept.get(promise, PromiseCounts()).plus(added)


def _drop_before(slots: dict[int, SlotCounts], oldest: int) -> None:
    for number in [each for each in slots if each < oldest]:
        del slots[number]
