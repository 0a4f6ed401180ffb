"""Era of the platform's store, which rises each time it comes back from an older copy."""

import threading
from collections.abc import Callable, Iterable

from gooseberryquay.platform import names

__all__ = ["StoreEra"]


class StoreEra:
    """Track the newest era seen in the store's responses; thread-safe."""

    def __init__(self) -> None:
        self._era: int | None = None
        self._listeners: list[Callable[[], None]] = []
        self._lock = threading.Lock()

    def on_rise(self, listener: Callable[[], None]) -> None:
        """Register a listener that is called when the store has lost recent writes."""
        self._listeners.append(listener)

    def observe(self, headers: Iterable[tuple[str, str]]) -> None:
        """Record the era that a response states, unless it is from an earlier era."""
        text = next((value for name, value in headers if name == names.STORE_ERA), "")
        if not (text.isascii() and text.isdigit()):
            return
        era = int(text)
        with self._lock:
            previous = self._era
            if previous is not None and era <= previous:
                return
            self._era = era
        if previous is not None:
            for listener in self._listeners:
                listener()
