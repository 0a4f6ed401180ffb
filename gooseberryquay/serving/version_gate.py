"""Software versions that may get new work."""

from typing import Protocol

from gooseberryquay.ids import ServiceId
from gooseberryquay.serving.upstream_registry import KnownUpstream

__all__ = ["ANY_VERSION", "VersionGate"]


class VersionGate(Protocol):
    """Decide which software versions may get new work."""

    def may_send(self, known: KnownUpstream) -> bool:
        """Return whether an upstream's version may get new work."""

    def may_fall_back(self, known: KnownUpstream) -> bool:
        """Return whether an upstream may get work that no upstream with a version for it takes.

        Streams that began on a version go on there only.
        """

    def preferred(self, service: ServiceId, candidates: list[KnownUpstream]) -> list[KnownUpstream]:
        """Return the candidates from which to choose now."""


class _AnyVersion:
    """Gate no version, where roll-outs are not in force."""

    def may_send(self, known: KnownUpstream) -> bool:
        """Return True."""
        return True

    def may_fall_back(self, known: KnownUpstream) -> bool:
        """Return False, as all versions get work anyway."""
        return False

    def preferred(self, service: ServiceId, candidates: list[KnownUpstream]) -> list[KnownUpstream]:
        """Return all candidates."""
        return candidates


ANY_VERSION = _AnyVersion()
