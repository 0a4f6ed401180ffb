"""The platform stand-in's list of instances, which lags behind reality."""

import threading
import time
from collections import deque
from dataclasses import dataclass

from gooseberryquay.links.platform_messages import InstanceEntry

__all__ = ["InstanceRegister"]


@dataclass(frozen=True)
class _Change:
    due_at_s: float
    id: str
    entry: InstanceEntry | None


class InstanceRegister:
    """Show each change of an instance only after a lag; safe for use by many threads."""

    def __init__(self, lag_s: float) -> None:
        self._lag_s = lag_s
        self._lock = threading.Lock()
        self._shown: dict[str, InstanceEntry] = {}
        self._pending: deque[_Change] = deque()

    def put(self, entry: InstanceEntry) -> None:
        """Add or replace an instance."""
        self._add_change(entry.id, entry)

    def remove(self, instance_id: str) -> None:
        """Remove an instance."""
        self._add_change(instance_id, None)

    def list(self) -> tuple[InstanceEntry, ...]:
        """Give the instances as they were before the lag."""
        with self._lock:
            self._show_due_changes()
            return tuple(self._shown.values())

    def _add_change(self, instance_id: str, entry: InstanceEntry | None) -> None:
        with self._lock:
            self._pending.append(_Change(time.monotonic() + self._lag_s, instance_id, entry))

    def _show_due_changes(self) -> None:
        now_s = time.monotonic()
        while self._pending and self._pending[0].due_at_s <= now_s:
            change = self._pending.popleft()
            if change.entry is None:
                self._shown.pop(change.id, None)
            else:
                self._shown[change.id] = change.entry
