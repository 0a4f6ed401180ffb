"""Message schemas of the platform's object API."""

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
    """Represent a versioned object; each change increments the version by one."""

    key: str
    version: int
    value: str


class StoredObjectList(BaseModel):
    """Represent the objects under a key prefix."""

    objects: tuple[StoredObject, ...]


class WriteRequest(BaseModel):
    """Request a write; `expected_version` 0 means that the object must not exist."""

    value: str
    expected_version: int | None = None


class InstanceState(Enum):
    """Describe whether an instance is live or leaving."""

    LIVE = "live"
    LEAVING = "leaving"


class InstanceEntry(BaseModel):
    """Describe one instance in the platform's eventually consistent list."""

    id: str
    kind: str
    zone: ZoneId
    address: AddressField
    incarnation: int
    state: InstanceState = InstanceState.LIVE


class InstanceList(BaseModel):
    """Represent the platform's list of live and leaving instances."""

    instances: tuple[InstanceEntry, ...]
