"""Exchange of reports between entries about a platform that they cannot reach."""

import random
import threading
from collections.abc import Callable

from pydantic import ValidationError

from gooseberryquay.ids import EntryId
from gooseberryquay.links.http_server import Request, Response, Router
from gooseberryquay.machines.peer import Peer, Peers
from gooseberryquay.zones.configuration_held import HeldConfiguration
from gooseberryquay.zones.configuration_messages import (
    UNREACHABLE_PATH,
    RevisionReply,
    UnreachableReports,
)
from gooseberryquay.zones.keeper_timing import KeeperTiming
from gooseberryquay.zones.platform_reachability import PlatformReachability

__all__ = ["OutageSpread"]

SEND_INTERVAL_S = 0.5


class OutageSpread:
    """Send reports to a few peers for as long as this entry cannot reach the platform.

    `on_report` is called when a member reports an outage that was not known here.
    """

    def __init__(
        self,
        peers: Peers,
        held: HeldConfiguration,
        reachability: PlatformReachability,
        *,
        timing: KeeperTiming,
        chooser: random.Random,
        on_report: Callable[[], None],
    ) -> None:
        self._peers = peers
        self._held = held
        self._reachability = reachability
        self._timing = timing
        self._chooser = chooser
        self._on_report = on_report
        self._is_stopped = threading.Event()

    def start(self) -> None:
        """Send in the background."""
        for slot in range(self._timing.fan_out):
            threading.Thread(target=self._run, args=(slot,), daemon=True).start()

    def stop(self) -> None:
        """Let the background threads end."""
        self._is_stopped.set()

    def add_routes(self, router: Router) -> None:
        """Serve the peers' reports."""
        router.add("POST", UNREACHABLE_PATH, self._answer_reports)

    def hear(self, member: EntryId, age_s: float = 0.0) -> None:
        """Take in that a member could not reach the platform."""
        is_news = self._reachability.add_report(member, age_s)
        if is_news and self._held.confirmed_age_s() > self._timing.freshness_bound_s / 4:
            self._on_report()

    def _run(self, slot: int) -> None:
        while not self._is_stopped.wait(SEND_INTERVAL_S):
            if self._reachability.is_unreachable():
                self._send(slot)

    def _send(self, slot: int) -> None:
        peer = self._choose(slot)
        if peer is None:
            return
        age_s = self._held.confirmed_age_s()
        message = UnreachableReports(
            revision=self._held.revision(),
            confirmed_age_s=age_s,
            reports=self._reachability.reports(self._chooser),
        )
        self._peers.send(peer, UNREACHABLE_PATH, message, self._timing.peer_timeout_s)

    def _choose(self, slot: int) -> Peer | None:
        myself = self._peers.myself().id
        others = [peer for peer in self._peers.live() if peer.id != myself]
        mine = others[slot :: self._timing.fan_out]
        return self._chooser.choice(mine) if mine else None

    def _answer_reports(self, request: Request) -> Response:
        try:
            message = UnreachableReports.model_validate_json(request.body)
        except ValidationError:
            return Response(status=400, body=b"{}")
        self._held.confirm(message.revision, message.confirmed_age_s)
        for report in message.reports:
            self.hear(report.entry, report.age_s)
        age_s = self._held.confirmed_age_s()
        return Response.of(RevisionReply(revision=self._held.revision(), confirmed_age_s=age_s))
