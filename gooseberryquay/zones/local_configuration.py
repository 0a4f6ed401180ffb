"""The configuration in force at one entry, which never steps back."""

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
    "Adoption",
    "LocalConfiguration",
    "Offer",
]

NO_REVISION = Revision(0)
NO_VERSION = 0
NEVER_CONFIRMED_S = 1e9
KEPT_CHANGES = 256


class Adoption(Enum):
    """Tell what offered changes did to the held configuration."""

    NEWER = "newer"
    KNOWN = "known"
    GAP = "gap"


@dataclass(frozen=True)
class Offer:
    """Hold the held revision, its object's version, and the changes up to it.

    The version is 0 where it is not known; `changes` is None where some are not kept.
    """

    revision: Revision
    version: int
    changes: tuple[AcceptedChange, ...] | None


class LocalConfiguration:
    """Hold the newest revision known here and when it was last confirmed."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._configuration: Configuration | None = None
        self._changes: tuple[AcceptedChange, ...] = ()
        self._version = NO_VERSION
        self._confirmed_at_s = time.monotonic() - NEVER_CONFIRMED_S

    def current(self) -> Configuration | None:
        """Give the configuration in force, or None before there is one."""
        return self._configuration

    def revision(self) -> Revision:
        """Give the revision in force; 0 before there is one."""
        held = self._configuration
        return held.revision if held else NO_REVISION

    def adopt(self, configuration: Configuration, version: int = NO_VERSION) -> Adoption:
        """Take a whole configuration if it is newer, with its object's version if known."""
        with self._changed:
            if configuration.revision <= self.revision():
                return Adoption.KNOWN
            self._configuration = configuration
            self._changes = ()
            self._version = version
            self._changed.notify_all()
            return Adoption.NEWER

    def apply(self, changes: Sequence[AcceptedChange], version: int = NO_VERSION) -> Adoption:
        """Take the changes that follow the held revision, if there is no gap before them.

        The version is that of the object at the last of the changes, if known.
        """
        with self._changed:
            held = self._configuration
            if held is None:
                return Adoption.GAP
            last = changes[-1].revision if changes else NO_REVISION
            if last <= held.revision:
                return Adoption.KNOWN
            newer = changes_between(changes, held.revision, last)
            if newer is None:
                return Adoption.GAP
            for accepted in newer:
                held = held.after(accepted)
            self._configuration = held
            self._version = version
            self._changes = (*self._changes, *newer)[-KEPT_CHANGES:]
            self._changed.notify_all()
            return Adoption.NEWER

    def offer_after(self, revision: Revision) -> Offer:
        """Give what leads from a revision to the held one."""
        with self._changed:
            held = self.revision()
            return Offer(held, self._version, changes_between(self._changes, revision, held))

    def confirm(self, revision: Revision, age_s: float) -> None:
        """Record that the platform had a revision as its newest some seconds ago.

        A newer held revision includes all that was accepted by then, so it is confirmed too.
        """
        with self._changed:
            if NO_REVISION < revision <= self.revision():
                self._confirmed_at_s = max(self._confirmed_at_s, time.monotonic() - age_s)

    def confirmed_age_s(self) -> float:
        """Give how long ago the platform was known to have nothing newer than what is held."""
        return time.monotonic() - self._confirmed_at_s

    def wait_for_newer(self, revision: Revision, timeout_s: float) -> bool:
        """Wait until the held revision is above the given one, or until the timeout."""
        with self._changed:
            return self._changed.wait_for(lambda: self.revision() > revision, timeout_s)
