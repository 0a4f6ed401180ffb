"""Exchange engine loads, status of upstreams and read store revisions with peers."""

import random
import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from pydantic import BaseModel, Field, ValidationError
from result import Ok

from gooseberryquay.ids import EntryId, UpstreamId
from gooseberryquay.links.http_server import Request, Response, Router
from gooseberryquay.machines.membership import Membership
from gooseberryquay.machines.peer import Peer
from gooseberryquay.serving.demand_book import DemandBook, DemandField
from gooseberryquay.serving.engine_pace import EnginePaces
from gooseberryquay.serving.hubs import HubSelector
from gooseberryquay.serving.machine_slowdown import MachineSlowdowns
from gooseberryquay.serving.placement import PeerLoad
from gooseberryquay.serving.upstream_load import LoadTable, Run
from gooseberryquay.serving.upstream_registry import LimitNotice, LimitStatement, StatedLimit

__all__ = ["PeerLoadExchange"]

LOAD_PATH = "/peers/load"
# Keeps the control traffic of an entry within 5 KB/s.
PERIOD_S = 0.2
MEMBER_PERIOD_S = 0.4
SEND_TIMEOUT_S = 0.4
# Limit on the time that a generation waits for a refresh from the hub.
REFRESH_TIMEOUT_S = 0.15
REFRESH_INTERVAL_MIN_S = 0.02
# A report older than this says nothing about the current load.
STALE_S = 2.0
# Keeps a message within a few KB.
LOADS_PER_MESSAGE_MAX = 128
# A notice is repeated until the list of upstreams shows it too.
LEAVING_PER_MESSAGE_MAX = 64
LIMITS_PER_MESSAGE_MAX = 64
MS_PER_S = 1000.0
US_PER_S = 1_000_000.0
HTTP_OK = 200
HTTP_BAD_REQUEST = 400
# Incarnation that announced in a response that it is leaving: upstream id and start time in ms.
LeavingNotice = tuple[UpstreamId, int | None]
# Upstream id, start time in ms, limit per second or null, age of the statement in ms.
_LimitRecord = tuple[str, int | None, float | None, int]
NO_LOAD = PeerLoad(0, 0.0, 0.0, 0.0)


class _LoadRecord(BaseModel):
    upstream: str = Field(alias="u")
    runs: int = Field(alias="n")
    held_tokens: int = Field(alias="h")
    growth_tokens: int = Field(alias="g")
    unread_tokens: int = Field(alias="p", default=0)
    # Microseconds between the events of a lone stream there, 0 if not known.
    event_us: int = Field(alias="t", default=0)
    # Usual work time on the machine of the upstream in percent of its service's, 0 if not known.
    usual_percent: int = Field(alias="s", default=0)


class _LoadMessage(BaseModel):
    entry: str = Field(alias="e")
    is_of_hub: bool = Field(alias="k", default=False)
    loads: list[_LoadRecord] = Field(alias="l")
    revisions: dict[str, int] = Field(alias="r", default_factory=dict)
    leaving: Sequence[tuple[str, int | None]] = Field(alias="d", default_factory=list)
    rate_limits: Sequence[_LimitRecord] = Field(alias="q", default_factory=list)
    turn_away_limits: Sequence[_LimitRecord] = Field(alias="b", default_factory=list)
    # Slowdowns of the machines of each service in percent.
    slowdowns: dict[str, list[int]] = Field(alias="z", default_factory=dict)
    # Longest events of spans of streams in percent of the usual event there.
    spans: dict[str, list[int]] = Field(alias="y", default_factory=dict)
    demand: DemandField = Field(alias="w", default_factory=dict)
    # Reports on roll-outs in progress, which their reader validates.
    rollouts: list[Any] = Field(alias="o", default_factory=list)

    def limit_records(self) -> dict[StatedLimit, Sequence[_LimitRecord]]:
        """Return the statements by what they limit."""
        return {
            StatedLimit.REQUESTS: self.rate_limits,
            StatedLimit.TURN_AWAYS: self.turn_away_limits,
        }


@dataclass(frozen=True, slots=True)
class _ReceivedLoads:
    at_s: float
    is_of_hub: bool
    loads: dict[UpstreamId, PeerLoad]


