"""Notices to other entries that an upstream has turned cold."""

import random
import threading
from collections.abc import Callable
from queue import SimpleQueue

from pydantic import BaseModel, ValidationError

from gooseberryquay.ids import UpstreamId
from gooseberryquay.links.http_server import Request, Response, Router
from gooseberryquay.machines.peer import Peers

__all__ = ["COLD_NOTICE_PATH", "ColdNotice", "ColdNotices"]

COLD_NOTICE_PATH = "/peer/cold-upstream"
MAX_PEERS_NOTIFIED = 32
SEND_TIMEOUT_S = 0.5


class ColdNotice(BaseModel, frozen=True):
    """Notify that the report of an upstream has just changed from warm to cold."""

    upstream: UpstreamId


class ColdNotices:
    """Send and receive notices; the entry that received the report sends each notice once."""

    def __init__(self, peers: Peers, on_cold: Callable[[UpstreamId], None]) -> None:
        self._peers = peers
        self._on_cold = on_cold
        self._outgoing: SimpleQueue[ColdNotice | None] = SimpleQueue()

    def start(self) -> None:
        """Start sending in the background."""
        threading.Thread(target=self._run, name="cold-notices", daemon=True).start()

    def stop(self) -> None:
        """Stop sending."""
        self._outgoing.put(None)

    def add_routes(self, router: Router) -> None:
        """Register the route for notices from peers."""
        router.add("POST", COLD_NOTICE_PATH, self._receive)

    def announce(self, upstream: UpstreamId) -> None:
        """Queue a notice for sending to other entries."""
        self._outgoing.put(ColdNotice(upstream=upstream))

    def _run(self) -> None:
        while (notice := self._outgoing.get()) is not None:
            self._send(notice)

    def _send(self, notice: ColdNotice) -> None:
        own_id = self._peers.this_entry().id
        others = [each for each in self._peers.live() if each.id != own_id]
        for peer in random.sample(others, min(MAX_PEERS_NOTIFIED, len(others))):
            self._peers.send(peer, COLD_NOTICE_PATH, notice, SEND_TIMEOUT_S)

    def _receive(self, request: Request) -> Response:
        try:
            notice = ColdNotice.model_validate_json(request.body)
        except ValidationError:
            return Response(status=400, body=b"{}")
        self._on_cold(notice.upstream)
        return Response(body=b"{}")
