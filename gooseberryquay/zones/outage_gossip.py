"""Exchange of reports between entries about a platform that they cannot reach."""

import random
import threading
import time
from collections.abc import Callable

from result import Ok

from gooseberryquay.ids import EntryId
from gooseberryquay.links.http_client import Reply
from gooseberryquay.links.http_server import Request, Response, Router
from gooseberryquay.machines.control_budget import ControlBudget, TrafficClass
from gooseberryquay.machines.peer import Peers
from gooseberryquay.zones.configuration_messages import OUTAGE_PATH, OutageExchange
from gooseberryquay.zones.configuration_sync_timing import ConfigurationSyncTiming
from gooseberryquay.zones.local_configuration import LocalConfiguration
from gooseberryquay.zones.outage_sketch import ROUND_S
from gooseberryquay.zones.platform_reachability import PlatformReachability

__all__ = ["OutageGossip"]

HTTP_OK = 200
SEND_INTERVAL_S = 0.5
SLOW_INTERVAL_S = 1.0


class OutageGossip:
    """Exchange reports with a peer twice a second while this entry cannot reach the platform.

    After the first round, in which the outage has to become known everywhere, once a second is
    enough to keep it known, and is all that is sent while the budget is needed by others.

    `on_report` is called when a member reports an outage that was not known here.
    """

    def __init__(
        self,
        peers: Peers,
        held: LocalConfiguration,
        reachability: PlatformReachability,
        *,
        timing: ConfigurationSyncTiming,
        chooser: random.Random,
        on_report: Callable[[], None],
        budget: ControlBudget,
    ) -> None:
        self._peers = peers
        self._held = held
        self._reachability = reachability
        self._timing = timing
        self._chooser = chooser
        self._on_report = on_report
        self._budget = budget
        self._began_at_s: float | None = None
        self._is_stopped = threading.Event()

    def start(self) -> None:
        """Send in the background."""
        threading.Thread(target=self._run, daemon=True).start()

    def stop(self) -> None:
        """Let the background threads end."""
        self._is_stopped.set()

    def add_routes(self, router: Router) -> None:
        """Serve the peers' reports."""
        router.add("POST", OUTAGE_PATH, self._answer_exchange)

    def hear(self, member: EntryId) -> None:
        """Take in that a member could not reach the platform."""
        self._reachability.hear(member)
        self._check_early()

    def _check_early(self) -> None:
        if self._held.confirmed_age_s() > self._timing.freshness_bound_s / 4:
            self._on_report()

    def _run(self) -> None:
        while not self._is_stopped.wait(self._interval_s(time.monotonic())):
            if self._reachability.is_unreachable():
                self._exchange()

    def _interval_s(self, now_s: float) -> float:
        if not self._reachability.is_unreachable():
            self._began_at_s = None
            return SEND_INTERVAL_S
        if self._began_at_s is None:
            self._began_at_s = now_s
        is_first_round = now_s - self._began_at_s < ROUND_S
        if is_first_round or self._budget.allows(TrafficClass.OUTAGE_REPEAT):
            return SEND_INTERVAL_S
        return SLOW_INTERVAL_S

    def _exchange(self) -> None:
        this_entry = self._peers.this_entry().id
        others = [peer for peer in self._peers.live() if peer.id != this_entry]
        if not others:
            return
        peer = self._chooser.choice(others)
        sent_at_s = time.monotonic()
        sent = self._peers.send(peer, OUTAGE_PATH, self._message(), self._timing.peer_timeout_s)
        match sent:
            case Ok(Reply(status=status, body=body)) if status == HTTP_OK:
                self._take_in(body, round_trip_s=time.monotonic() - sent_at_s)

    def _message(self) -> OutageExchange:
        age_s = self._held.confirmed_age_s()
        return OutageExchange(
            revision=self._held.revision(),
            confirmed_age_s=age_s,
            round=self._reachability.round(),
        )

    def _take_in(self, body: bytes, round_trip_s: float | None = None) -> bool:
        try:
            message = OutageExchange.model_validate_json(body)
            is_news = self._reachability.merge(message.round)
        except ValueError:
            return False
        if round_trip_s is not None:
            self._held.confirm(message.revision, message.confirmed_age_s + round_trip_s)
        if is_news:
            self._check_early()
        return True

    def _answer_exchange(self, request: Request) -> Response:
        if not self._take_in(request.body):
            return Response(status=400, body=b"{}")
        return Response.of(self._message())
