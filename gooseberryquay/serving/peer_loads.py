"""Tell peers the load at each engine and how far the store was read, and hear the same."""

import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from pydantic import BaseModel, Field, ValidationError
from result import Ok

from gooseberryquay.ids import EntryId, UpstreamId
from gooseberryquay.links.http_server import Request, Response, Router
from gooseberryquay.machines.membership import Membership
from gooseberryquay.machines.peer import Peer
from gooseberryquay.serving.placement import PeerLoad
from gooseberryquay.serving.upstream_load import LoadTable

__all__ = ["PeerLoadExchange"]

LOAD_PATH = "/peers/load"
PERIOD_S = 0.2
SEND_TIMEOUT_S = 0.4
# A peer that was not heard for this long says nothing about now.
STALE_S = 3.0
LOADS_PER_MESSAGE_MAX = 64
HTTP_OK = 200
HTTP_BAD_REQUEST = 400
NO_LOAD = PeerLoad(0, 0.0, 0.0, 0.0)


class _LoadRecord(BaseModel):
    upstream: str = Field(alias="u")
    runs: int = Field(alias="n")
    held_tokens: int = Field(alias="h")
    growth_tokens: int = Field(alias="g")
    unread_tokens: int = Field(alias="p", default=0)


class _LoadMessage(BaseModel):
    entry: str = Field(alias="e")
    loads: list[_LoadRecord] = Field(alias="l")
    revisions: dict[str, int] = Field(alias="r", default_factory=dict)


@dataclass(frozen=True, slots=True)
class _Heard:
    at_s: float
    loads: dict[UpstreamId, PeerLoad]


class PeerLoadExchange:
    """Exchange loads with one peer after the other; safe for use by many threads."""

    def __init__(
        self,
        loads: LoadTable,
        membership: Membership,
        revisions: Callable[[], dict[str, int]] = dict,
        on_revisions: Callable[[dict[str, int]], None] = lambda _revisions: None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._loads = loads
        self._membership = membership
        self._revisions = revisions
        self._on_revisions = on_revisions
        self._clock = clock
        self._heard: dict[EntryId, _Heard] = {}
        self._round: list[Peer] = []
        self._stopped = threading.Event()

    def add_routes(self, router: Router) -> None:
        """Serve the other entries."""
        router.add("POST", LOAD_PATH, self._answer)

    def start(self) -> None:
        """Exchange in the background."""
        threading.Thread(target=self._run, name="peer-loads", daemon=True).start()

    def stop(self) -> None:
        """End the exchange."""
        self._stopped.set()

    def of(self, upstream: UpstreamId) -> PeerLoad:
        """Sum up the load of all other entries at one upstream."""
        oldest_s = self._clock() - STALE_S
        runs, held_tokens, growth_tokens, unread_tokens = 0, 0.0, 0.0, 0.0
        for heard in list(self._heard.values()):
            load = heard.loads.get(upstream)
            if load is not None and heard.at_s >= oldest_s:
                runs += load.runs
                held_tokens += load.held_tokens
                growth_tokens += load.growth_tokens
                unread_tokens += load.unread_tokens
        return PeerLoad(runs, held_tokens, growth_tokens, unread_tokens) if runs else NO_LOAD

    def entry_count(self) -> int:
        """Give the number of live entries, this one included."""
        return max(1, len(self._membership.live()))

    def _run(self) -> None:
        while not self._stopped.wait(PERIOD_S * random.uniform(0.9, 1.1)):
            self._exchange_with_next()

    def _exchange_with_next(self) -> None:
        if not self._round:
            myself = self._membership.myself().id
            self._round = [each for each in self._membership.live() if each.id != myself]
            random.shuffle(self._round)
            self._forget_silent()
        if not self._round:
            return
        peer = self._round.pop()
        sent = self._membership.send(peer, LOAD_PATH, self._message(), SEND_TIMEOUT_S)
        if isinstance(sent, Ok) and sent.ok_value.status == HTTP_OK:
            self._hear(sent.ok_value.body)

    def _answer(self, request: Request) -> Response:
        if not self._hear(request.body):
            return Response(status=HTTP_BAD_REQUEST, body=b"{}")
        return Response(body=self._message().model_dump_json(by_alias=True).encode())

    def _hear(self, body: bytes) -> bool:
        try:
            message = _LoadMessage.model_validate_json(body)
        except ValidationError:
            return False
        loads = {
            UpstreamId(each.upstream): PeerLoad(
                each.runs, each.held_tokens, each.growth_tokens, each.unread_tokens
            )
            for each in message.loads
        }
        self._heard[EntryId(message.entry)] = _Heard(self._clock(), loads)
        self._on_revisions(message.revisions)
        return True

    def _message(self) -> _LoadMessage:
        records = [
            _LoadRecord(
                u=upstream,
                n=len(runs),
                h=sum(each.held_tokens for each in runs),
                g=int(sum(each.growth_tokens for each in runs)),
                p=sum(each.unread_tokens for each in runs),
            )
            for upstream, runs in self._loads.all_runs().items()
        ]
        records.sort(key=lambda each: each.held_tokens, reverse=True)
        return _LoadMessage(
            e=self._membership.myself().id,
            l=records[:LOADS_PER_MESSAGE_MAX],
            r=self._revisions(),
        )

    def _forget_silent(self) -> None:
        oldest_s = self._clock() - STALE_S
        for entry in [each for each, heard in self._heard.items() if heard.at_s < oldest_s]:
            self._heard.pop(entry, None)
