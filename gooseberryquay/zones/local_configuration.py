"""The configuration in force at one entry, whose revision never decreases."""

import threading
import time
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from gooseberryquay.ids import Revision
from gooseberryquay.zones.configuration import Configuration
from gooseberryquay.zones.configuration_change import AcceptedChange
from gooseberryquay.zones.configuration_document import changes_between

__all__ = [
    "NEVER_CONFIRMED_S",
    "NO_REVISION",
    "NO_VERSION",
    "Delta",
    "LocalConfiguration",
    "UpdateResult",
]

NO_REVISION = Revision(0)
NO_VERSION = 0
NEVER_CONFIRMED_S = 1e9
MAX_STORED_CHANGES = 256


class UpdateResult(Enum):
    """Report the effect of received changes on the local configuration."""

    NEWER = "newer"
    KNOWN = "known"
    GAP = "gap"


@dataclass(frozen=True)
class Delta:
    """Represent the local revision, the version of its object, and the changes that lead to it.

    The version is 0 if unknown; `changes` is None if some of them are no longer stored.
    """

    revision: Revision
    version: int
    changes: tuple[AcceptedChange, ...] | None


class LocalConfiguration:
    """Newest revision known to this entry, and the time of its last confirmation."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._configuration: Configuration | None = None
        self._changes: tuple[AcceptedChange, ...] = ()
        self._version = NO_VERSION
        self._confirmed_at_s = time.monotonic() - NEVER_CONFIRMED_S

    def current(self) -> Configuration | None:
        """Return the configuration in force, or None if there is none yet."""
        return self._configuration

    def revision(self) -> Revision:
        """Return the revision in force, or 0 if there is none yet."""
        current = self._configuration
        return current.revision if current else NO_REVISION

    def replace_if_newer(
        self, configuration: Configuration, version: int = NO_VERSION
    ) -> UpdateResult:
        """Replace the configuration by a newer one; `version` is that of its object, if known."""
        with self._changed:
            if configuration.revision <= self.revision():
                return UpdateResult.KNOWN
            self._configuration = configuration
            self._changes = ()
            self._version = version
            self._changed.notify_all()
            return UpdateResult.NEWER

    def apply(self, changes: Sequence[AcceptedChange], version: int = NO_VERSION) -> UpdateResult:
        """Apply the changes that follow the local revision, unless some in between are missing.

        `version` is that of the object at the last of the changes, if known.
        """
        with self._changed:
            current = self._configuration
            if current is None:
                return UpdateResult.GAP
            last = changes[-1].revision if changes else NO_REVISION
            if last <= current.revision:
                return UpdateResult.KNOWN
            newer = changes_between(changes, current.revision, last)
            if newer is None:
                return UpdateResult.GAP
            for accepted in newer:
                current = current.with_change(accepted)
            self._configuration = current
            self._version = version
            self._changes = (*self._changes, *newer)[-MAX_STORED_CHANGES:]
            self._changed.notify_all()
            return UpdateResult.NEWER

    def delta_after(self, revision: Revision) -> Delta:
        """Return the changes from a revision to the local one."""
        with self._changed:
            current = self.revision()
            return Delta(current, self._version, changes_between(self._changes, revision, current))

    def confirm(self, revision: Revision, age_s: float) -> None:
        """Record that a revision was the newest one on the platform `age_s` seconds ago.

        This also confirms a newer local revision, as that includes all changes accepted by then.
        """
        with self._changed:
            if NO_REVISION < revision <= self.revision():
                self._confirmed_at_s = max(self._confirmed_at_s, time.monotonic() - age_s)

    def confirmed_age_s(self) -> float:
        """Return the seconds since the platform was known to have no newer revision."""
        return time.monotonic() - self._confirmed_at_s

    def wait_for_newer(self, revision: Revision, timeout_s: float) -> bool:
        """Wait for a revision above the given one; return False on timeout."""
        with self._changed:
            return self._changed.wait_for(lambda: self.revision() > revision, timeout_s)
