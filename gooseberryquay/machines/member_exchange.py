"""Exchange of heartbeats and member lists with other entries."""

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
from gooseberryquay.machines.pause_detector import PauseDetector
from gooseberryquay.machines.peer import Peer
from gooseberryquay.machines.peer_connections import PeerConnections

__all__ = ["HEARTBEAT_PATH", "MEMBERS_PATH", "ExtrasCallbacks", "MemberExchange"]

HEARTBEAT_PATH = "/heartbeat"
MEMBERS_PATH = "/members"
MAX_ATTEMPTS = 2
HTTP_OK = 200
HTTP_BAD_REQUEST = 400
HTTP_UNAVAILABLE = 503

log = logging.getLogger(__name__)


class ExtrasCallbacks:
    """Provide the extras of this entry and receive those of other entries."""

    def __init__(
        self,
        own: Callable[[], HeartbeatExtras],
        on_received: Callable[[Peer, HeartbeatExtras], None],
    ) -> None:
        self.own = own
        self.on_received = on_received


class MemberExchange:
    """Send heartbeats, respond to them, and pull full member lists."""

    def __init__(
        self,
        table: MemberTable,
        changes: ChangeQueue,
        connections: PeerConnections,
        *,
        timing: MembershipTiming,
        pause_detector: PauseDetector,
        callbacks: ExtrasCallbacks,
        budget: ControlBudget,
    ) -> None:
        self._table = table
        self._changes = changes
        self._connections = connections
        self._timing = timing
        self._pause_detector = pause_detector
        self._callbacks = callbacks
        self._budget = budget
        self._next_pull_s = 0.0

    def probe(self, to: Address, target: MemberRecord | None) -> EntryId | None:
        """Exchange heartbeats, retrying on a new connection; return the id of the responder."""
        for _attempt in range(MAX_ATTEMPTS):
            body = self._build(_unless_alive(target)).encode()
            sent_at_s = time.monotonic()
            sent = self._connections.send(
                to, "POST", HEARTBEAT_PATH, body, self._timing.probe_timeout_s
            )
            round_trip_s = time.monotonic() - sent_at_s
            match sent:
                case Ok(Reply(status=status, body=response_body)) if status == HTTP_OK:
                    return self._handle_response(response_body, round_trip_s)
                case Err(failure) if not failure.was_sent:
                    return None
                case _:
                    pass
        return None

    def pull(self, to: Address) -> bool:
        """Pull the full member list of another entry; return whether it was provided."""
        sent = self._connections.send(to, "GET", MEMBERS_PATH, b"", self._timing.relay_timeout_s)
        match sent:
            case Ok(Reply(status=status, body=response_body)) if status == HTTP_OK:
                self._merge_list(response_body)
                return True
            case _:
                log.info("cannot read member list", extra={"peer": str(to)})
                return False

    def pull_if_different(self, to: Address, digest: str) -> None:
        """Pull a member list whose digest differs, at a limited rate."""
        now_s = time.monotonic()
        if digest == self._table.digest or now_s < self._next_pull_s:
            return
        if not self._budget.allows(TrafficClass.MEMBER_LIST):
            return
        self._next_pull_s = now_s + self._timing.pull_interval_s(len(self._table.live()))
        if not self.pull(to):
            self._next_pull_s = now_s + self._timing.period_s

    def handle_heartbeat(self, request: Request) -> Response:
        """Merge the heartbeat of another entry and respond with the own one."""
        try:
            heartbeat = Heartbeat.model_validate_json(request.body)
        except ValidationError:
            return Response(status=HTTP_BAD_REQUEST)
        self._merge_heartbeat(heartbeat)
        self._deliver_extras(heartbeat.sender, _without_age(heartbeat.extras))
        newer = self._newer_than(heartbeat.sender)
        return Response(body=self._build(newer).encode())

    def handle_member_list(self, _request: Request) -> Response:
        """Return all present members, or 503 after a pause or, as in a mass change, over budget."""
        if self._pause_detector.is_overdue():
            return Response(status=HTTP_UNAVAILABLE)
        wait_s = self._budget.wait_s(TrafficClass.MEMBER_LIST)
        if wait_s > 0:
            headers = {"Retry-After": str(math.ceil(wait_s))}
            return Response(status=HTTP_UNAVAILABLE, headers=headers)
        members = (self._table.this_entry, *self._table.present())
        return Response(body=MemberList(members=members).encode())

    def _build(self, receiver: MemberRecord | None) -> Heartbeat:
        changes: tuple[MemberRecord, ...] = ()
        if not self._pause_detector.is_overdue():
            is_reduced = not self._budget.allows(TrafficClass.MEMBER_CHANGES)
            changes = self._changes.next_batch(len(self._table.live()), is_reduced=is_reduced)
        return Heartbeat(
            sender=self._table.this_entry,
            receiver=receiver,
            changes=changes,
            digest=self._table.digest,
            extras=self._callbacks.own(),
        )

    def _newer_than(self, record: MemberRecord) -> MemberRecord | None:
        held = self._table.get(record.id)
        return held if held is not None and held.order() > record.order() else None

    def _merge_heartbeat(self, heartbeat: Heartbeat) -> None:
        self._table.merge(heartbeat.sender)
        if heartbeat.receiver is not None:
            self._table.merge(heartbeat.receiver)
        for record in heartbeat.changes:
            self._table.merge(record)

    def _handle_response(self, body: bytes, round_trip_s: float) -> EntryId | None:
        try:
            heartbeat = Heartbeat.model_validate_json(body)
        except ValidationError:
            return None
        self._merge_heartbeat(heartbeat)
        self._deliver_extras(heartbeat.sender, _with_added_age(heartbeat.extras, round_trip_s))
        self.pull_if_different(heartbeat.sender.control_address, heartbeat.digest)
        return heartbeat.sender.id

    def _merge_list(self, body: bytes) -> None:
        try:
            members = MemberList.model_validate_json(body).members
        except ValidationError:
            return
        for record in members:
            self._table.merge(record, should_gossip=False)

    def _deliver_extras(self, sender: MemberRecord, extras: HeartbeatExtras) -> None:
        held = self._table.get(sender.id)
        if held is not None and held.is_present() and held.incarnation == sender.incarnation:
            self._callbacks.on_received(sender.peer(), extras)


def _unless_alive(record: MemberRecord | None) -> MemberRecord | None:
    if record is None or record.state is MemberState.ALIVE:
        return None
    return record


def _without_age(extras: HeartbeatExtras) -> HeartbeatExtras:
    """Remove the age from a request, as its sender may have been paused while sending it."""
    return extras.model_copy(update={"confirmed_age_s": None})


def _with_added_age(extras: HeartbeatExtras, round_trip_s: float) -> HeartbeatExtras:
    """Add the round trip, an upper bound of the transmission time, to the age in a response."""
    if extras.confirmed_age_s is None:
        return extras
    return extras.model_copy(update={"confirmed_age_s": extras.confirmed_age_s + round_trip_s})
