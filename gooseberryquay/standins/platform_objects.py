"""In-memory versioned objects of the platform stand-in."""

import threading
import time
from collections.abc import Callable

from result import Err, Ok, Result

from gooseberryquay.links.platform_client import WriteConflict
from gooseberryquay.links.platform_messages import StoredObject

__all__ = ["ObjectStore"]


class ObjectStore:
    """Object store with conditional writes and watches; thread-safe."""

    def __init__(self) -> None:
        self._objects: dict[str, StoredObject] = {}
        self._previous: dict[str, StoredObject] = {}
        self._last_versions: dict[str, int] = {}
        self._changed = threading.Condition()

    def list(self, prefix: str) -> tuple[StoredObject, ...]:
        """Return the objects whose keys start with a prefix, sorted by key."""
        with self._changed:
            keys = sorted(key for key in self._objects if key.startswith(prefix))
            return tuple(self._objects[key] for key in keys)

    def read(self, key: str) -> StoredObject | None:
        """Return an object, or None if it does not exist."""
        with self._changed:
            return self._objects.get(key)

    def read_previous(self, key: str) -> StoredObject | None:
        """Return the version before the newest one, as a lagging replica does."""
        with self._changed:
            return self._previous.get(key) or self._objects.get(key)

    def write(
        self, key: str, value: str, expected_version: int | None
    ) -> Result[StoredObject, WriteConflict]:
        """Write an object if it is at the expected version; 0 means that it must not exist."""
        with self._changed:
            current = self._objects.get(key)
            version = current.version if current else 0
            if expected_version not in (None, version):
                return Err(WriteConflict(current))
            stored = StoredObject(key=key, version=self._next_version(key), value=value)
            self._objects[key] = stored
            if current is not None:
                self._previous[key] = current
            self._changed.notify_all()
            return Ok(stored)

    def _next_version(self, key: str) -> int:
        version = self._last_versions.get(key, 0) + 1
        self._last_versions[key] = version
        return version

    def delete(self, key: str, expected_version: int) -> Result[StoredObject, WriteConflict]:
        """Delete an object if it is at the expected version."""
        with self._changed:
            current = self._objects.get(key)
            if current is None or current.version != expected_version:
                return Err(WriteConflict(current))
            del self._objects[key]
            self._previous.pop(key, None)
            self._changed.notify_all()
            return Ok(current)

    def watch(
        self, key: str, after_version: int, timeout_s: float, is_ended: Callable[[], bool]
    ) -> StoredObject | None:
        """Wait for a version above `after_version`; return None at the timeout or once ended."""
        deadline_s = time.monotonic() + timeout_s
        with self._changed:
            while not is_ended():
                stored = self._objects.get(key)
                if stored is not None and stored.version > after_version:
                    return stored
                remaining_s = deadline_s - time.monotonic()
                if remaining_s <= 0:
                    return None
                self._changed.wait(remaining_s)
        return None

    def wake_watches(self) -> None:
        """Wake every pending watch to check whether it has ended."""
        with self._changed:
            self._changed.notify_all()
