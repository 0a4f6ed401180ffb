"""Tell peers the load at each engine, who leaves and how far the store was read; hear the same."""

import random
import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from pydantic import BaseModel, Field, ValidationError
from result import Ok

from gooseberryquay.ids import EntryId, UpstreamId
from gooseberryquay.links.http_server import Request, Response, Router
from gooseberryquay.machines.membership import Membership
from gooseberryquay.machines.peer import Peer
from gooseberryquay.serving.hubs import HubSelector
from gooseberryquay.serving.placement import PeerLoad
from gooseberryquay.serving.upstream_load import LoadTable, Run

__all__ = ["PeerLoadExchange"]

LOAD_PATH = "/peers/load"
# Keeps an entry's control traffic within 5 KB/s.
PERIOD_S = 0.2
MEMBER_PERIOD_S = 0.4
SEND_TIMEOUT_S = 0.4
# A generation waits at most so long for news of its hub.
REFRESH_TIMEOUT_S = 0.15
FRESH_S = 0.02
# A peer that was not heard for this long says nothing about now.
STALE_S = 2.0
# Keeps a message within a few KB.
LOADS_PER_MESSAGE_MAX = 128
# Until the list of upstreams says so too.
LEAVING_PER_MESSAGE_MAX = 64
HTTP_OK = 200
HTTP_BAD_REQUEST = 400
# An incarnation that has said in an answer that it leaves: its upstream and its start.
LeavingNotice = tuple[UpstreamId, int | None]
NO_LOAD = PeerLoad(0, 0.0, 0.0, 0.0)


class _LoadRecord(BaseModel):
    upstream: str = Field(alias="u")
    runs: int = Field(alias="n")
    held_tokens: int = Field(alias="h")
    growth_tokens: int = Field(alias="g")
    unread_tokens: int = Field(alias="p", default=0)


class _LoadMessage(BaseModel):
    entry: str = Field(alias="e")
    is_of_hub: bool = Field(alias="k", default=False)
    loads: list[_LoadRecord] = Field(alias="l")
    revisions: dict[str, int] = Field(alias="r", default_factory=dict)
    leaving: Sequence[tuple[str, int | None]] = Field(alias="d", default_factory=list)


@dataclass(frozen=True, slots=True)
class _Heard:
    at_s: float
    is_of_hub: bool
    loads: dict[UpstreamId, PeerLoad]


