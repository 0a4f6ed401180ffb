"""Places for suspected requests: at most one at a time at each upstream."""

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
from gooseberryquay.machines.suspect_messages import SlotAnswer, SlotRequest

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
    """Give places for suspected requests, those of all entries where their owner answers."""

    def __init__(self, peers: Peers) -> None:
        self._peers = peers
        self._lock = threading.Lock()
        self._own: dict[UpstreamId, str] = {}
        self._granted: dict[UpstreamId, _Slot] = {}

    def take(self, fingerprint: str, upstream: UpstreamId) -> bool:
        """Take the place at an upstream; an owner that does not answer is passed over."""
        with self._lock:
            if upstream in self._own or len(self._own) >= MAX_IN_FLIGHT:
                return False
            self._own[upstream] = fingerprint
        if self._ask_owner(self._request(fingerprint, upstream)):
            return True
        with self._lock:
            self._own.pop(upstream, None)
        return False

    def release(self, fingerprint: str) -> None:
        """Give back the places that a request holds."""
        with self._lock:
            held = [each for each, holder in self._own.items() if holder == fingerprint]
            for upstream in held:
                del self._own[upstream]
        for upstream in held:
            request = self._request(fingerprint, upstream)
            self._ask_owner(request.model_copy(update={"is_release": True}))

    def answer(self, request: Request) -> Response:
        """Give or take back a place that this entry owns."""
        try:
            asked = SlotRequest.model_validate_json(request.body)
        except ValidationError:
            return Response(status=HTTP_BAD_REQUEST)
        return Response.of(SlotAnswer(is_granted=self._grant(asked)))

    def _request(self, fingerprint: str, upstream: UpstreamId) -> SlotRequest:
        return SlotRequest(
            upstream=upstream, fingerprint=fingerprint, holder=self._peers.this_entry()
        )

    def _ask_owner(self, request: SlotRequest) -> bool:
        owner = owner_of(f"suspect slot {request.upstream}", self._peers.live())
        if owner.id == self._peers.this_entry().id:
            return self._grant(request)
        match self._peers.send(owner, SLOT_PATH, request, SEND_TIMEOUT_S):
            case Ok(Reply(status=status, body=body)) if status == HTTP_OK:
                return SlotAnswer.model_validate_json(body).is_granted
            case _:
                return True

    def _grant(self, request: SlotRequest) -> bool:
        with self._lock:
            slot = self._granted.get(request.upstream)
            is_same = slot is not None and slot.request.holder == request.holder
            if request.is_release:
                if is_same:
                    del self._granted[request.upstream]
                return True
            if slot is not None and not is_same and self._is_held(slot):
                return False
            self._granted[request.upstream] = _Slot(request, time.monotonic())
            return True

    def _is_held(self, slot: _Slot) -> bool:
        is_recent = time.monotonic() - slot.granted_at_s < MAX_HELD_S
        return is_recent and _is_live(slot.request.holder, self._peers)


def _is_live(peer: Peer, peers: Peers) -> bool:
    return peer in peers.live()
