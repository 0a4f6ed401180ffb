"""Instance list of the platform stand-in, which lags behind the actual instances."""

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
    """List of instances that shows each change only after a lag; thread-safe."""

    def __init__(self, lag_s: float) -> None:
        self._lag_s = lag_s
        self._lock = threading.Lock()
        self._visible: dict[str, InstanceEntry] = {}
        self._pending: deque[_Change] = deque()

    def put(self, entry: InstanceEntry) -> None:
        """Add or replace an instance."""
        self._add_change(entry.id, entry)

    def remove(self, instance_id: str) -> None:
        """Remove an instance."""
        self._add_change(instance_id, None)

    def list(self) -> tuple[InstanceEntry, ...]:
        """Return the instances as of `lag_s` ago."""
        with self._lock:
            self._apply_due_changes()
            return tuple(self._visible.values())

    def _add_change(self, instance_id: str, entry: InstanceEntry | None) -> None:
        with self._lock:
            self._pending.append(_Change(time.monotonic() + self._lag_s, instance_id, entry))

    def _apply_due_changes(self) -> None:
        now_s = time.monotonic()
        while self._pending and self._pending[0].due_at_s <= now_s:
            change = self._pending.popleft()
            if change.entry is None:
                self._visible.pop(change.id, None)
            else:
                self._visible[change.id] = change.entry
