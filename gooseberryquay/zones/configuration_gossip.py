"""Push/pull gossip of the configuration between entries."""

import logging
import random
import threading
import time
from collections.abc import Callable
from typing import TypeVar

from pydantic import ValidationError
from result import Err, Ok

from gooseberryquay.contracts.fields import FrozenModel
from gooseberryquay.ids import Revision
from gooseberryquay.links.http_client import Reply
from gooseberryquay.links.http_server import Request, Response, Router
from gooseberryquay.machines.peer import Peer, Peers
from gooseberryquay.zones.configuration_messages import (
    CHANGES_PATH,
    PULL_PATH,
    PullReply,
    PullRequest,
    PushChanges,
    RevisionReply,
)
from gooseberryquay.zones.configuration_sync_timing import ConfigurationSyncTiming
from gooseberryquay.zones.local_configuration import NO_VERSION, LocalConfiguration
from gooseberryquay.zones.platform_reachability import PlatformReachability

__all__ = ["ConfigurationGossip"]

HTTP_OK = 200
IDLE_WAIT_S = 0.5
PUSH_ATTEMPTS = 2

M = TypeVar("M", bound=FrozenModel)

_log = logging.getLogger(__name__)


class ConfigurationGossip:
    """Push each new revision to a few peers, and pull from peers that report a newer one.

    `on_gap` is called when the pull of a revision that a peer reported failed.
    """

    def __init__(
        self,
        peers: Peers,
        local: LocalConfiguration,
        reachability: PlatformReachability,
        *,
        timing: ConfigurationSyncTiming,
        rng: random.Random,
        on_gap: Callable[[], None],
    ) -> None:
        self._peers = peers
        self._local = local
        self._reachability = reachability
        self._timing = timing
        self._rng = rng
        self._on_gap = on_gap
        self._is_stopped = threading.Event()
        self._pull_requested = threading.Event()
        self._pull_source: Peer | None = None

    def start(self) -> None:
        """Start pushing and pulling in the background."""
        for slot in range(self._timing.fan_out):
            threading.Thread(target=self._push_loop, args=(slot,), daemon=True).start()
        threading.Thread(target=self._pull_loop, daemon=True).start()

    def stop(self) -> None:
        """Signal the background threads to end."""
        self._is_stopped.set()
        self._pull_requested.set()

    def add_routes(self, router: Router) -> None:
        """Add the routes for pushes and pulls of peers."""
        router.add("POST", CHANGES_PATH, self._serve_push)
        router.add("POST", PULL_PATH, self._serve_pull)

    def process_peer_revision(
        self, peer: Peer, revision: Revision, confirmed_age_s: float | None
    ) -> None:
        """Process a peer's revision; request a pull from the peer if it is newer."""
        if confirmed_age_s is not None:
            self._local.confirm(revision, confirmed_age_s)
        if revision > self._local.revision():
            self._request_pull(peer)

    def pull_from_peers(self) -> bool:
        """Pull from several random peers; return whether any of them responded."""
        others = self._others()
        asked = self._rng.sample(others, min(len(others), self._timing.initial_pull_peers))
        while asked:
            # The first pull may return a whole snapshot; the others then return only newer changes.
            if self._pull(asked.pop(), wants_members=True):
                self._pull_from_all(asked)
                return True
        return False

    def _pull_from_all(self, peers: list[Peer]) -> None:
        pulls = [threading.Thread(target=self._pull, args=(peer, True)) for peer in peers]
        for pull in pulls:
            pull.start()
        for pull in pulls:
            pull.join()

    def _others(self) -> list[Peer]:
        this_entry = self._peers.this_entry().id
        return [peer for peer in self._peers.live() if peer.id != this_entry]

    def _push_loop(self, slot: int) -> None:
        pushed = self._local.revision()
        while not self._is_stopped.is_set():
            if not self._local.wait_for_newer(pushed, IDLE_WAIT_S):
                continue
            current = self._local.revision()
            self._push(slot, pushed)
            pushed = current

    def _push(self, slot: int, after: Revision) -> None:
        others = sorted(self._others(), key=lambda each: each.id)
        # All slots use the same shuffle, so that no two of them choose the same peer.
        random.Random(f"{self._peers.this_entry().id}/{after}").shuffle(others)
        for peer in others[slot :: self._timing.fan_out][:PUSH_ATTEMPTS]:
            if self._push_to(peer, after):
                return

    def _push_to(self, peer: Peer, after: Revision) -> bool:
        delta = self._local.delta_after(after)
        message = PushChanges(
            sender=self._peers.this_entry(),
            changes=delta.changes or (),
            revision=delta.revision,
            version=delta.version,
        )
        sent_at_s = time.monotonic()
        match self._peers.send(peer, CHANGES_PATH, message, self._timing.peer_timeout_s):
            case Ok(Reply(status=status, body=body)) if status == HTTP_OK:
                reply = _parse(RevisionReply, body)
                if reply is not None:
                    age_s = reply.confirmed_age_s + time.monotonic() - sent_at_s
                    self.process_peer_revision(peer, reply.revision, age_s)
                return reply is not None
        return False

    def _request_pull(self, peer: Peer) -> None:
        self._pull_source = peer
        self._pull_requested.set()

    def _pull_loop(self) -> None:
        while not self._is_stopped.is_set():
            self._pull_requested.wait()
            self._pull_requested.clear()
            peer = self._pull_source
            if peer is not None and not self._pull(peer):
                self._on_gap()

    def _pull(self, peer: Peer, wants_members: bool = False) -> bool:
        request = PullRequest(after_revision=self._local.revision(), wants_members=wants_members)
        sent_at_s = time.monotonic()
        match self._peers.send(peer, PULL_PATH, request, self._timing.peer_timeout_s):
            case Ok(Reply(status=status, body=body)) if status == HTTP_OK:
                reply = _parse(PullReply, body)
                if reply is not None:
                    self._apply_reply(reply, time.monotonic() - sent_at_s)
                return reply is not None
            case Err(failure):
                _log.info("configuration pull from %s failed: %s", peer.id, failure)
        return False

    def _apply_reply(self, reply: PullReply, round_trip_s: float) -> None:
        if reply.configuration is not None:
            self._local.replace_if_newer(reply.configuration, reply.version)
        self._local.apply(reply.changes, reply.version)
        self._local.confirm(reply.revision, reply.confirmed_age_s + round_trip_s)
        if reply.members:
            self._reachability.record_peer_members(reply.members)

    def _serve_push(self, request: Request) -> Response:
        message = _parse(PushChanges, request.body)
        if message is None:
            return Response(status=400, body=b"{}")
        self._local.apply(message.changes, message.version)
        self.process_peer_revision(message.sender, message.revision, None)
        return Response.of(self._revision_reply())

    def _serve_pull(self, request: Request) -> Response:
        message = _parse(PullRequest, request.body)
        if message is None:
            return Response(status=400, body=b"{}")
        members = self._reachability.members() if message.wants_members else ()
        age_s = self._local.confirmed_age_s()
        delta = self._local.delta_after(message.after_revision)
        current = self._local.current() if delta.changes is None else None
        is_same = current is None or current.revision == delta.revision
        reply = PullReply(
            revision=delta.revision,
            version=delta.version if is_same else NO_VERSION,
            confirmed_age_s=age_s,
            changes=delta.changes or (),
            configuration=current,
            members=members,
        )
        return Response.of(reply)

    def _revision_reply(self) -> RevisionReply:
        # The age is read first: a newer revision set in between includes all changes it confirms.
        age_s = self._local.confirmed_age_s()
        return RevisionReply(revision=self._local.revision(), confirmed_age_s=age_s)


def _parse(model_type: type[M], body: bytes) -> M | None:
    try:
        return model_type.model_validate_json(body)
    except ValidationError:
        return None
