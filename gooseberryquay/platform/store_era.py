"""Era of the platform's store, which rises each time it comes back from an older copy."""

import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from gooseberryquay.platform import names

__all__ = ["StoreEra", "StorePosition"]

# A store that makes 10,000 changes a second stays below this number of revisions for three years.
REVISION_BITS = 40


@dataclass(frozen=True, slots=True)
class StorePosition:
    """Revision of the store within one of its eras, as a later era gives revisions out again."""

    era: int
    revision: int

    def encode(self) -> int:
        """Return a number that is greater for a later era, then for a greater revision."""
        return self.era << REVISION_BITS | self.revision

    @staticmethod
    def decode(number: int) -> "StorePosition":
        """Return the position that a number encodes."""
        return StorePosition(number >> REVISION_BITS, number & ((1 << REVISION_BITS) - 1))


class StoreEra:
    """Track the newest era seen in the store's responses; thread-safe."""

    def __init__(self) -> None:
        self._era: int | None = None
        self._listeners: list[Callable[[], None]] = []
        self._lock = threading.Lock()

    def on_rise(self, listener: Callable[[], None]) -> None:
        """Register a listener that is called when the store has lost recent writes."""
        self._listeners.append(listener)

    @property
    def current(self) -> int:
        """Return the newest era, or 0 if the store has stated none."""
        with self._lock:
            return self._era or 0

    def observe(self, headers: Iterable[tuple[str, str]]) -> int:
        """Return the era of a response, and record it unless it is from an earlier one."""
        text = next((value for name, value in headers if name == names.STORE_ERA), "")
        if not (text.isascii() and text.isdigit()):
            return self.current
        era = int(text)
        with self._lock:
            previous = self._era
            if previous is not None and era <= previous:
                return era
            self._era = era
        if previous is not None:
            for listener in self._listeners:
                listener()
        return era
