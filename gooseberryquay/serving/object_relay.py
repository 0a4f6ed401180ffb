"""Objects of one kind passed on from a hub to entries that do not follow the store themselves."""

import random
import threading
import time
import zlib
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Any

from pydantic import BaseModel, Field, ValidationError
from result import Err, Ok, Result

from gooseberryquay.ids import EntryId
from gooseberryquay.links.connection_pool import ConnectionPool
from gooseberryquay.links.exchange import BufferedReply, BufferedRequest, Interrupt, exchange
from gooseberryquay.links.http_server import Request, Response, Router
from gooseberryquay.links.upstream_connection import CallerLeft
from gooseberryquay.machines.peer import Peer
from gooseberryquay.serving.decision_log import DecisionLog
from gooseberryquay.serving.hubs import HubSelector
from gooseberryquay.serving.object_source import (
    Changes,
    Listing,
    ObjectSource,
    SourceFailure,
    StoredObject,
)
from gooseberryquay.serving.object_watch import ObjectReader

__all__ = ["HubSource", "ObjectRelay", "RelayOptions"]

RELAY_PATH = "/peers/objects/"
# More changes than a large fleet sees between two polls.
HISTORY_MAX = 512
# With the slack below, a silent hub is left before the drain bound is over.
HUB_WAIT_S = 1.0
HUB_SLACK_S = 0.5
# Beyond these, the store is asked.
HUBS_TRIED = 2
# A kind whose list is too large for a hub's link is read from the store for so long.
TOO_LARGE_S = 60.0
# How long a hub that cannot reach the store follows another before it tries again.
SUBSTITUTE_S = 5.0
# How often a waiting poll looks whether the hub is still sound.
SOUND_CHECK_S = 0.25
SEQUENCE_BITS = 40
# Names and keys are random; more effort hardly makes them smaller.
COMPRESSION_LEVEL = 1
COMPRESSED_TYPE = "application/octet-stream"
LIST_BYTES_MAX = 16 * 1024 * 1024
MS_PER_S = 1000.0
HTTP_BAD_REQUEST = 400
HTTP_GONE = 410
HTTP_TOO_LARGE = 413
HTTP_UNAVAILABLE = 503


class _ObjectRecord(BaseModel):
    name: str = Field(alias="n")
    revision: int = Field(alias="r")
    content: Mapping[str, Any] | None = Field(alias="c", default=None)
    is_deleted: bool = Field(alias="d", default=False)
    is_doubtful: bool = Field(alias="q", default=False)

    def stored(self) -> StoredObject:
        return StoredObject(
            self.name, self.revision, self.content, self.is_deleted, self.is_doubtful
        )


class _ObjectsMessage(BaseModel):
    objects: list[_ObjectRecord] = Field(alias="o")
    sequence: int = Field(alias="at")
    store_revision: int = Field(alias="s")
    is_doubtful: bool = Field(alias="q", default=False)


@dataclass(frozen=True, slots=True)
class RelayOptions:
    """Say how a kind is relayed.

    Polls that wait longer than a hub may be silent rely on another kind's to notice that.
    """

    kind: str
    wait_s: float = HUB_WAIT_S
    # What the link may carry for all entries of a cell together.
    cell_bytes_max: int | None = None


@dataclass(frozen=True, slots=True)
class _Change:
    sequence: int
    changed: StoredObject


