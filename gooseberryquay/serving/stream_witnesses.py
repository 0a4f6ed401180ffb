"""Origins of streams kept by peers, for entries that can't write them to the store."""

import queue
import threading
import time
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from pydantic import BaseModel, ConfigDict, ValidationError
from result import Ok

from gooseberryquay.ids import EntryId, RequestId
from gooseberryquay.links.http_client import Reply
from gooseberryquay.links.http_server import Request, Response, Router
from gooseberryquay.machines.peer import Peer, Peers
from gooseberryquay.machines.rendezvous import first_owners
from gooseberryquay.serving.version_history import StreamOrigin

__all__ = [
    "NO_WITNESSES",
    "OriginKeeper",
    "PeerAnswers",
    "StreamWitnesses",
    "Witnesses",
    "add_witness_routes",
]

KEEP_PATH = "/streams/keep"
FIND_PATH = "/streams/find"
# An entry and one of its witnesses may end together.
WITNESSES = 2
# Peers that are asked, in the order of a stream; some of them may be down or unknown elsewhere.
ASKED_MAX = 5
KEEP_TIMEOUT_S = 0.3
FIND_TIMEOUT_S = 0.4
# A peer that has not answered is asked to keep records after the others for this long.
SILENT_S = 2.0
HTTP_OK = 200
HTTP_BAD_REQUEST = 400
HTTP_UNAVAILABLE = 503


class _Message(BaseModel):
    model_config = ConfigDict(frozen=True)


class _KeepRequest(_Message):
    streams: dict[str, StreamOrigin]


class _FindRequest(_Message):
    streams: tuple[str, ...]
    # Whether the peer is to read the store for streams that it doesn't know.
    reads_store: bool = False


class _FindAnswer(_Message):
    streams: dict[str, StreamOrigin]
    # For how long the peer has kept what it was told.
    kept_for_s: float


@dataclass(frozen=True, slots=True)
class PeerAnswers:
    """What peers know of a stream.

    `kept_for_s` holds, for each peer asked, for how long it has kept origins; 0 if it did not
    answer. Unless `are_all_asked`, there are more peers.
    """

    origin: StreamOrigin | None
    kept_for_s: tuple[float, ...]
    are_all_asked: bool


class Witnesses(Protocol):
    """Let peers keep origins of streams, and ask for them."""

    def keep(self, stream: RequestId, origin: StreamOrigin, until_s: float) -> bool:
        """Let peers keep an origin; return whether so many do that one of them may end."""

    def find(self, stream: RequestId, reads_store: bool) -> PeerAnswers:
        """Ask peers for the origin of a stream, which they may read from the store."""


class OriginKeeper(Protocol):
    """Keep the origins that peers send, and look origins up for them."""

    def keep_for_peer(self, origins: Mapping[RequestId, StreamOrigin]) -> bool:
        """Keep origins; return False if there is no room."""

    def find_for_peer(
        self, streams: Iterable[RequestId], reads_store: bool
    ) -> dict[RequestId, StreamOrigin]:
        """Return the origins that are known, those in the store if it is to be read."""

    def kept_for_s(self) -> float:
        """Return for how long origins have been kept here."""


class _NoWitnesses:
    """Stand for the peers of an entry that has none."""

    def keep(self, _stream: RequestId, _origin: StreamOrigin, _until_s: float) -> bool:
        """Return False, as no peer keeps anything."""
        return False

    def find(self, _stream: RequestId, _reads_store: bool) -> PeerAnswers:
        """Return that no peer knows anything."""
        return PeerAnswers(None, (), are_all_asked=True)


NO_WITNESSES = _NoWitnesses()


