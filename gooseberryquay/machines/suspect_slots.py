"""Slots for suspected requests: at most one at a time at each upstream."""

import threading
import time
from dataclasses import dataclass

from pydantic import ValidationError
from result import Ok

from gooseberryquay.ids import UpstreamId
from gooseberryquay.links.http_client import Reply
from gooseberryquay.links.http_server import Request, Response
from gooseberryquay.machines.peer import Peer, Peers
from gooseberryquay.machines.rendezvous import owner_of
from gooseberryquay.machines.suspect_messages import SlotRequest, SlotResponse

__all__ = ["SLOT_PATH", "SuspectSlots"]

SLOT_PATH = "/suspects/slot"
SEND_TIMEOUT_S = 0.5
MAX_HELD_S = 1800.0
MAX_IN_FLIGHT = 16
HTTP_OK = 200
HTTP_BAD_REQUEST = 400


@dataclass(frozen=True)
class _Slot:
    request: SlotRequest
    granted_at_s: float


class SuspectSlots:
    """Grant slots for suspected requests, across all entries while the owner responds."""

    def __init__(self, peers: Peers) -> None:
        self._peers = peers
        self._lock = threading.Lock()
        self._taken: dict[UpstreamId, str] = {}
        self._granted: dict[UpstreamId, _Slot] = {}

    def take(self, fingerprint: str, upstream: UpstreamId) -> bool:
        """Take the slot at an upstream; it is granted if the owner does not respond."""
        with self._lock:
            if upstream in self._taken or len(self._taken) >= MAX_IN_FLIGHT:
                return False
            self._taken[upstream] = fingerprint
        if self._query_owner(self._request(fingerprint, upstream)):
            return True
        with self._lock:
            self._taken.pop(upstream, None)
        return False

    def release(self, fingerprint: str) -> None:
        """Release the slots that a request holds."""
        with self._lock:
            held = [each for each, holder in self._taken.items() if holder == fingerprint]
            for upstream in held:
                del self._taken[upstream]
        for upstream in held:
            request = self._request(fingerprint, upstream)
            self._query_owner(request.model_copy(update={"is_release": True}))

    def handle_slot_request(self, request: Request) -> Response:
        """Grant or release a slot that this entry owns."""
        try:
            slot_request = SlotRequest.model_validate_json(request.body)
        except ValidationError:
            return Response(status=HTTP_BAD_REQUEST)
        return Response.of(SlotResponse(is_granted=self._grant(slot_request)))

    def _request(self, fingerprint: str, upstream: UpstreamId) -> SlotRequest:
        return SlotRequest(
            upstream=upstream, fingerprint=fingerprint, holder=self._peers.this_entry()
        )

    def _query_owner(self, request: SlotRequest) -> bool:
        owner = owner_of(f"suspect slot {request.upstream}", self._peers.live())
        if owner.id == self._peers.this_entry().id:
            return self._grant(request)
        match self._peers.send(owner, SLOT_PATH, request, SEND_TIMEOUT_S):
            case Ok(Reply(status=status, body=body)) if status == HTTP_OK:
                return SlotResponse.model_validate_json(body).is_granted
            case _:
                return True

    def _grant(self, request: SlotRequest) -> bool:
        with self._lock:
            slot = self._granted.get(request.upstream)
            is_same_holder = slot is not None and slot.request.holder == request.holder
            if request.is_release:
                if is_same_holder:
                    del self._granted[request.upstream]
                return True
            if slot is not None and not is_same_holder and self._is_held(slot):
                return False
            self._granted[request.upstream] = _Slot(request, time.monotonic())
            return True

    def _is_held(self, slot: _Slot) -> bool:
        is_recent = time.monotonic() - slot.granted_at_s < MAX_HELD_S
        return is_recent and _is_live(slot.request.holder, self._peers)


def _is_live(peer: Peer, peers: Peers) -> bool:
    return peer in peers.live()
