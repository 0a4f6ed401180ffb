"""Client of the platform's object API."""

from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import quote

from pydantic import ValidationError
from result import Err, Ok, Result

from gooseberryquay.contracts.fields import Address
from gooseberryquay.links.http_client import HttpClient, Reply, TransportFailure
from gooseberryquay.links.platform_messages import (
    InstanceEntry,
    InstanceList,
    StoredObject,
    StoredObjectList,
    WriteRequest,
)

__all__ = [
    "OutcomeUnknown",
    "PlatformClient",
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
STATUSES_OF_UNKNOWN_OUTCOME = (500, 502, 504)
NO_VERSION = 0
# Estimated header bytes of one call and its response.
CALL_HEADER_BYTES = 300


@dataclass(frozen=True)
class PlatformUnreachable:
    """Report a call that did not take effect or whose response was unreadable."""

    message: str


@dataclass(frozen=True)
class PlatformRefused:
    """Report a call that the platform rejected with an error status; nothing changed."""

    status: int
    message: str
    retry_after_s: float | None = None


@dataclass(frozen=True)
class OutcomeUnknown:
    """Report a write whose response was lost; it may have taken effect."""

    message: str


@dataclass(frozen=True)
class WriteConflict:
    """Report a failed conditional write; `current` is the stored object, None if absent."""

    current: StoredObject | None


ReadFailure = PlatformUnreachable | PlatformRefused
WriteFailure = PlatformUnreachable | PlatformRefused | OutcomeUnknown | WriteConflict


class PlatformClient:
    """Read, write and watch objects of the platform; thread-safe.

    `on_bytes` is called with the size in bytes of each call and its response.
    """

    def __init__(
        self,
        address: Address,
        connect_timeout_s: float = 0.5,
        read_timeout_s: float = 2.0,
        on_bytes: Callable[[int], None] = lambda _bytes: None,
    ) -> None:
        self._read_timeout_s = read_timeout_s
        self._on_bytes = on_bytes
        self._client = HttpClient(address.host, address.port, connect_timeout_s, read_timeout_s)

    def read(self, key: str) -> Result[StoredObject | None, ReadFailure]:
        """Read one object; None if it does not exist."""
        return self._read_object(f"/objects/{quote(key, safe='')}", None)

    def watch(
        self, key: str, after_version: int, timeout_s: float
    ) -> Result[StoredObject | None, ReadFailure]:
        """Wait until the object is newer than a version; None on timeout."""
        path = f"/watch/{quote(key, safe='')}?after_version={after_version}&timeout_s={timeout_s}"
        return self._read_object(path, timeout_s + self._read_timeout_s)

    def list(self, prefix: str) -> Result[tuple[StoredObject, ...], ReadFailure]:
        """Read all objects under a key prefix."""
        path = f"/objects?prefix={quote(prefix, safe='')}"
        return self._read(path, None).and_then(_parse_object_list)

    def instances(self) -> Result[tuple[InstanceEntry, ...], ReadFailure]:
        """Read the list of live and leaving instances, which is eventually consistent."""
        return self._read("/instances", None).and_then(_parse_instances)

    def write(
        self, key: str, value: str, expected_version: int | None = None
    ) -> Result[int, WriteFailure]:
        """Write an object and return its new version.

        With an expected version the write is conditional; 0 means "must not exist".
        """
        body = WriteRequest(value=value, expected_version=expected_version).model_dump_json()
        sent = self._send("PUT", f"/objects/{quote(key, safe='')}", body.encode())
        return _read_write_response(sent)

    def delete(self, key: str, expected_version: int) -> Result[int, WriteFailure]:
        """Delete an object if it has the expected version."""
        path = f"/objects/{quote(key, safe='')}?expected_version={expected_version}"
        return _read_write_response(self._send("DELETE", path))

    def put_instance(self, entry: InstanceEntry) -> Result[None, WriteFailure]:
        """Add or replace an instance in the platform's list."""
        body = entry.model_dump_json().encode()
        return _read_instance_response(self._send("PUT", _instance_path(entry.id), body))

    def delete_instance(self, instance_id: str) -> Result[None, WriteFailure]:
        """Remove an instance from the platform's list."""
        return _read_instance_response(self._send("DELETE", _instance_path(instance_id)))

    def _send(
        self, method: str, path: str, body: bytes = b"", timeout_s: float | None = None
    ) -> Result[Reply, TransportFailure]:
        sent = self._client.send(method, path, body, read_timeout_s=timeout_s)
        response_bytes = len(sent.ok_value.body) if isinstance(sent, Ok) else 0
        self._on_bytes(CALL_HEADER_BYTES + len(body) + response_bytes)
        return sent

    def _read(self, path: str, timeout_s: float | None) -> Result[Reply, ReadFailure]:
        match self._send("GET", path, timeout_s=timeout_s):
            case Err(failure):
                return Err(PlatformUnreachable(failure.message))
            case Ok(Reply(status=status) as reply) if status in (HTTP_OK, HTTP_NO_CONTENT):
                return Ok(reply)
            case Ok(reply):
                return Err(_refusal_of(reply))

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
        return Err(PlatformUnreachable(f"unreadable response: {error}"))


def _parse_object_list(reply: Reply) -> Result[tuple[StoredObject, ...], ReadFailure]:
    try:
        return Ok(StoredObjectList.model_validate_json(reply.body).objects)
    except ValidationError as error:
        return Err(PlatformUnreachable(f"unreadable response: {error}"))


def _parse_instances(reply: Reply) -> Result[tuple[InstanceEntry, ...], ReadFailure]:
    try:
        return Ok(InstanceList.model_validate_json(reply.body).instances)
    except ValidationError as error:
        return Err(PlatformUnreachable(f"unreadable response: {error}"))


def _instance_path(instance_id: str) -> str:
    return f"/instances/{quote(instance_id, safe='')}"


def _read_instance_response(sent: Result[Reply, TransportFailure]) -> Result[None, WriteFailure]:
    match sent:
        case Ok(Reply(status=status)) if status == HTTP_OK:
            return Ok(None)
        case Ok(reply):
            return Err(_refusal_of(reply))
        case Err(failure) if failure.was_sent:
            return Err(OutcomeUnknown(failure.message))
        case Err(failure):
            return Err(PlatformUnreachable(failure.message))


def _read_write_response(sent: Result[Reply, TransportFailure]) -> Result[int, WriteFailure]:
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
        case Ok(Reply(status=status)) if status in STATUSES_OF_UNKNOWN_OUTCOME:
            return Err(OutcomeUnknown(f"status {status}"))
        case Ok(reply):
            return Err(_refusal_of(reply))


def _refusal_of(reply: Reply) -> PlatformRefused:
    retry_after = reply.headers.get("retry-after", "")
    retry_after_s = float(retry_after) if retry_after.isdigit() else None
    return PlatformRefused(reply.status, reply.body.decode(errors="replace"), retry_after_s)


def _read_conflict(reply: Reply) -> Result[int, WriteFailure]:
    if reply.body == b"null":
        return Err(WriteConflict(None))
    match _parse_object(reply):
        case Ok(stored):
            return Err(WriteConflict(stored))
        case Err(failure):
            return Err(PlatformUnreachable(failure.message))
