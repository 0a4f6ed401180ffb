"""Keep the newest configuration in force; the version never decreases."""

import threading
from collections.abc import Callable

from gooseberryquay.serving.decision_log import DecisionLog
from gooseberryquay.serving.object_source import Listing, StoredObject
from gooseberryquay.serving.route import RoutingTable

__all__ = ["RoutingTableReader"]


class RoutingTableReader:
    """Read configurations from the store and keep the one with the highest version."""

    def __init__(
        self,
        name: str,
        decode: Callable[[StoredObject], RoutingTable | None],
        log: DecisionLog,
    ) -> None:
        self._name = name
        self._decode = decode
        self._log = log
        self._current: RoutingTable | None = None
        self._on_change: list[Callable[[RoutingTable], None]] = []
        self._lock = threading.Lock()

    def on_change(self, listener: Callable[[RoutingTable], None]) -> None:
        """Register a listener that is called with each configuration that comes into force."""
        self._on_change.append(listener)

    def current(self) -> RoutingTable | None:
        """Return the configuration in force, or None before the first one is read."""
        return self._current

    def read_listing(self, listing: Listing, is_after_outage: bool) -> None:
        """Apply the configuration among all objects."""
        for stored in listing.objects:
            self.read_change(stored, is_after_outage)

    def read_change(self, changed: StoredObject, is_after_outage: bool) -> None:
        """Apply a configuration unless it is not newer, deleted or malformed."""
        if changed.name != self._name or changed.is_deleted:
            return
        table = self._decode(changed)
        if table is None:
            self._log.belief("configuration malformed", revision=changed.revision)
            return
        with self._lock:
            if self._current is not None and table.version <= self._current.version:
                return
            self._current = table
        self._log.belief(
            "configuration in force",
            version=table.version,
            revision=changed.revision,
            routes=len(table.routes),
            keys=len(table.workspaces or ()),
            needs_key=table.needs_key,
        )
        for listener in self._on_change:
            listener(table)
