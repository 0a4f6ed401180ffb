"""Client of the platform's object API."""

from dataclasses import dataclass
from urllib.parse import quote

from pydantic import ValidationError
from result import Err, Ok, Result

from gooseberryquay.contracts.fields import Address
from gooseberryquay.links.http_client import HttpClient, LinkFailure, Reply
from gooseberryquay.links.platform_messages import (
    InstanceEntry,
    InstanceList,
    StoredObject,
    StoredObjectList,
    WriteRequest,
)

__all__ = [
    "OutcomeUnknown",
    "PlatformLink",
    "PlatformRefused",
    "PlatformUnreachable",
    "ReadFailure",
    "WriteConflict",
    "WriteFailure",
]

HTTP_OK = 200
HTTP_NO_CONTENT = 204
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
WATCH_MARGIN_S = 2.0
NO_VERSION = 0


@dataclass(frozen=True)
class PlatformUnreachable:
    """Report a call that the platform did not carry out."""

    message: str


@dataclass(frozen=True)
class PlatformRefused:
    """Report a call that the platform answered with an error status; nothing changed."""

    status: int
    message: str


@dataclass(frozen=True)
class OutcomeUnknown:
    """Report a write whose answer was lost; it may have taken effect."""

    message: str


@dataclass(frozen=True)
class WriteConflict:
    """Report a conditional write that lost; `current` is the object that is there."""

    current: StoredObject | None


ReadFailure = PlatformUnreachable | PlatformRefused
WriteFailure = PlatformUnreachable | PlatformRefused | OutcomeUnknown | WriteConflict


class PlatformLink:
    """Read, write and watch objects of the platform; safe for use by many threads."""

    def __init__(
        self, address: Address, connect_timeout_s: float = 0.5, read_timeout_s: float = 2.0
    ) -> None:
        self._client = HttpClient(address.host, address.port, connect_timeout_s, read_timeout_s)

    def read(self, key: str) -> Result[StoredObject | None, ReadFailure]:
        """Read one object, or None where it does not exist."""
        return self._read_object(f"/objects/{quote(key, safe='')}", None)

    def watch(
        self, key: str, after_version: int, timeout_s: float
    ) -> Result[StoredObject | None, ReadFailure]:
        """Wait until the object is newer than a version; None when the time is over."""
        path = f"/watch/{quote(key, safe='')}?after_version={after_version}&timeout_s={timeout_s}"
        return self._read_object(path, timeout_s + WATCH_MARGIN_S)

    def list(self, prefix: str) -> Result[tuple[StoredObject, ...], ReadFailure]:
        """Read all objects under a key prefix."""
        path = f"/objects?prefix={quote(prefix, safe='')}"
        return self._read(path, None).and_then(_parse_object_list)

    def instances(self) -> Result[tuple[InstanceEntry, ...], ReadFailure]:
        """Read the list of live and leaving instances, which lags behind reality."""
        return self._read("/instances", None).and_then(_parse_instances)

    def write(
        self, key: str, value: str, expected_version: int | None = None
    ) -> Result[int, WriteFailure]:
        """Write an object and give its new version.

        With an expected version the write is conditional; 0 means "must not exist".
        """
        body = WriteRequest(value=value, expected_version=expected_version).model_dump_json()
        sent = self._client.send("PUT", f"/objects/{quote(key, safe='')}", body.encode())
        return _read_write_answer(sent)

    def delete(self, key: str, expected_version: int) -> Result[int, WriteFailure]:
        """Delete an object at an expected version."""
        path = f"/objects/{quote(key, safe='')}?expected_version={expected_version}"
        return _read_write_answer(self._client.send("DELETE", path))

    def _read(self, path: str, timeout_s: float | None) -> Result[Reply, ReadFailure]:
        match self._client.send("GET", path, read_timeout_s=timeout_s):
            case Err(failure):
                return Err(PlatformUnreachable(failure.message))
            case Ok(Reply(status=status) as reply) if status in (HTTP_OK, HTTP_NO_CONTENT):
                return Ok(reply)
            case Ok(reply):
                return Err(PlatformRefused(reply.status, reply.body.decode(errors="replace")))

    def _read_object(
        self, path: str, timeout_s: float | None
    ) -> Result[StoredObject | None, ReadFailure]:
        match self._read(path, timeout_s):
            case Err(PlatformRefused(status=status)) if status == HTTP_NOT_FOUND:
                return Ok(None)
            case Err(failure):
                return Err(failure)
            case Ok(Reply(status=status)) if status == HTTP_NO_CONTENT:
                return Ok(None)
            case Ok(reply):
                return _parse_object(reply)


def _parse_object(reply: Reply) -> Result[StoredObject | None, ReadFailure]:
    try:
        return Ok(StoredObject.model_validate_json(reply.body))
    except ValidationError as error:
        return Err(PlatformUnreachable(f"unreadable answer: {error}"))


def _parse_object_list(reply: Reply) -> Result[tuple[StoredObject, ...], ReadFailure]:
    try:
        return Ok(StoredObjectList.model_validate_json(reply.body).objects)
    except ValidationError as error:
        return Err(PlatformUnreachable(f"unreadable answer: {error}"))


def _parse_instances(reply: Reply) -> Result[tuple[InstanceEntry, ...], ReadFailure]:
    try:
        return Ok(InstanceList.model_validate_json(reply.body).instances)
    except ValidationError as error:
        return Err(PlatformUnreachable(f"unreadable answer: {error}"))


def _read_write_answer(sent: Result[Reply, LinkFailure]) -> Result[int, WriteFailure]:
    match sent:
        case Err(failure) if failure.was_sent:
            return Err(OutcomeUnknown(failure.message))
        case Err(failure):
            return Err(PlatformUnreachable(failure.message))
        case Ok(Reply(status=status) as reply) if status == HTTP_CONFLICT:
            return _read_conflict(reply)
        case Ok(Reply(status=status) as reply) if status == HTTP_OK:
            return (
                _parse_object(reply)
                .map_err(lambda each: OutcomeUnknown(each.message))
                .map(lambda stored: stored.version if stored else NO_VERSION)
            )
        case Ok(reply):
            return Err(PlatformRefused(reply.status, reply.body.decode(errors="replace")))


def _read_conflict(reply: Reply) -> Result[int, WriteFailure]:
    if reply.body == b"null":
        return Err(WriteConflict(None))
    match _parse_object(reply):
        case Ok(stored):
            return Err(WriteConflict(stored))
        case Err(failure):
            return Err(PlatformUnreachable(failure.message))