class StreamWitnesses:
    """Send origins to the first peers in the order of each stream, and ask the same peers.

    `known` returns the entries that were live recently, from which the order is made: an entry that
    has ended must not change which peers are asked.
    """

    def __init__(self, peers: Peers, known: Callable[[], Iterable[Peer]]) -> None:
        self._peers = peers
        self._known = known
        self._silent_until_s: dict[EntryId, float] = {}

    def keep(self, stream: RequestId, origin: StreamOrigin, until_s: float) -> bool:
        """Let peers keep an origin; return whether so many do that one of them may end.

        `until_s` is on the monotonic clock.
        """
        order = self._order_of(stream)
        live = {each.id for each in self._peers.live()}
        candidates = [each for each in order[:ASKED_MAX] if each.id in live]
        missing_count = min(WITNESSES, len(order))
        if len(candidates) < missing_count or not order:
            return False
        message = _KeepRequest(streams={str(stream): origin})
        now_s = time.monotonic()
        candidates.sort(key=lambda each: self._silent_until_s.get(each.id, 0.0) > now_s)
        while missing_count and candidates and time.monotonic() < until_s:
            chosen, candidates = candidates[:missing_count], candidates[missing_count:]
            replies = self._send(chosen, KEEP_PATH, message, KEEP_TIMEOUT_S)
            for _ in chosen:
                peer, body = replies.get()
                missing_count -= body is not None
                if body is None:
                    self._silent_until_s[peer] = time.monotonic() + SILENT_S
        return missing_count == 0

    def find(self, stream: RequestId, reads_store: bool) -> PeerAnswers:
        """Ask peers for the origin of a stream; return as soon as one of them knows it."""
        order = self._order_of(stream)
        asked = order[:ASKED_MAX]
        message = _FindRequest(streams=(str(stream),), reads_store=reads_store)
        replies = self._send(asked, FIND_PATH, message, FIND_TIMEOUT_S)
        kept_for_s: list[float] = []
        for _ in asked:
            answer = _parse_answer(replies.get()[1])
            origin = answer.streams.get(str(stream)) if answer is not None else None
            kept_for_s.append(answer.kept_for_s if answer is not None else 0.0)
            if origin is not None:
                return PeerAnswers(origin, tuple(kept_for_s), len(asked) == len(order))
        return PeerAnswers(None, tuple(kept_for_s), len(asked) == len(order))

    def _order_of(self, stream: RequestId) -> Sequence[Peer]:
        own_id = self._peers.this_entry().id
        others = {each.id: each for each in self._known() if each.id != own_id}
        # The newest incarnation of each may have another address.
        others.update({each.id: each for each in self._peers.live() if each.id != own_id})
        return first_owners(stream, others.values(), len(others))

    def _send(
        self, to: Iterable[Peer], path: str, message: BaseModel, timeout_s: float
    ) -> "queue.SimpleQueue[tuple[EntryId, bytes | None]]":
        """Send to all at once; return a queue of the bodies of their answers, None for failures."""
        replies: queue.SimpleQueue[tuple[EntryId, bytes | None]] = queue.SimpleQueue()

        def send(peer: Peer) -> None:
            body = None
            try:
                match self._peers.send(peer, path, message, timeout_s):
                    case Ok(Reply(status=status, body=content)) if status == HTTP_OK:
                        body = content
                    case _:
                        pass
            finally:
                replies.put((peer.id, body))

        for each in to:
            threading.Thread(target=send, args=(each,), name="witness", daemon=True).start()
        return replies


def add_witness_routes(router: Router, keeper: OriginKeeper) -> None:
    """Register the routes by which peers let origins be kept here, and ask for them."""

    def keep(request: Request) -> Response:
        try:
            message = _KeepRequest.model_validate_json(request.body)
        except ValidationError:
            return Response(status=HTTP_BAD_REQUEST, body=b"{}")
        origins = {RequestId(name): origin for name, origin in message.streams.items()}
        if not keeper.keep_for_peer(origins):
            return Response(status=HTTP_UNAVAILABLE, body=b"{}")
        return Response(body=b"{}")

    def find(request: Request) -> Response:
        try:
            message = _FindRequest.model_validate_json(request.body)
        except ValidationError:
            return Response(status=HTTP_BAD_REQUEST, body=b"{}")
        streams = [RequestId(each) for each in message.streams]
        found = keeper.find_for_peer(streams, message.reads_store)
        named = {str(name): origin for name, origin in found.items()}
        return Response.of(_FindAnswer(streams=named, kept_for_s=keeper.kept_for_s()))

    router.add("POST", KEEP_PATH, keep)
    router.add("POST", FIND_PATH, find)


def _parse_answer(body: bytes | None) -> _FindAnswer | None:
    if body is None:
        return None
    try:
        return _FindAnswer.model_validate_json(body)
    except ValidationError:
        return None
