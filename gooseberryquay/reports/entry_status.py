"""State of one entry, as operators see it."""

from pydantic import BaseModel

from gooseberryquay.ids import EntryId, Revision, ServiceId, UpstreamId, ZoneId

__all__ = ["EntryStatus", "UpstreamStatus"]


class UpstreamStatus(BaseModel):
    """Show how an entry sees one upstream that may get work."""

    id: UpstreamId
    service: ServiceId
    zone: ZoneId
    view: str
    is_silent: bool
    own_in_flight: int


class EntryStatus(BaseModel):
    """Show one entry's state to operators."""

    entry: EntryId
    revision: Revision
    confirmed_age_s: float
    is_leaving: bool
    in_flight: int
    queued: int
    peers: tuple[EntryId, ...]
    upstreams: tuple[UpstreamStatus, ...]
