"""One exchange of heartbeats with another entry."""

import logging
import math
import time
from collections.abc import Callable

from pydantic import ValidationError
from result import Err, Ok

from gooseberryquay.contracts.fields import Address
from gooseberryquay.ids import EntryId
from gooseberryquay.links.http_client import Reply
from gooseberryquay.links.http_server import Request, Response
from gooseberryquay.machines.control_budget import ControlBudget, TrafficClass
from gooseberryquay.machines.member_changes import ChangeQueue
from gooseberryquay.machines.member_messages import (
    Heartbeat,
    HeartbeatExtras,
    MemberList,
    MemberRecord,
    MemberState,
)
from gooseberryquay.machines.member_table import MemberTable
from gooseberryquay.machines.member_timing import MembershipTiming
from gooseberryquay.machines.pause_detector import PauseGuard
from gooseberryquay.machines.peer import Peer
from gooseberryquay.machines.peer_connections import PeerConnections

__all__ = ["HEARTBEAT_PATH", "MEMBERS_PATH", "ExtrasHooks", "MemberExchange"]

HEARTBEAT_PATH = "/heartbeat"
MEMBERS_PATH = "/members"
MAX_ATTEMPTS = 2
HTTP_OK = 200
HTTP_BAD_REQUEST = 400
HTTP_UNAVAILABLE = 503

log = logging.getLogger(__name__)


class ExtrasHooks:
    """Give the own extras and pass on those of other entries."""

    def __init__(
        self,
        own: Callable[[], HeartbeatExtras],
        on_received: Callable[[Peer, HeartbeatExtras], None],
    ) -> None:
        self.own = own
        self.on_received = on_received


class MemberExchange:
    """Send heartbeats, answer them, and read whole member lists."""

    def __init__(
        self,
        table: MemberTable,
        changes: ChangeQueue,
        links: PeerConnections,
        *,
        timing: MembershipTiming,
        guard: PauseGuard,
        hooks: ExtrasHooks,
        budget: ControlBudget,
    ) -> None:
        self._table = table
        self._changes = changes
        self._links = links
        self._timing = timing
        self._guard = guard
        self._hooks = hooks
        self._budget = budget
        self._next_pull_s = 0.0

    def probe(self, to: Address, target: MemberRecord | None) -> EntryId | None:
        """Exchange heartbeats, on a new connection where a kept one fails; name who answered."""
        for _attempt in range(MAX_ATTEMPTS):
            body = self._build(_if_doubted(target)).encode()
            sent_at_s = time.monotonic()
            sent = self._links.send(to, "POST", HEARTBEAT_PATH, body, self._timing.probe_timeout_s)
            round_trip_s = time.monotonic() - sent_at_s
            match sent:
                case Ok(Reply(status=status, body=answer)) if status == HTTP_OK:
                    return self._take_answer(answer, round_trip_s)
                case Err(failure) if not failure.was_sent:
                    return None
                case _:
                    pass
        return None

    def pull(self, to: Address) -> bool:
        """Read another entry's whole member list; tell whether it was given."""
        sent = self._links.send(to, "GET", MEMBERS_PATH, b"", self._timing.relay_timeout_s)
        match sent:
            case Ok(Reply(status=status, body=answer)) if status == HTTP_OK:
                self._take_list(answer)
                return True
            case _:
                log.info("member list not read", extra={"peer": str(to)})
                return False

    def pull_if_different(self, to: Address, digest: str) -> None:
        """Read a member list that differs, but seldom."""
        now_s = time.monotonic()
        if digest == self._table.digest or now_s < self._next_pull_s:
            return
        if not self._budget.allows(TrafficClass.MEMBER_LIST):
            return
        self._next_pull_s = now_s + self._timing.pull_interval_s(len(self._table.live()))
        if not self.pull(to):
            self._next_pull_s = now_s + self._timing.period_s

    def answer_heartbeat(self, request: Request) -> Response:
        """Take in another entry's heartbeat and answer with the own."""
        try:
            heartbeat = Heartbeat.model_validate_json(request.body)
        except ValidationError:
            return Response(status=HTTP_BAD_REQUEST)
        self._take(heartbeat)
        self._pass_on_extras(heartbeat.sender, _without_age(heartbeat.extras))
        newer = self._newer_than(heartbeat.sender)
        return Response(body=self._build(newer).encode())

    def answer_members(self, _request: Request) -> Response:
        """Give all members believed present, or 503 after a pause or in a mass change."""
        if self._guard.is_overdue():
            return Response(status=HTTP_UNAVAILABLE)
        wait_s = self._budget.wait_s(TrafficClass.MEMBER_LIST)
        if wait_s > 0:
            headers = {"Retry-After": str(math.ceil(wait_s))}
            return Response(status=HTTP_UNAVAILABLE, headers=headers)
        members = (self._table.this_entry, *self._table.present())
        return Response(body=MemberList(members=members).encode())

    def _build(self, receiver: MemberRecord | None) -> Heartbeat:
        changes: tuple[MemberRecord, ...] = ()
        if not self._guard.is_overdue():
            is_short = not self._budget.allows(TrafficClass.MEMBER_CHANGES)
            changes = self._changes.next_batch(len(self._table.live()), is_short=is_short)
        return Heartbeat(
            sender=self._table.this_entry,
            receiver=receiver,
            changes=changes,
            digest=self._table.digest,
            extras=self._hooks.own(),
        )

    def _newer_than(self, record: MemberRecord) -> MemberRecord | None:
        held = self._table.get(record.id)
        return held if held is not None and held.order() > record.order() else None

    def _take(self, heartbeat: Heartbeat) -> None:
        self._table.merge(heartbeat.sender)
        if heartbeat.receiver is not None:
            self._table.merge(heartbeat.receiver)
        for record in heartbeat.changes:
            self._table.merge(record)

    def _take_answer(self, body: bytes, round_trip_s: float) -> EntryId | None:
        try:
            heartbeat = Heartbeat.model_validate_json(body)
        except ValidationError:
            return None
        self._take(heartbeat)
        self._pass_on_extras(heartbeat.sender, _aged(heartbeat.extras, round_trip_s))
        self.pull_if_different(heartbeat.sender.control_address, heartbeat.digest)
        return heartbeat.sender.id

    def _take_list(self, body: bytes) -> None:
        try:
            members = MemberList.model_validate_json(body).members
        except ValidationError:
            return
        for record in members:
            self._table.merge(record, is_news=False)

    def _pass_on_extras(self, sender: MemberRecord, extras: HeartbeatExtras) -> None:
        held = self._table.get(sender.id)
        if held is not None and held.is_present() and held.incarnation == sender.incarnation:
            self._hooks.on_received(sender.peer(), extras)


def _if_doubted(record: MemberRecord | None) -> MemberRecord | None:
    if record is None or record.state is MemberState.ALIVE:
        return None
    return record


def _without_age(extras: HeartbeatExtras) -> HeartbeatExtras:
    """Drop the age from a request, which may have been held up while its sender was paused."""
    return extras.model_copy(update={"confirmed_age_s": None})


def _aged(extras: HeartbeatExtras, round_trip_s: float) -> HeartbeatExtras:
    """Add the round trip to the age in an answer, an upper bound of its time on the way."""
    if extras.confirmed_age_s is None:
        return extras
    return extras.model_copy(update={"confirmed_age_s": extras.confirmed_age_s + round_trip_s})
