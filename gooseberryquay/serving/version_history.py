"""Software versions of each service over time, and the stored form of what began where."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from pydantic import BaseModel, ConfigDict, ValidationError

from gooseberryquay.ids import ServiceId, SoftwareVersion

__all__ = [
    "StoredStreams",
    "StreamOrigin",
    "EarliestVersion",
    "VersionHistory",
    "VersionSpan",
    "newest_history",
]

# Objects written within this time of the newest one are as current as that.
CURRENT_WITHIN_S = 10.0


class _Stored(BaseModel):
    model_config = ConfigDict(frozen=True)


class VersionSpan(_Stored):
    """Time over which a version of a service was listed; an empty version states none."""

    service: str
    version: str
    first_at_s: float
    last_at_s: float
    is_listed: bool = True


class StreamOrigin(_Stored):
    """Service and version that began a stream, and when."""

    service: str
    version: str
    at_s: float


class StoredStreams(_Stored):
    """What one entry has recorded.

    `is_written_ahead` is set by entries that pass no event of a stream on before its record is
    stored, once several versions serve and while the store can be written. `is_witnessed` is set
    if streams without a stored record were kept by peers or began at the earliest version. Entries
    of earlier builds leave these out.
    """

    written_at_s: float = 0.0
    is_written_ahead: bool = False
    is_witnessed: bool = False
    streams: dict[str, StreamOrigin] = {}
    history: tuple[VersionSpan, ...] = ()

    def has_seen_other(self, service: ServiceId, version: str) -> bool:
        """Return whether the entry had seen another version of a service as it wrote this."""
        return any(each.service == service and each.version != version for each in self.history)

    @classmethod
    def parse(cls, text: str) -> "StoredStreams":
        """Decode an object; a malformed one holds nothing."""
        try:
            return cls.model_validate_json(text)
        except ValidationError:
            return cls()


@dataclass(frozen=True, slots=True)
class EarliestVersion:
    """The version that was listed before all others, and when the next one was first listed."""

    version: str
    until_s: float


class VersionHistory:
    """Track when each version of each service was listed."""

    def __init__(self) -> None:
        self._spans: dict[tuple[str, str], VersionSpan] = {}

    def observe(
        self,
        versions: Mapping[ServiceId, frozenset[SoftwareVersion | None]],
        now_s: float,
        oldest_s: float = float("-inf"),
    ) -> bool:
        """Record the versions that are listed now; return whether they have changed.

        A version that was last listed before `oldest_s` counts as new.
        """
        listed = {(service, each or "") for service, found in versions.items() for each in found}
        has_changed = False
        for key, span in list(self._spans.items()):
            if not _is_recent(span, oldest_s):
                del self._spans[key]
            elif span.is_listed and key not in listed:
                has_changed = True
                self._spans[key] = span.model_copy(update={"is_listed": False})
        for key in listed:
            known = self._spans.get(key)
            has_changed = has_changed or known is None or not known.is_listed
            first_s = known.first_at_s if known is not None else now_s
            self._spans[key] = VersionSpan(
                service=key[0], version=key[1], first_at_s=first_s, last_at_s=now_s
            )
        return has_changed

    def merge(self, spans: Iterable[VersionSpan], oldest_s: float = float("-inf")) -> None:
        """Add what other entries have seen since a time."""
        for span in spans:
            if span.last_at_s < oldest_s:
                continue
            key = (span.service, span.version)
            known = self._spans.get(key)
            if known is None:
                self._spans[key] = span.model_copy(update={"is_listed": False})
                continue
            times = {
                "first_at_s": min(known.first_at_s, span.first_at_s),
                "last_at_s": max(known.last_at_s, span.last_at_s),
            }
            self._spans[key] = known.model_copy(update=times)

    def kept(self, oldest_s: float) -> tuple[VersionSpan, ...]:
        """Return the versions that were listed since a time, or are."""
        return tuple(each for each in self._spans.values() if _is_recent(each, oldest_s))

    def has_versions(self) -> bool:
        """Return whether any version has been seen."""
        return bool(self._spans)

    def is_mixed(self, service: ServiceId, oldest_s: float) -> bool:
        """Return whether several versions of a service were listed since a time."""
        return len(self._recent(service, oldest_s)) > 1

    def is_any_mixed(self, oldest_s: float) -> bool:
        """Return whether several versions of any service were listed since a time."""
        services = {ServiceId(each.service) for each in self._spans.values()}
        return any(self.is_mixed(each, oldest_s) for each in services)

    def only_version(self, service: ServiceId, oldest_s: float) -> str | None:
        """Return the only version that was listed since a time, or None."""
        recent = self._recent(service, oldest_s)
        return recent[0].version if len(recent) == 1 else None

    def earliest(self, service: ServiceId, oldest_s: float) -> EarliestVersion | None:
        """Return the earliest of several versions that were listed since a time.

        Returns None if there is one only, or if two were first listed at the same time.
        """
        recent = sorted(self._recent(service, oldest_s), key=lambda each: each.first_at_s)
        if len(recent) < 2 or recent[0].first_at_s == recent[1].first_at_s:
            return None
        return EarliestVersion(recent[0].version, recent[1].first_at_s)

    def _recent(self, service: ServiceId, oldest_s: float) -> list[VersionSpan]:
        return [
            each
            for each in self._spans.values()
            if each.service == service and _is_recent(each, oldest_s)
        ]


def newest_history(documents: Iterable[StoredStreams], now_s: float) -> list[VersionSpan]:
    """Return the versions that entries have seen.

    What the newest objects list is still listed; an entry that has gone says nothing of today.
    """
    ordered = list(documents)
    newest_s = max((each.written_at_s for each in ordered), default=0.0)
    spans = []
    for document in ordered:
        is_current = document.written_at_s >= newest_s - CURRENT_WITHIN_S
        for span in document.history:
            is_listed = span.is_listed and is_current
            spans.append(span.model_copy(update={"last_at_s": now_s}) if is_listed else span)
    return spans


def _is_recent(span: VersionSpan, oldest_s: float) -> bool:
    return span.is_listed or span.last_at_s >= oldest_s
