"""Messages of the platform's object API."""

from enum import Enum

from pydantic import BaseModel

from gooseberryquay.contracts.fields import AddressField
from gooseberryquay.ids import ZoneId

__all__ = [
    "InstanceEntry",
    "InstanceList",
    "InstanceState",
    "StoredObject",
    "StoredObjectList",
    "WriteRequest",
]


class StoredObject(BaseModel):
    """Hold one versioned object; versions grow by one with each change."""

    key: str
    version: int
    value: str


class StoredObjectList(BaseModel):
    """Hold the objects under a key prefix."""

    objects: tuple[StoredObject, ...]


class WriteRequest(BaseModel):
    """Ask for a write; `expected_version` 0 means that the object must not exist."""

    value: str
    expected_version: int | None = None


class InstanceState(Enum):
    """Tell a live instance from one that is leaving."""

    LIVE = "live"
    LEAVING = "leaving"


class InstanceEntry(BaseModel):
    """Describe one instance in the platform's lagging list."""

    id: str
    kind: str
    zone: ZoneId
    address: AddressField
    incarnation: int
    state: InstanceState = InstanceState.LIVE


class InstanceList(BaseModel):
    """Hold the platform's list of live and leaving instances."""

    instances: tuple[InstanceEntry, ...]
