"""Client of the platform's object store."""

import json
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote, urlencode

from result import Err, Ok, Result

from gooseberryquay.contracts.fields import Address
from gooseberryquay.links import platform_messages
from gooseberryquay.links.connection_pool import ConnectionPool
from gooseberryquay.links.exchange import BufferedReply, BufferedRequest, exchange
from gooseberryquay.links.hedged_exchange import Hedge, HedgedClient
from gooseberryquay.links.json_document import MemberLimits, parse_document
from gooseberryquay.links.platform_client import (
    NO_VERSION,
    OutcomeUnknown,
    PlatformRefused,
    PlatformUnreachable,
    ReadFailure,
    WriteConflict,
    WriteFailure,
)
from gooseberryquay.links.upstream_connection import CallerLeft
from gooseberryquay.platform.documents import UPSTREAM_FIELDS, read_rollout
from gooseberryquay.platform.store_era import StoreEra, StorePosition
from gooseberryquay.rollouts.conductor import StatusConflict
from gooseberryquay.rollouts.order import RolloutOrder, RolloutRecord, RolloutState
from gooseberryquay.serving.object_source import (
    Changes,
    Listing,
    SourceFailure,
    StoredObject,
)

__all__ = [
    "ANSWER_TIME_S",
    "CONFIGURATION_KIND",
    "CONFIGURATION_NAME",
    "EVACUATION_KIND",
    "ROLLOUT_KIND",
    "UPSTREAM_KIND",
    "StoreClient",
    "StoreObjectSource",
]

OBJECTS_PATH = "/api/objects/"
CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
# Records of engines and services, each under its id.
UPSTREAM_KIND = "servers"
# Zones to which no more requests are to be sent.
EVACUATION_KIND = "evacuations"
# Orders to move a service's traffic to another software version, each under the service's name.
ROLLOUT_KIND = "rollouts"
STATUS_PATH = "/status"
HTTP_OK = 200
HTTP_CREATED = 201
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_GONE = 410
MS_PER_S = 1000.0
# A call that has not been answered for this long is made again on a new connection, beside it.
ANSWER_TIME_S = 0.4
# A store that is slow still answers in this time.
LIST_TIMEOUT_S = 2.0
WATCH_SLACK_S = 2.0
# Enough for 100,000 objects.
PAGES_MAX = 200
OBJECT_TIMEOUT_S = 1.0
# Longer than any field of an upstream's record.
FIELD_BYTES_MAX = 4096
# Other writers may leave long objects of these kinds. Of an evacuation only the name is read.
LIMITS = {
    UPSTREAM_KIND: MemberLimits("spec", UPSTREAM_FIELDS, FIELD_BYTES_MAX),
    EVACUATION_KIND: MemberLimits("spec", frozenset(), 0),
}


@dataclass(frozen=True, slots=True)
class _Reply:
    document: dict[str, Any]
    era: int

    def position(self, revision: int) -> int:
        return StorePosition(self.era, revision).encode()