class PeerLoadExchange:
    """Exchange loads with one peer at a time; thread-safe."""

    def __init__(
        self,
        *,
        loads: LoadTable,
        membership: Membership,
        hubs: HubSelector,
        revisions: Callable[[], dict[str, int]] = dict,
        on_revisions: Callable[[EntryId, dict[str, int]], None] = lambda _peer, _revisions: None,
        leaving: Callable[[], list[LeavingNotice]] = list,
        on_leaving: Callable[[UpstreamId, int | None], object] = lambda _upstream, _born_ms: None,
        limits: Callable[[], list[LimitNotice]] = list,
        on_limit: Callable[[LimitNotice], object] = lambda _notice: None,
        paces: EnginePaces | None = None,
        slowdowns: MachineSlowdowns | None = None,
        rollouts: Callable[[EntryId, bool, bool], list[dict[str, Any]]] = lambda *_: [],
        on_rollouts: Callable[[EntryId, bool, list[Any]], object] = lambda *_: None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._loads = loads
        self._membership = membership
        self._hubs = hubs
        self._revisions = revisions
        self._on_revisions = on_revisions
        self._leaving = leaving
        self._on_leaving = on_leaving
        self._limits = limits
        self._on_limit = on_limit
        self._paces = paces
        self._slowdowns = slowdowns
        self.demand = DemandBook(clock)
        self._rollouts = rollouts
        self._on_rollouts = on_rollouts
        self._clock = clock
        self._received: dict[EntryId, _ReceivedLoads] = {}
        self._round: list[Peer] = []
        self._refreshed_at_s = float("-inf")
        self._push_requested = threading.Event()
        self._stopped = threading.Event()

    def add_routes(self, router: Router) -> None:
        """Register the route that serves other entries."""
        router.add("POST", LOAD_PATH, self._handle_request)

    def start(self) -> None:
        """Start the background thread."""
        threading.Thread(target=self._run, name="peer-loads", daemon=True).start()

    def stop(self) -> None:
        """Stop the background thread."""
        self._stopped.set()

    def load_at(self, upstream: UpstreamId) -> PeerLoad:
        """Return the total load of all other entries at one upstream."""
        total = NO_LOAD
        for received in list(self._received.values()):
            load = received.loads.get(upstream)
            if load is not None and not self._is_stale(received):
                total = total.plus(load)
        return total

    def has_heard_from_all(self) -> bool:
        """Return whether each entry with which loads are exchanged has sent its own lately."""
        hubs = self._hubs.other_hubs() if self._hubs.is_hub() else [self._hubs.my_hub()]
        received = [self._received.get(each.id) for each in hubs if each is not None]
        return bool(hubs) and all(each and not self._is_stale(each) for each in received)

    def heard_share(self) -> float:
        """Return the share of the entries with which loads are exchanged that have sent lately."""
        hubs = self._hubs.other_hubs() if self._hubs.is_hub() else [self._hubs.my_hub()]
        received = [self._received.get(each.id) for each in hubs if each is not None]
        heard = sum(each is not None and not self._is_stale(each) for each in received)
        return heard / len(received) if received else 0.0

    def refresh(self) -> None:
        """Fetch all loads from this entry's hub before a placement."""
        now_s = self._clock()
        if self._hubs.is_hub() or now_s - self._refreshed_at_s < REFRESH_INTERVAL_MIN_S:
            return
        hub = self._hubs.my_hub()
        if hub is not None:
            self._refreshed_at_s = now_s
            self._exchange_with(hub, REFRESH_TIMEOUT_S)

    def send_soon(self) -> None:
        """Send the load to this entry's hub without waiting for the next period."""
        if not self._hubs.is_hub():
            self._push_requested.set()

    def owns_engine(self, upstream: UpstreamId) -> bool:
        """Return whether this entry's cell owns an engine, and so knows most of its load."""
        return self._hubs.owns_engine(upstream)

    def _run(self) -> None:
        while not self._stopped.is_set():
            self._push_requested.wait(self._period_s() * random.uniform(0.9, 1.1))
            self._push_requested.clear()
            peer = self._next_peer()
            if peer is not None:
                self._exchange_with(peer, SEND_TIMEOUT_S)

    def _period_s(self) -> float:
        return PERIOD_S if self._hubs.is_hub() else MEMBER_PERIOD_S

    def _next_peer(self) -> Peer | None:
        """Return the next hub in a shuffled round; a member always uses its own hub."""
        if not self._hubs.is_hub():
            return self._hubs.my_hub()
        if not self._round:
            self._round = self._hubs.other_hubs()
            random.shuffle(self._round)
            self._drop_stale()
        return self._round.pop() if self._round else None

    def _exchange_with(self, peer: Peer, timeout_s: float) -> None:
        sent = self._membership.send(peer, LOAD_PATH, self._message_to(peer.id), timeout_s)
        if isinstance(sent, Ok) and sent.ok_value.status == HTTP_OK:
            self._receive(sent.ok_value.body)

    def _handle_request(self, request: Request) -> Response:
        sender = self._receive(request.body)
        if sender is None:
            return Response(status=HTTP_BAD_REQUEST, body=b"{}")
        return Response(body=self._message_to(sender).model_dump_json(by_alias=True).encode())

    def _receive(self, body: bytes) -> EntryId | None:
        """Apply a message and return its sender, or None if it is malformed."""
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
        self._received[sender] = _ReceivedLoads(self._clock(), message.is_of_hub, loads)
        if self._paces is not None:
            self._paces.record_told(
                (UpstreamId(each.upstream), each.event_us / US_PER_S)
                for each in message.loads
                if each.event_us > 0
            )
        if self._slowdowns is not None:
            self._slowdowns.receive_report(message.slowdowns, message.is_of_hub)
            self._slowdowns.receive_span_report(message.spans, message.is_of_hub)
            for each in message.loads:
                if each.usual_percent > 0:
                    self._slowdowns.receive_usual(UpstreamId(each.upstream), each.usual_percent)
        self.demand.receive(sender, message.is_of_hub, message.demand)
        self._on_revisions(sender, message.revisions)
        self._on_rollouts(sender, message.is_of_hub, message.rollouts)
        for upstream, born_ms in message.leaving:
            self._on_leaving(UpstreamId(upstream), born_ms)
        # A statement must not look newer than it is, however long the message took.
        sent_at_s = self._clock() - SEND_TIMEOUT_S
        for limit, records in message.limit_records().items():
            for upstream, born_ms, per_s, age_ms in records:
                statement = LimitStatement(per_s, sent_at_s - age_ms / MS_PER_S)
                self._on_limit((UpstreamId(upstream), born_ms, limit, statement))
        return sender

    def _message_to(self, peer: EntryId) -> _LoadMessage:
        """Build a message for a peer; a hub adds the loads received from entries and hubs.

        Hubs send each other only their own load and that of their entries, so that no load is
        counted twice.
        """
        is_hub = self._hubs.is_hub()
        totals = {upstream: _own_load(runs) for upstream, runs in self._loads.all_runs().items()}
        is_to_hub = any(each.id == peer for each in self._hubs.hubs())
        for entry, received in list(self._received.items()) if is_hub else []:
            if entry == peer or (is_to_hub and received.is_of_hub) or self._is_stale(received):
                continue
            for upstream, load in received.loads.items():
                totals[upstream] = totals.get(upstream, NO_LOAD).plus(load)
        records = [
            _LoadRecord(
                u=upstream,
                n=load.runs,
                h=int(load.held_tokens),
                g=int(load.growth_tokens),
                p=int(load.unread_tokens),
                t=self._event_us(upstream, is_hub),
                s=self._slowdowns.usual_percent(upstream) if self._slowdowns is not None else 0,
            )
            for upstream, load in totals.items()
        ]
        records.sort(key=lambda each: each.held_tokens, reverse=True)
        slowdowns, spans = self._slowdown_reports(is_hub, is_to_hub)
        return _LoadMessage(
            e=self._membership.this_entry().id,
            k=is_hub,
            l=records[:LOADS_PER_MESSAGE_MAX],
            r=self._revisions(),
            d=self._leaving()[:LEAVING_PER_MESSAGE_MAX],
            q=self._limit_records(StatedLimit.REQUESTS),
            b=self._limit_records(StatedLimit.TURN_AWAYS),
            z=slowdowns,
            y=spans,
            w=self.demand.message_to(peer, is_hub, is_to_hub),
            o=self._rollouts(peer, is_hub, is_to_hub),
        )

    def _slowdown_reports(
        self, is_hub: bool, is_to_hub: bool
    ) -> tuple[dict[str, list[int]], dict[str, list[int]]]:
        """Return a hub's summaries for its followers, or new samples for a hub."""
        if self._slowdowns is None or is_hub == is_to_hub:
            return {}, {}
        return self._slowdowns.report(is_hub), self._slowdowns.span_report(is_hub)

    def _event_us(self, upstream: UpstreamId, is_hub: bool) -> int:
        """Return the pace to tell of an engine; only hubs pass on what others have told."""
        if self._paces is None:
            return 0
        event_s = self._paces.shared(upstream) if is_hub else self._paces.own(upstream)
        return 0 if event_s is None else int(event_s * US_PER_S)

    def _limit_records(self, limit: StatedLimit) -> list[_LimitRecord]:
        now_s = self._clock()
        records: list[_LimitRecord] = [
            (upstream, born_ms, stated.per_s, int((now_s - stated.stated_at_s) * MS_PER_S))
            for upstream, born_ms, stated_limit, stated in self._limits()
            if stated_limit is limit
        ]
        return records[:LIMITS_PER_MESSAGE_MAX]

    def _is_stale(self, received: _ReceivedLoads) -> bool:
        return self._clock() - received.at_s > STALE_S

    def _drop_stale(self) -> None:
        for entry in [
            each for each, received in self._received.items() if self._is_stale(received)
        ]:
            self._received.pop(entry, None)


def _own_load(runs: list[Run]) -> PeerLoad:
    return PeerLoad(
        len(runs),
        sum(each.held_tokens for each in runs),
        sum(each.growth_tokens for each in runs),
        sum(each.unread_tokens for each in runs),
    )
