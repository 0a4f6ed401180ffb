"""Relay objects of one kind from a hub to entries that do not watch the store themselves."""

import queue
import random
import threading
import time
import zlib
from collections import deque
from collections.abc import Callable, Iterator, Mapping, Sequence
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
# More changes than a large fleet receives between two polls.
HISTORY_MAX = 512
# Together with the margin below, an unresponsive hub is abandoned before the drain bound expires.
HUB_POLL_WAIT_S = 1.0
HUB_REPLY_MARGIN_S = 0.5
# After this time without the list of any hub, the store is queried.
HUB_LIST_TIMEOUT_S = 1.0
# Another hub is asked beside one that has not answered for this long. Together with the time of a
# poll, the list then stays within the bounds of a configuration and of a drain.
HUB_ANSWER_TIME_S = 0.3
# A hub asks another one beside the store after this time without an answer.
STORE_ANSWER_TIME_S = 0.4
# How long a kind whose list is too large for a hub's link is read from the store.
STORE_FALLBACK_S = 60.0
# How long a hub that cannot reach the store follows another hub before it retries the store.
FALLBACK_HUB_S = 5.0
# How often a waiting poll checks that the hub is still current.
SOURCE_CHECK_INTERVAL_S = 0.25
SEQUENCE_BITS = 40
# Names and keys are random; a higher level hardly compresses them further.
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
    status: Mapping[str, Any] | None = Field(alias="t", default=None)

    def stored(self) -> StoredObject:
        return StoredObject(
            self.name,
            self.revision,
            self.content,
            self.is_deleted,
            self.is_doubtful,
            self.status,
        )


class _ObjectsMessage(BaseModel):
    objects: list[_ObjectRecord] = Field(alias="o")
    sequence: int = Field(alias="at")
    store_revision: int = Field(alias="s")
    is_doubtful: bool = Field(alias="q", default=False)


@dataclass(frozen=True, slots=True)
class RelayOptions:
    """Configure how a kind is relayed.

    A poll that waits longer than the response timeout of a hub relies on the poll of another kind
    to detect an unresponsive hub.
    """

    kind: str
    wait_s: float = HUB_POLL_WAIT_S
    # Limit on the bytes that a hub sends over its link to all entries of its cell together.
    cell_bytes_max: int | None = None


@dataclass(frozen=True, slots=True)
class _Change:
    sequence: int
    changed: StoredObject


