"""Entry incarnations on the instance list of the platform."""

import time
from collections.abc import Iterable

from result import Ok

from gooseberryquay.links.platform_client import PlatformClient
from gooseberryquay.machines.cold_record import SlotHolder

__all__ = ["ABSENT_S", "ListedEntries"]

REFRESH_S = 3.0
ABSENT_S = 10.0


class ListedEntries:
    """Cache the platform's instance list; for use by a single thread."""

    def __init__(self, platform: PlatformClient, absent_s: float = ABSENT_S) -> None:
        self._platform = platform
        self._absent_s = absent_s
        self._refresh_s = min(REFRESH_S, absent_s)
        self._read_at_s = -REFRESH_S
        self._listed: frozenset[SlotHolder] | None = None
        self._absent_since_s: dict[SlotHolder, float] = {}

    def is_listed(self, holder: SlotHolder) -> bool:
        """Return whether the instance list contains this incarnation of an entry."""
        self._refresh()
        return self._listed is not None and holder in self._listed

    def dead(self, holders: Iterable[SlotHolder]) -> frozenset[SlotHolder]:
        """Return the holders that have been absent from the list for `absent_s`."""
        self._refresh()
        if self._listed is None:
            return frozenset()
        now_s = time.monotonic()
        dead = set()
        for holder in holders:
            if holder in self._listed:
                self._absent_since_s.pop(holder, None)
                continue
            since_s = self._absent_since_s.setdefault(holder, now_s)
            if now_s - since_s >= self._absent_s:
                dead.add(holder)
        return frozenset(dead)

    def _refresh(self) -> None:
        now_s = time.monotonic()
        if now_s - self._read_at_s < self._refresh_s:
            return
        self._read_at_s = now_s
        match self._platform.instances():
            case Ok(instances):
                self._listed = frozenset(
                    SlotHolder.model_validate({"entry": each.id, "incarnation": each.incarnation})
                    for each in instances
                )
            case _:
                self._listed = None
                self._absent_since_s.clear()