class ObjectRelay:
    """Remember what a reader takes in and serve it to other entries.

    Changes are numbered by a sequence that starts at random, so that no entry goes on at a hub
    where it began at another or before a restart.
    """

    def __init__(
        self,
        terms: RelayOptions,
        *,
        reader: ObjectReader,
        is_current: Callable[[], bool],
        known_revision: Callable[[], int],
        outage_grace_s: float,
        cell_size: Callable[[], int] = lambda: 1,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._terms = terms
        self._cell_size = cell_size
        self._outage_grace_s = outage_grace_s
        self._clock = clock
        self._doubtful_until_s = float("-inf")
        self._reader = reader
        self._known_revision = known_revision
        self._is_sound = is_current
        self._listing: Listing | None = None
        self._objects: dict[str, StoredObject] = {}
        self._history: deque[_Change] = deque(maxlen=HISTORY_MAX)
        self._sequence = random.getrandbits(SEQUENCE_BITS)
        self._known_from = self._sequence
        self._changed = threading.Condition()

    def add_routes(self, router: Router) -> None:
        """Serve the other entries."""
        router.add("GET", RELAY_PATH + self._terms.kind, self._answer)

    def read_listing(self, listing: Listing, is_after_outage: bool) -> None:
        """Take in all objects, after which earlier changes can no longer be followed."""
        self._reader.read_listing(listing, is_after_outage)
        is_doubtful = is_after_outage or listing.is_doubtful
        with self._changed:
            self._listing = listing
            if is_doubtful:
                self._doubtful_until_s = self._clock() + self._outage_grace_s
            self._objects = {each.name: each for each in listing.objects}
            self._history.clear()
            self._sequence += 1
            self._known_from = self._sequence
            self._changed.notify_all()

    def read_change(self, changed: StoredObject, is_after_outage: bool) -> None:
        """Take in one changed or deleted object."""
        self._reader.read_change(changed, is_after_outage)
        is_doubtful = is_after_outage or changed.is_doubtful
        with self._changed:
            if changed.is_deleted:
                self._objects.pop(changed.name, None)
            else:
                self._objects[changed.name] = changed
            if len(self._history) == HISTORY_MAX:
                self._known_from = self._history[0].sequence
            self._sequence += 1
            self._history.append(_Change(self._sequence, replace(changed, is_doubtful=is_doubtful)))
            self._changed.notify_all()

    def _answer(self, request: Request) -> Response:
        after, wait_ms = request.query.get("after"), request.query.get("wait_ms", "0")
        if not wait_ms.isdigit() or not (after is None or after.isdigit()):
            return Response(status=HTTP_BAD_REQUEST, body=b"{}")
        if self._listing is None or not self._is_sound():
            return Response(status=HTTP_UNAVAILABLE, body=b"{}")
        if after is None:
            response = self._reply_with_list()
        else:
            response = self._wait_for_changes(int(after), int(wait_ms) / MS_PER_S)
        if "large" not in request.query and self._is_too_large(response):
            return Response(status=HTTP_TOO_LARGE, body=b"{}")
        return response

    def _is_too_large(self, response: Response) -> bool:
        limit = self._terms.cell_bytes_max
        if limit is None or not isinstance(response.body, bytes):
            return False
        return len(response.body) * self._cell_size() > limit

    def _reply_with_list(self) -> Response:
        with self._changed:
            # What lapsed in the outage is back by then.
            is_doubtful = self._clock() < self._doubtful_until_s
            return self._reply(list(self._objects.values()), is_doubtful)

    def _wait_for_changes(self, after: int, wait_s: float) -> Response:
        until_s = time.monotonic() + min(wait_s, self._terms.wait_s)
        check_s = SOUND_CHECK_S if self._terms.wait_s <= HUB_WAIT_S else HUB_WAIT_S
        with self._changed:
            while True:
                if not self._known_from <= after <= self._sequence:
                    return Response(status=HTTP_GONE, body=b"{}")
                found = [each.changed for each in self._history if each.sequence > after]
                left_s = until_s - time.monotonic()
                if found or left_s <= 0.0:
                    return self._reply(found)
                if not self._is_sound():
                    return Response(status=HTTP_UNAVAILABLE, body=b"{}")
                self._changed.wait(min(left_s, check_s))

    def _reply(self, objects: list[StoredObject], is_doubtful: bool = False) -> Response:
        records = [
            _ObjectRecord(
                n=each.name, r=each.revision, c=each.content, d=each.is_deleted, q=each.is_doubtful
            )
            for each in objects
        ]
        message = _ObjectsMessage(
            o=records, at=self._sequence, s=self._known_revision(), q=is_doubtful
        )
        body = zlib.compress(message.model_dump_json(by_alias=True).encode(), COMPRESSION_LEVEL)
        return Response(body=body, content_type=COMPRESSED_TYPE)


class HubSource:
    """Follow a hub while there is a sound one, and the store itself otherwise.

    A hub follows the store, and so does an entry whose hub cannot pass on so large a list; both
    follow a hub while they cannot reach the store themselves. Sequences of a
    hub and revisions of the store do not compare, so each change of source starts with a list. A
    list that is older than what is known is not taken.
    """

    def __init__(
        self,
        terms: RelayOptions,
        direct: ObjectSource,
        hubs: HubSelector,
        pool: ConnectionPool,
        log: DecisionLog,
        *,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._terms = terms
        self._clock = clock
        self._log = log
        self._direct = direct
        self._hubs = hubs
        self._pool = pool
        self._followed: Peer | None = None
        self._substitute_until_s: float | None = None
        # The newest change of this kind that was read, from wherever it came.
        self._seen_revision = 0
        self._direct_until_s = float("-inf")
        self._interrupt = Interrupt()
        hubs.on_avoid(self._leave_avoided)

    @property
    def is_on_fallback_hub(self) -> bool:
        """Tell whether this entry follows a hub only because it cannot reach the store."""
        return self._substitute_until_s is not None

    def list(self) -> Result[Listing, SourceFailure]:
        """Give all objects, from a hub where there is one."""
        self._followed = None
        self._substitute_until_s = None
        # The source is chosen anew in any case.
        self._interrupt.clear()
        if not self._hubs.is_hub() and self._clock() >= self._direct_until_s:
            return self._list_from_hubs() or self._list_directly()
        listed = self._list_directly()
        if isinstance(listed, Ok) or listed.err_value is SourceFailure.INTERRUPTED:
            return listed
        substitute = self._list_from_hubs("?large=1")
        if substitute is None:
            return listed
        self._substitute_until_s = self._clock() + SUBSTITUTE_S
        return substitute

    def _list_directly(self) -> Result[Listing, SourceFailure]:
        listed = self._direct.list()
        if isinstance(listed, Ok):
            self._saw(listed.ok_value.objects)
        return listed

    def _list_from_hubs(self, query: str = "") -> Ok[Listing] | None:
        for hub in self._hubs.usable_hubs()[:HUBS_TRIED]:
            match self._ask(hub, RELAY_PATH + self._terms.kind + query, HUB_SLACK_S):
                case Err(SourceFailure.TOO_LARGE):
                    self._direct_until_s = self._clock() + TOO_LARGE_S
                    return None
                case Ok(message) if message.store_revision >= self._seen_revision:
                    self._followed = hub
                    self._log.dependency("hub", hub.id, is_lost=False, objects=self._terms.kind)
                    objects = tuple(each.stored() for each in message.objects)
                    self._saw(objects)
                    doubtful, store_revision = message.is_doubtful, message.store_revision
                    return Ok(Listing(objects, message.sequence, doubtful, store_revision))
                case _:
                    self._leave(hub.id)
        return None

    def watch(self, revision: int, wait_s: float) -> Result[Changes, SourceFailure]:
        """Wait for changes at the source that was listed."""
        hub = self._followed
        if not self._is_still_to_follow(hub):
            return Err(SourceFailure.HISTORY_GONE)
        if hub is None:
            watched = self._direct.watch(revision, wait_s)
            if isinstance(watched, Ok):
                self._saw(watched.ok_value.objects)
            return watched
        poll_s = min(wait_s, self._terms.wait_s)
        path = f"{RELAY_PATH}{self._terms.kind}?after={revision}&wait_ms={int(poll_s * MS_PER_S)}"
        path += "&large=1" if self.is_on_fallback_hub else ""
        match self._ask(hub, path, poll_s + HUB_SLACK_S):
            case Ok(message):
                objects = tuple(each.stored() for each in message.objects)
                self._saw(objects)
                return Ok(Changes(objects, message.sequence, message.store_revision))
            case Err(SourceFailure.HISTORY_GONE | SourceFailure.INTERRUPTED):
                return Err(SourceFailure.HISTORY_GONE)
            case Err(SourceFailure.TOO_LARGE):
                self._direct_until_s = self._clock() + TOO_LARGE_S
                return Err(SourceFailure.HISTORY_GONE)
            case _:
                self._leave(hub.id)
                return Err(SourceFailure.HISTORY_GONE)

    def _is_still_to_follow(self, followed: Peer | None) -> bool:
        if self._substitute_until_s is not None:
            return self._clock() < self._substitute_until_s
        if self._clock() < self._direct_until_s:
            return followed is None
        hub = self._hubs.my_hub()
        return (hub and hub.id) == (followed and followed.id)

    def _saw(self, objects: Sequence[StoredObject]) -> None:
        newest = max((each.revision for each in objects), default=0)
        self._seen_revision = max(self._seen_revision, newest)

    def interrupt(self, is_behind: bool) -> None:
        """End the call of the store in progress, or leave a hub that seems to be behind.

        A hub leaves the other that it follows, as it can reach the store again.
        """
        followed = self._followed
        if followed is None:
            self._direct.interrupt(is_behind)
        elif is_behind:
            self._note_lost(followed.id)
            self._hubs.avoid(followed.id)
        elif self.is_on_fallback_hub:
            self._interrupt.set()

    def _leave_avoided(self, hub: EntryId) -> None:
        """Leave a hub that the poll of another kind has found silent or not sound."""
        if self._followed is not None and self._followed.id == hub:
            self._interrupt.set()

    def _leave(self, hub: EntryId) -> None:
        self._note_lost(hub)
        self._followed = None
        self._hubs.avoid(hub)

    def _note_lost(self, hub: EntryId) -> None:
        self._log.dependency("hub", hub, is_lost=True, objects=self._terms.kind)

    def _ask(
        self, hub: Peer, path: str, timeout_s: float
    ) -> Result[_ObjectsMessage, SourceFailure]:
        until_s = time.monotonic() + timeout_s
        request = BufferedRequest("GET", path)
        match exchange(self._pool, hub.control_address, request, until_s, self._interrupt):
            case Ok(BufferedReply(status=200, body=body)):
                pass
            case Ok(BufferedReply(status=410)):
                return Err(SourceFailure.HISTORY_GONE)
            case Ok(BufferedReply(status=413)):
                return Err(SourceFailure.TOO_LARGE)
            case Err(CallerLeft()):
                self._interrupt.clear()
                return Err(SourceFailure.INTERRUPTED)
            case _:
                return Err(SourceFailure.UNREACHABLE)
        try:
            plain = zlib.decompressobj().decompress(body, LIST_BYTES_MAX)
            return Ok(_ObjectsMessage.model_validate_json(plain))
        except (zlib.error, ValidationError):
            return Err(SourceFailure.MALFORMED)