class ObjectRelay:
    """Keep the objects that a reader receives and serve them to other entries.

    Changes are numbered by a sequence with a random start, so that no entry resumes at a hub with
    a sequence number from another hub or from before a restart.
    """

    def __init__(
        self,
        options: RelayOptions,
        *,
        reader: ObjectReader,
        is_current: Callable[[], bool],
        known_revision: Callable[[], int],
        outage_grace_s: float,
        cell_size: Callable[[], int] = lambda: 1,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._options = options
        self._cell_size = cell_size
        self._outage_grace_s = outage_grace_s
        self._clock = clock
        self._doubtful_until_s = float("-inf")
        self._reader = reader
        self._known_revision = known_revision
        self._is_current = is_current
        self._listing: Listing | None = None
        self._objects: dict[str, StoredObject] = {}
        self._history: deque[_Change] = deque(maxlen=HISTORY_MAX)
        self._sequence = random.getrandbits(SEQUENCE_BITS)
        self._oldest_sequence = self._sequence
        self._changed = threading.Condition()

    def add_routes(self, router: Router) -> None:
        """Register the route that serves other entries."""
        router.add("GET", RELAY_PATH + self._options.kind, self._handle_request)

    def read_listing(self, listing: Listing, is_after_outage: bool) -> None:
        """Replace all objects; pollers at an earlier sequence number must list again."""
        self._reader.read_listing(listing, is_after_outage)
        is_doubtful = is_after_outage or listing.is_doubtful
        with self._changed:
            self._listing = listing
            if is_doubtful:
                self._doubtful_until_s = self._clock() + self._outage_grace_s
            self._objects = {each.name: each for each in listing.objects}
            self._history.clear()
            self._sequence += 1
            self._oldest_sequence = self._sequence
            self._changed.notify_all()

    def read_change(self, changed: StoredObject, is_after_outage: bool) -> None:
        """Apply one changed or deleted object."""
        self._reader.read_change(changed, is_after_outage)
        is_doubtful = is_after_outage or changed.is_doubtful
        with self._changed:
            if changed.is_deleted:
                self._objects.pop(changed.name, None)
            else:
                self._objects[changed.name] = changed
            if len(self._history) == HISTORY_MAX:
                self._oldest_sequence = self._history[0].sequence
            self._sequence += 1
            self._history.append(_Change(self._sequence, replace(changed, is_doubtful=is_doubtful)))
            self._changed.notify_all()

    def _handle_request(self, request: Request) -> Response:
        after, wait_ms = request.query.get("after"), request.query.get("wait_ms", "0")
        if not wait_ms.isdigit() or not (after is None or after.isdigit()):
            return Response(status=HTTP_BAD_REQUEST, body=b"{}")
        if self._listing is None or not self._is_current():
            return Response(status=HTTP_UNAVAILABLE, body=b"{}")
        if after is None:
            response = self._reply_with_listing()
        else:
            response = self._wait_for_changes(int(after), int(wait_ms) / MS_PER_S)
        if "large" not in request.query and self._is_too_large(response):
            return Response(status=HTTP_TOO_LARGE, body=b"{}")
        return response

    def _is_too_large(self, response: Response) -> bool:
        limit = self._options.cell_bytes_max
        if limit is None or not isinstance(response.body, bytes):
            return False
        return len(response.body) * self._cell_size() > limit

    def _reply_with_listing(self) -> Response:
        with self._changed:
            # Records that expired during the outage are registered again by then.
            is_doubtful = self._clock() < self._doubtful_until_s
            return self._reply(list(self._objects.values()), is_doubtful)

    def _wait_for_changes(self, after: int, wait_s: float) -> Response:
        until_s = time.monotonic() + min(wait_s, self._options.wait_s)
        check_s = (
            SOURCE_CHECK_INTERVAL_S if self._options.wait_s <= HUB_POLL_WAIT_S else HUB_POLL_WAIT_S
        )
        with self._changed:
            while True:
                if not self._oldest_sequence <= after <= self._sequence:
                    return Response(status=HTTP_GONE, body=b"{}")
                found = [each.changed for each in self._history if each.sequence > after]
                remaining_s = until_s - time.monotonic()
                if found or remaining_s <= 0.0:
                    return self._reply(found)
                if not self._is_current():
                    return Response(status=HTTP_UNAVAILABLE, body=b"{}")
                self._changed.wait(min(remaining_s, check_s))

    def _reply(self, objects: list[StoredObject], is_doubtful: bool = False) -> Response:
        records = [
            _ObjectRecord(
                n=each.name,
                r=each.revision,
                c=each.content,
                d=each.is_deleted,
                q=each.is_doubtful,
                t=each.status,
            )
            for each in objects
        ]
        message = _ObjectsMessage(
            o=records, at=self._sequence, s=self._known_revision(), q=is_doubtful
        )
        body = zlib.compress(message.model_dump_json(by_alias=True).encode(), COMPRESSION_LEVEL)
        return Response(body=body, content_type=COMPRESSED_TYPE)


@dataclass(frozen=True, slots=True)
class _FoundListing:
    hub: Peer
    message: _ObjectsMessage


class _HubSearch:
    """Ask hubs in order, the next one as soon as one fails or does not answer in time."""

    def __init__(
        self,
        hubs: Sequence[Peer],
        fetch: Callable[[Peer], Result[_ObjectsMessage, SourceFailure]],
    ) -> None:
        self._left = deque(hubs)
        self._fetch = fetch
        self._asked: dict[EntryId, Peer] = {}
        self._replies: queue.SimpleQueue[tuple[Peer, Result[_ObjectsMessage, SourceFailure]]] = (
            queue.SimpleQueue()
        )

    def replies(self) -> Iterator[tuple[Peer, Result[_ObjectsMessage, SourceFailure]]]:
        """Yield replies as they arrive, until all hubs have replied or the time is over."""
        until_s = time.monotonic() + HUB_LIST_TIMEOUT_S
        ask_at_s = time.monotonic()
        while self._left or self._asked:
            now_s = time.monotonic()
            if now_s >= until_s:
                return
            if self._left and (now_s >= ask_at_s or not self._asked):
                self._ask(self._left.popleft())
                ask_at_s = now_s + HUB_ANSWER_TIME_S
            wait_s = (min(ask_at_s, until_s) if self._left else until_s) - time.monotonic()
            try:
                hub, fetched = self._replies.get(timeout=max(0.0, wait_s))
            except queue.Empty:
                continue
            self._asked.pop(hub.id, None)
            yield hub, fetched

    def unanswered(self) -> list[Peer]:
        """Return the hubs that were asked and have not replied."""
        return list(self._asked.values())

    def _ask(self, hub: Peer) -> None:
        self._asked[hub.id] = hub
        threading.Thread(
            target=lambda: self._replies.put((hub, self._fetch(hub))), name="ask hub", daemon=True
        ).start()


class _ReadBeside:
    """Read from a hub in a thread while the store is read, after a delay.

    `on_found` is called with a listing that was found in time.
    """

    def __init__(
        self,
        read: Callable[[], _FoundListing | None],
        delay_s: float,
        on_found: Callable[[], None],
    ) -> None:
        self._read = read
        self._delay_s = delay_s
        self._on_found = on_found
        self._found: _FoundListing | None = None
        self._is_cancelled = False
        self._is_due = threading.Event()
        self._lock = threading.Lock()
        self._thread = threading.Thread(target=self._run, name="read beside", daemon=True)
        self._thread.start()

    def cancel(self) -> _FoundListing | None:
        """Ignore what is found from now on; return what has been found."""
        with self._lock:
            self._is_cancelled = True
        self._is_due.set()
        return self._found

    def wait(self) -> _FoundListing | None:
        """Read without further delay and return what is found."""
        self._is_due.set()
        self._thread.join()
        return self._found

    def _run(self) -> None:
        self._is_due.wait(self._delay_s)
        if self._is_cancelled:
            return
        found = self._read()
        with self._lock:
            if found is not None and not self._is_cancelled:
                self._found = found
                self._on_found()


class HubSource:
    """Follow a hub that is current if there is one, and the store itself otherwise.

    A hub watches the store, and so does an entry whose hub cannot relay a list of that size; both
    follow a hub while they cannot reach the store. Sequence numbers of a hub are not comparable to
    revisions of the store, so each change of source starts with a list. A list that is older than
    the newest known change is rejected.
    """

    def __init__(
        self,
        options: RelayOptions,
        store: ObjectSource,
        hubs: HubSelector,
        pool: ConnectionPool,
        log: DecisionLog,
        *,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._options = options
        self._clock = clock
        self._log = log
        self._store = store
        self._hubs = hubs
        self._pool = pool
        self._current_hub: Peer | None = None
        self._fallback_hub_until_s: float | None = None
        # Newest revision of this kind that was read from any source, and by any entry.
        self._seen_revision = 0
        self._peer_revision = 0
        self._peer_ahead: EntryId | None = None
        self._is_behind = False
        self._read_store_until_s = float("-inf")
        self._interrupt = Interrupt()
        hubs.on_avoid(self._on_hub_avoided)

    @property
    def is_on_fallback_hub(self) -> bool:
        """Return whether this entry follows a hub only because the store is unreachable."""
        return self._fallback_hub_until_s is not None

    def list(self) -> Result[Listing, SourceFailure]:
        """Return all objects, from a hub if one is available, and select the source for `watch`."""
        self._current_hub = None
        self._fallback_hub_until_s = None
        # The source is selected again in any case.
        self._interrupt.clear()
        if not self._hubs.is_hub() and self._clock() >= self._read_store_until_s:
            found = self._find_in_hubs(self._hubs.usable_hubs(), self._seen_revision)
            return self._follow(found) if found is not None else self._list_from_store()
        return self._list_from_store_or_hub()

    def _list_from_store_or_hub(self) -> Result[Listing, SourceFailure]:
        """List the store, and a hub beside it if the store does not answer or a peer is ahead."""
        delay_s = 0.0 if self._is_behind else STORE_ANSWER_TIME_S
        self._is_behind = False
        newest = max(self._seen_revision, self._peer_revision)
        beside = _ReadBeside(
            lambda: self._find_in_hubs(self._fallback_hubs(), newest, "?large=1"),
            delay_s,
            lambda: self._store.interrupt(False),
        )
        listed = self._list_from_store()
        if isinstance(listed, Ok):
            beside.cancel()
            return listed
        is_interrupted = listed.err_value is SourceFailure.INTERRUPTED
        found = beside.cancel() if is_interrupted else beside.wait()
        if found is None:
            return listed
        self._fallback_hub_until_s = self._clock() + FALLBACK_HUB_S
        return self._follow(found)

    def _list_from_store(self) -> Result[Listing, SourceFailure]:
        listed = self._store.list()
        if isinstance(listed, Ok):
            self._record_revisions(listed.ok_value.objects)
        return listed

    def _find_in_hubs(
        self, hubs: Sequence[Peer], required_revision: int, query: str = ""
    ) -> _FoundListing | None:
        """Ask hubs in order for a list that is new enough."""
        search = _HubSearch(hubs, lambda hub: self._fetch_listing(hub, query))
        for hub, fetched in search.replies():
            match fetched:
                case Err(SourceFailure.TOO_LARGE):
                    self._read_store_until_s = self._clock() + STORE_FALLBACK_S
                    return None
                case Ok(message) if message.store_revision >= required_revision:
                    # Hubs that were asked before and have not answered are unresponsive.
                    self._leave(search.unanswered())
                    return _FoundListing(hub, message)
                case _:
                    self._leave([hub])
        self._leave(search.unanswered())
        return None

    def _fallback_hubs(self) -> Sequence[Peer]:
        """Return the hubs that this one may follow, first the one that is known to be ahead."""
        return sorted(self._hubs.usable_hubs(), key=lambda each: each.id != self._peer_ahead)

    def _fetch_listing(self, hub: Peer, query: str) -> Result[_ObjectsMessage, SourceFailure]:
        return self._fetch(hub, RELAY_PATH + self._options.kind + query, HUB_LIST_TIMEOUT_S, None)

    def _leave(self, hubs: Sequence[Peer]) -> None:
        for each in hubs:
            self._log_hub_lost(each.id)
            self._hubs.avoid(each.id)

    def _follow(self, found: "_FoundListing") -> Ok[Listing]:
        hub, message = found.hub, found.message
        self._current_hub = hub
        self._log.dependency("hub", hub.id, is_lost=False, objects=self._options.kind)
        objects = tuple(each.stored() for each in message.objects)
        self._record_revisions(objects)
        doubtful, store_revision = message.is_doubtful, message.store_revision
        return Ok(Listing(objects, message.sequence, doubtful, store_revision, hub.id))

    def record_peer_revision(self, peer: EntryId, revision: int) -> None:
        """Remember which entry has read the newest known revision of this kind."""
        if revision > self._peer_revision:
            self._peer_revision, self._peer_ahead = revision, peer

    def watch(self, revision: int, wait_s: float) -> Result[Changes, SourceFailure]:
        """Wait for changes at the source that was listed last.

        Returns HISTORY_GONE if another source must be listed.
        """
        hub = self._current_hub
        if not self._is_source_current(hub):
            return Err(SourceFailure.HISTORY_GONE)
        if hub is None:
            watched = self._store.watch(revision, wait_s)
            if isinstance(watched, Ok):
                self._record_revisions(watched.ok_value.objects)
            return watched
        poll_s = min(wait_s, self._options.wait_s)
        path = f"{RELAY_PATH}{self._options.kind}?after={revision}&wait_ms={int(poll_s * MS_PER_S)}"
        path += "&large=1" if self.is_on_fallback_hub else ""
        match self._fetch(hub, path, poll_s + HUB_REPLY_MARGIN_S, self._interrupt):
            case Ok(message):
                objects = tuple(each.stored() for each in message.objects)
                self._record_revisions(objects)
                return Ok(Changes(objects, message.sequence, message.store_revision, hub.id))
            case Err(SourceFailure.HISTORY_GONE | SourceFailure.INTERRUPTED):
                return Err(SourceFailure.HISTORY_GONE)
            case Err(SourceFailure.TOO_LARGE):
                self._read_store_until_s = self._clock() + STORE_FALLBACK_S
                return Err(SourceFailure.HISTORY_GONE)
            case _:
                self._abandon_hub(hub.id)
                return Err(SourceFailure.HISTORY_GONE)

    def _is_source_current(self, current_hub: Peer | None) -> bool:
        if self._fallback_hub_until_s is not None:
            return self._clock() < self._fallback_hub_until_s
        if self._clock() < self._read_store_until_s:
            return current_hub is None
        hub = self._hubs.my_hub()
        return (hub and hub.id) == (current_hub and current_hub.id)

    def _record_revisions(self, objects: Sequence[StoredObject]) -> None:
        newest = max((each.revision for each in objects), default=0)
        self._seen_revision = max(self._seen_revision, newest)

    def interrupt(self, is_behind: bool) -> None:
        """Interrupt the store call in progress, or abandon a hub that lags behind.

        A hub that follows a fallback hub abandons it, as the store is reachable again.
        """
        current_hub = self._current_hub
        self._is_behind = self._is_behind or is_behind
        if current_hub is None:
            self._store.interrupt(is_behind)
        elif is_behind:
            self._log_hub_lost(current_hub.id)
            self._hubs.avoid(current_hub.id)
        elif self.is_on_fallback_hub:
            self._interrupt.set()

    def _on_hub_avoided(self, hub: EntryId) -> None:
        """Abandon a hub that the poll of another kind found unresponsive or not current."""
        if self._current_hub is not None and self._current_hub.id == hub:
            self._interrupt.set()

    def _abandon_hub(self, hub: EntryId) -> None:
        self._log_hub_lost(hub)
        self._current_hub = None
        self._hubs.avoid(hub)

    def _log_hub_lost(self, hub: EntryId) -> None:
        self._log.dependency("hub", hub, is_lost=True, objects=self._options.kind)

    def _fetch(
        self, hub: Peer, path: str, timeout_s: float, interrupt: Interrupt | None
    ) -> Result[_ObjectsMessage, SourceFailure]:
        until_s = time.monotonic() + timeout_s
        request = BufferedRequest("GET", path)
        match exchange(self._pool, hub.control_address, request, until_s, interrupt):
            case Ok(BufferedReply(status=200, body=body)):
                pass
            case Ok(BufferedReply(status=410)):
                return Err(SourceFailure.HISTORY_GONE)
            case Ok(BufferedReply(status=413 | 404)):
                # A hub of an earlier build does not relay each kind.
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
