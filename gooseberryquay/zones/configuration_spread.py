"""Spread of the configuration between entries: push to a few, pull what is missing."""

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
    """Push each new revision to a few peers and pull from those that know a newer one.

    `on_gap` is called when no peer could give a revision that one of them told of.
    """

    def __init__(
        self,
        peers: Peers,
        held: LocalConfiguration,
        reachability: PlatformReachability,
        *,
        timing: ConfigurationSyncTiming,
        chooser: random.Random,
        on_gap: Callable[[], None],
    ) -> None:
        self._peers = peers
        self._held = held
        self._reachability = reachability
        self._timing = timing
        self._chooser = chooser
        self._on_gap = on_gap
        self._is_stopped = threading.Event()
        self._pull_wanted = threading.Event()
        self._pull_from: Peer | None = None

    def start(self) -> None:
        """Push and pull in the background."""
        for slot in range(self._timing.fan_out):
            threading.Thread(target=self._push_loop, args=(slot,), daemon=True).start()
        threading.Thread(target=self._pull_loop, daemon=True).start()

    def stop(self) -> None:
        """Let the background threads end."""
        self._is_stopped.set()
        self._pull_wanted.set()

    def add_routes(self, router: Router) -> None:
        """Serve the peers' pushes and pulls."""
        router.add("POST", CHANGES_PATH, self._answer_push)
        router.add("POST", PULL_PATH, self._answer_pull)

    def hear_of(self, peer: Peer, revision: Revision, confirmed_age_s: float | None) -> None:
        """Take in which revision a peer has; pull it if it is newer."""
        if confirmed_age_s is not None:
            self._held.confirm(revision, confirmed_age_s)
        if revision > self._held.revision():
            self._request_pull(peer)

    def ask_peers(self) -> bool:
        """Pull from several peers; tell whether one of them answered."""
        others = self._others()
        asked = self._chooser.sample(others, min(len(others), self._timing.start_peers))
        while asked:
            # The first pull may bring a whole snapshot; the others then bring only what is newer.
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
        pushed = self._held.revision()
        while not self._is_stopped.is_set():
            if not self._held.wait_for_newer(pushed, IDLE_WAIT_S):
                continue
            reached = self._held.revision()
            self._push(slot, pushed)
            pushed = reached

    def _push(self, slot: int, after: Revision) -> None:
        others = sorted(self._others(), key=lambda each: each.id)
        # All slots shuffle alike, so that no two of them choose the same peer.
        random.Random(f"{self._peers.this_entry().id}/{after}").shuffle(others)
        for peer in others[slot :: self._timing.fan_out][:PUSH_ATTEMPTS]:
            if self._push_to(peer, after):
                return

    def _push_to(self, peer: Peer, after: Revision) -> bool:
        offer = self._held.offer_after(after)
        message = PushChanges(
            sender=self._peers.this_entry(),
            changes=offer.changes or (),
            revision=offer.revision,
            version=offer.version,
        )
        sent_at_s = time.monotonic()
        match self._peers.send(peer, CHANGES_PATH, message, self._timing.peer_timeout_s):
            case Ok(Reply(status=status, body=body)) if status == HTTP_OK:
                reply = _parse(RevisionReply, body)
                if reply is not None:
                    age_s = reply.confirmed_age_s + time.monotonic() - sent_at_s
                    self.hear_of(peer, reply.revision, age_s)
                return reply is not None
        return False

    def _request_pull(self, peer: Peer) -> None:
        self._pull_from = peer
        self._pull_wanted.set()

    def _pull_loop(self) -> None:
        while not self._is_stopped.is_set():
            self._pull_wanted.wait()
            self._pull_wanted.clear()
            peer = self._pull_from
            if peer is not None and not self._pull(peer):
                self._on_gap()

    def _pull(self, peer: Peer, wants_members: bool = False) -> bool:
        request = PullRequest(after_revision=self._held.revision(), wants_members=wants_members)
        sent_at_s = time.monotonic()
        match self._peers.send(peer, PULL_PATH, request, self._timing.peer_timeout_s):
            case Ok(Reply(status=status, body=body)) if status == HTTP_OK:
                reply = _parse(PullReply, body)
                if reply is not None:
                    self._take_in(reply, time.monotonic() - sent_at_s)
                return reply is not None
            case Err(failure):
                _log.info("pull from %s failed: %s", peer.id, failure)
        return False

    def _take_in(self, reply: PullReply, round_trip_s: float) -> None:
        if reply.configuration is not None:
            self._held.adopt(reply.configuration, reply.version)
        self._held.apply(reply.changes, reply.version)
        self._held.confirm(reply.revision, reply.confirmed_age_s + round_trip_s)
        if reply.members:
            self._reachability.hear_of_members(reply.members)

    def _answer_push(self, request: Request) -> Response:
        message = _parse(PushChanges, request.body)
        if message is None:
            return Response(status=400, body=b"{}")
        self._held.apply(message.changes, message.version)
        self.hear_of(message.sender, message.revision, None)
        return Response.of(self._revision_reply())

    def _answer_pull(self, request: Request) -> Response:
        message = _parse(PullRequest, request.body)
        if message is None:
            return Response(status=400, body=b"{}")
        members = self._reachability.members() if message.wants_members else ()
        age_s = self._held.confirmed_age_s()
        offer = self._held.offer_after(message.after_revision)
        held = self._held.current() if offer.changes is None else None
        is_same = held is None or held.revision == offer.revision
        reply = PullReply(
            revision=offer.revision,
            version=offer.version if is_same else NO_VERSION,
            confirmed_age_s=age_s,
            changes=offer.changes or (),
            configuration=held,
            members=members,
        )
        return Response.of(reply)

    def _revision_reply(self) -> RevisionReply:
        # The age goes first: a revision that comes in between includes what it confirms.
        age_s = self._held.confirmed_age_s()
        return RevisionReply(revision=self._held.revision(), confirmed_age_s=age_s)


def _parse(model_type: type[M], body: bytes) -> M | None:
    try:
        return model_type.model_validate_json(body)
    except ValidationError:
        return None
