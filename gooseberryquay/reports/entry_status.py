"""State of one entry as shown to operators."""

from pydantic import BaseModel

from gooseberryquay.ids import EntryId, Revision, ServiceId, UpstreamId, ZoneId

__all__ = ["EntryStatus", "UpstreamStatus"]


class UpstreamStatus(BaseModel):
    """Describe an entry's view of one upstream that may get work."""

    id: UpstreamId
    service: ServiceId
    zone: ZoneId
    view: str
    is_silent: bool
    own_in_flight: int


class EntryStatus(BaseModel):
    """Describe the state of one entry."""

    entry: EntryId
    revision: Revision
    confirmed_age_s: float
    is_leaving: bool
    in_flight: int
    queued: int
    peers: tuple[EntryId, ...]
    upstreams: tuple[UpstreamStatus, ...]