class PeerLoadExchange:
    """Exchange loads with one peer after the other; safe for use by many threads."""

    def __init__(
        self,
        *,
        loads: LoadTable,
        membership: Membership,
        hubs: HubSelector,
        revisions: Callable[[], dict[str, int]] = dict,
        on_revisions: Callable[[dict[str, int]], None] = lambda _revisions: None,
        leaving: Callable[[], list[LeavingNotice]] = list,
        on_leaving: Callable[[UpstreamId, int | None], object] = lambda _upstream, _born_ms: None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._loads = loads
        self._membership = membership
        self._hubs = hubs
        self._revisions = revisions
        self._on_revisions = on_revisions
        self._leaving = leaving
        self._on_leaving = on_leaving
        self._clock = clock
        self._heard: dict[EntryId, _Heard] = {}
        self._round: list[Peer] = []
        self._refreshed_at_s = float("-inf")
        self._has_news = threading.Event()
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
        total = NO_LOAD
        for heard in list(self._heard.values()):
            load = heard.loads.get(upstream)
            if load is not None and not self._is_stale(heard):
                total = total.plus(load)
        return total

    def refresh(self) -> None:
        """Hear of all loads from this entry's hub before something is placed."""
        now_s = self._clock()
        if self._hubs.is_hub() or now_s - self._refreshed_at_s < FRESH_S:
            return
        hub = self._hubs.my_hub()
        if hub is not None:
            self._refreshed_at_s = now_s
            self._exchange_with(hub, REFRESH_TIMEOUT_S)

    def send_soon(self) -> None:
        """Tell this entry's hub of a change without waiting for the next period."""
        if not self._hubs.is_hub():
            self._has_news.set()

    def owns_engine(self, upstream: UpstreamId) -> bool:
        """Tell whether an engine's load is mostly of this entry's own cell."""
        return self._hubs.owns_engine(upstream)

    def _run(self) -> None:
        while not self._stopped.is_set():
            self._has_news.wait(self._period_s() * random.uniform(0.9, 1.1))
            self._has_news.clear()
            peer = self._next_peer()
            if peer is not None:
                self._exchange_with(peer, SEND_TIMEOUT_S)

    def _period_s(self) -> float:
        return PERIOD_S if self._hubs.is_hub() else MEMBER_PERIOD_S

    def _next_peer(self) -> Peer | None:
        """Give the next hub in turn, or the one hub that this entry tells its load."""
        if not self._hubs.is_hub():
            return self._hubs.my_hub()
        if not self._round:
            self._round = self._hubs.other_hubs()
            random.shuffle(self._round)
            self._forget_silent()
        return self._round.pop() if self._round else None

    def _exchange_with(self, peer: Peer, timeout_s: float) -> None:
        sent = self._membership.send(peer, LOAD_PATH, self._message_to(peer.id), timeout_s)
        if isinstance(sent, Ok) and sent.ok_value.status == HTTP_OK:
            self._hear(sent.ok_value.body)

    def _answer(self, request: Request) -> Response:
        sender = self._hear(request.body)
        if sender is None:
            return Response(status=HTTP_BAD_REQUEST, body=b"{}")
        return Response(body=self._message_to(sender).model_dump_json(by_alias=True).encode())

    def _hear(self, body: bytes) -> EntryId | None:
        """Take in a message and give its sender, or None where it is malformed."""
        try:
            message = _LoadMessage.model_validate_json(body)
        except ValidationError:
            return None
        loads = {
            UpstreamId(each.upstream): PeerLoad(
                each.runs, each.held_tokens, each.growth_tokens, each.unread_tokens
            )
            for each in message.loads
        }
        sender = EntryId(message.entry)
        self._heard[sender] = _Heard(self._clock(), message.is_of_hub, loads)
        self._on_revisions(message.revisions)
        for upstream, born_ms in message.leaving:
            self._on_leaving(UpstreamId(upstream), born_ms)
        return sender

    def _message_to(self, peer: EntryId) -> _LoadMessage:
        """Sum up what the peer does not know: a hub adds what its entries and hubs have told.

        Hubs tell each other only of themselves and their own entries, so that nothing counts twice.
        """
        is_hub = self._hubs.is_hub()
        totals = {upstream: _own_load(runs) for upstream, runs in self._loads.all_runs().items()}
        is_to_hub = any(each.id == peer for each in self._hubs.hubs())
        for entry, heard in list(self._heard.items()) if is_hub else []:
            if entry == peer or (is_to_hub and heard.is_of_hub) or self._is_stale(heard):
                continue
            for upstream, load in heard.loads.items():
                totals[upstream] = totals.get(upstream, NO_LOAD).plus(load)
        records = [
            _LoadRecord(
                u=upstream,
                n=load.runs,
                h=int(load.held_tokens),
                g=int(load.growth_tokens),
                p=int(load.unread_tokens),
            )
            for upstream, load in totals.items()
        ]
        records.sort(key=lambda each: each.held_tokens, reverse=True)
        return _LoadMessage(
            e=self._membership.this_entry().id,
            k=is_hub,
            l=records[:LOADS_PER_MESSAGE_MAX],
            r=self._revisions(),
            d=self._leaving()[:LEAVING_PER_MESSAGE_MAX],
        )

    def _is_stale(self, heard: _Heard) -> bool:
        return self._clock() - heard.at_s > STALE_S

    def _forget_silent(self) -> None:
        for entry in [each for each, heard in self._heard.items() if self._is_stale(heard)]:
            self._heard.pop(entry, None)


def _own_load(runs: list[Run]) -> PeerLoad:
    return PeerLoad(
        len(runs),
        sum(each.held_tokens for each in runs),
        sum(each.growth_tokens for each in runs),
        sum(each.unread_tokens for each in runs),
    )