class StoreObjectSource:
    """List and watch the objects of one kind; each revision is an encoded `StorePosition`.

    `on_silence` is called when a new connection was answered and the one in use was not.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        address: Address,
        kind: str,
        era: StoreEra,
        on_silence: Callable[[], None] = lambda: None,
    ) -> None:
        self._client = HedgedClient(pool, address, on_silence)
        self._era = era
        self._path = OBJECTS_PATH + quote(kind)
        self._limits = LIMITS.get(kind)
        self._has_status = kind == ROLLOUT_KIND

    def list(self) -> Result[Listing, SourceFailure]:
        """Return all objects, read page by page."""
        found: list[StoredObject] = []
        after: str | None = None
        revision: int | None = None
        for _ in range(PAGES_MAX):
            match self._get({} if after is None else {"after": after}, 0.0, LIST_TIMEOUT_S):
                case Err(failure):
                    return Err(failure)
                case Ok(reply):
                    document = reply.document
            if reply.era < self._era.current:
                # Sent before the store came back from an older copy.
                return Err(SourceFailure.UNREACHABLE)
            try:
                page = [self._object_of(each, False, reply) for each in document["items"]]
                at = reply.position(int(document["at"]))
            except (KeyError, TypeError, ValueError):
                return Err(SourceFailure.MALFORMED)
            named = [each for each in page if each is not None]
            found.extend(named)
            # A watch from the lowest revision also covers changes that later pages lack.
            revision = at if revision is None else min(revision, at)
            if not document.get("has_more"):
                return Ok(Listing(tuple(found), revision, store_revision=revision))
            if not named:
                break
            after = named[-1].name
        return Err(SourceFailure.MALFORMED)

    def watch(self, revision: int, wait_s: float) -> Result[Changes, SourceFailure]:
        """Wait for changes after a revision, for at most `wait_s`."""
        position = StorePosition.decode(revision)
        if position.era != self._era.current:
            return Err(SourceFailure.HISTORY_GONE)
        query = {"watch": position.revision, "wait_ms": int(wait_s * MS_PER_S)}
        match self._get(query, wait_s, WATCH_SLACK_S):
            case Err(failure):
                return Err(failure)
            case Ok(reply):
                document = reply.document
        if reply.era != position.era:
            return Err(SourceFailure.HISTORY_GONE)
        try:
            changed = [
                self._object_of(each["object"], bool(each["deleted"]), reply)
                for each in document["events"]
            ]
            at = reply.position(int(document["at"]))
        except (KeyError, TypeError, ValueError):
            return Err(SourceFailure.MALFORMED)
        return Ok(Changes(tuple(each for each in changed if each is not None), at, at))

    def interrupt(self, is_behind: bool) -> None:
        """Interrupt the call in progress, or else the next one."""
        self._client.interrupt()

    def _object_of(self, document: Any, is_deleted: bool, reply: _Reply) -> StoredObject | None:
        return _object_of(document, is_deleted, reply, self._has_status)

    def _get(
        self, query: Mapping[str, Any], wait_s: float, slack_s: float
    ) -> Result[_Reply, SourceFailure]:
        """Read a document that the store returns after `wait_s` at the latest."""
        hedge = Hedge(
            self._request({**query, "wait_ms": 0} if wait_s else query),
            first_after_s=wait_s + ANSWER_TIME_S,
            interval_s=ANSWER_TIME_S,
        )
        until_s = time.monotonic() + wait_s + slack_s
        match self._client.exchange(self._request(query), until_s, hedge):
            case Err(CallerLeft()):
                return Err(SourceFailure.INTERRUPTED)
            case Err(_):
                return Err(SourceFailure.UNREACHABLE)
            case Ok(BufferedReply(status=status, body=body, headers=headers)):
                era = self._era.observe(headers)
        if status == HTTP_GONE:
            return Err(SourceFailure.HISTORY_GONE)
        if status != HTTP_OK:
            return Err(SourceFailure.REFUSED)
        try:
            document = parse_document(body, self._limits)
        except ValueError:
            return Err(SourceFailure.MALFORMED)
        if not isinstance(document, dict):
            return Err(SourceFailure.MALFORMED)
        return Ok(_Reply(document, era))

    def _request(self, query: Mapping[str, Any]) -> BufferedRequest:
        path = f"{self._path}?{urlencode(query)}" if query else self._path
        return BufferedRequest("GET", path)


class StoreClient:
    """Read and write this system's own objects, under keys of the form KIND/NAME."""

    def __init__(self, pool: ConnectionPool, address: Address, era: StoreEra) -> None:
        self._pool = pool
        self._address = address
        self._era = era

    def list(self, prefix: str) -> Result[tuple[platform_messages.StoredObject, ...], ReadFailure]:
        """Read all objects of a kind."""
        kind = prefix.rstrip("/")
        match StoreObjectSource(self._pool, self._address, kind, self._era).list():
            case Err(failure):
                return Err(PlatformUnreachable(failure.value))
            case Ok(listing):
                return Ok(
                    tuple(
                        platform_messages.StoredObject(
                            key=f"{kind}/{each.name}",
                            version=StorePosition.decode(each.revision).revision,
                            value=json.dumps(each.content),
                        )
                        for each in listing.objects
                    )
                )

    def read(self, key: str) -> Result[platform_messages.StoredObject | None, ReadFailure]:
        """Read one object; None if it does not exist."""
        reply = self._call("GET", OBJECTS_PATH + quote(key))
        if reply is None:
            return Err(PlatformUnreachable("no response"))
        if reply.status == HTTP_NOT_FOUND:
            return Ok(None)
        if reply.status != HTTP_OK:
            return Err(PlatformRefused(reply.status, "refused"))
        found = _named_object(key, reply.body)
        return Err(PlatformUnreachable("malformed")) if found is None else Ok(found)

    def write(
        self, key: str, value: str, expected_version: int | None = None
    ) -> Result[int, WriteFailure]:
        """Write an object if it has the expected version; 0 means that it must not exist."""
        kind, _, name = key.partition("/")
        metadata: dict[str, Any] = {"name": name}
        document = {"metadata": metadata, "spec": json.loads(value)}
        if expected_version == NO_VERSION:
            reply = self._call("POST", OBJECTS_PATH + quote(kind), document)
        else:
            metadata["revision"] = expected_version
            reply = self._call("PUT", OBJECTS_PATH + quote(key), document)
        if reply is None:
            return Err(OutcomeUnknown("no response"))
        if reply.status == HTTP_CONFLICT:
            return Err(WriteConflict(_named_object(key, reply.body)))
        if reply.status not in {HTTP_OK, HTTP_CREATED}:
            return Err(PlatformRefused(reply.status, "refused"))
        written = _named_object(key, reply.body)
        return Ok(written.version if written is not None else NO_VERSION)

    def write_status(
        self, order: RolloutOrder, state: RolloutState
    ) -> Result[RolloutRecord | None, StatusConflict | OutcomeUnknown | PlatformRefused]:
        """Write the state of a roll-out if its order is still the stored one."""
        position = StorePosition.decode(order.revision)
        if position.era != self._era.current:
            # The store gives the revisions of its earlier era out again.
            return Err(StatusConflict(None))
        path = OBJECTS_PATH + quote(ROLLOUT_KIND) + "/" + quote(order.service, safe="")
        document = {
            "metadata": {"name": order.service, "revision": position.revision},
            "status": {"state": state.value, "target": order.target},
        }
        reply = self._call("PUT", path + STATUS_PATH, document)
        if reply is None:
            return Err(OutcomeUnknown("no response"))
        if reply.status in {HTTP_OK, HTTP_CREATED}:
            return Ok(self._rollout_of(reply))
        if reply.status == HTTP_CONFLICT:
            return Err(StatusConflict(self._rollout_of(reply)))
        return Err(PlatformRefused(reply.status, "refused"))

    def _rollout_of(self, reply: BufferedReply) -> RolloutRecord | None:
        try:
            document = parse_document(reply.body)
        except ValueError:
            return None
        found = _object_of(document, False, _Reply({}, self._era.observe(reply.headers)), True)
        return None if found is None else read_rollout(found)

    def _call(
        self, method: str, path: str, document: dict[str, Any] | None = None
    ) -> BufferedReply | None:
        body = b"" if document is None else json.dumps(document).encode()
        until_s = time.monotonic() + OBJECT_TIMEOUT_S
        request = BufferedRequest(method, path, body)
        match exchange(self._pool, self._address, request, until_s):
            case Ok(reply):
                self._era.observe(reply.headers)
                return reply
            case Err(_):
                return None


def _named_object(key: str, body: bytes) -> platform_messages.StoredObject | None:
    try:
        found = _object_of(parse_document(body), False, _Reply({}, 0))
    except ValueError:
        return None
    if found is None:
        return None
    return platform_messages.StoredObject(
        key=key, version=found.revision, value=json.dumps(found.content)
    )


def _object_of(
    document: Any, is_deleted: bool, reply: _Reply, has_status: bool = False
) -> StoredObject | None:
    """Decode one object of a reply; return None if it has no valid name."""
    if not isinstance(document, dict) or not isinstance(document.get("metadata"), dict):
        return None
    metadata = document["metadata"]
    name, revision = metadata.get("name"), metadata.get("revision")
    if not isinstance(name, str):
        return None
    spec, status = document.get("spec"), document.get("status")
    return StoredObject(
        name=name,
        revision=reply.position(revision if isinstance(revision, int) else 0),
        content=spec if isinstance(spec, dict) else None,
        is_deleted=is_deleted,
        status=status if has_status and isinstance(status, dict) else None,
    )
