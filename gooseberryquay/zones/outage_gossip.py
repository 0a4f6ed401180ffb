"""Gossip of reports about an unreachable platform between entries."""

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
    """Exchange reports with a random peer while this entry cannot reach the platform.

    Exchanges take place twice a second in the first round, in which the outage must become known
    to all entries. After that, once a second is enough to keep the reports from expiring, and the
    rate drops to it while other messages need the control budget.

    `on_report` is called when an exchange contains an unknown report, or when a member sends its
    own report, unless the configuration was confirmed recently.
    """

    def __init__(
        self,
        peers: Peers,
        local: LocalConfiguration,
        reachability: PlatformReachability,
        *,
        timing: ConfigurationSyncTiming,
        rng: random.Random,
        on_report: Callable[[], None],
        budget: ControlBudget,
    ) -> None:
        self._peers = peers
        self._local = local
        self._reachability = reachability
        self._timing = timing
        self._rng = rng
        self._on_report = on_report
        self._budget = budget
        self._outage_began_at_s: float | None = None
        self._is_stopped = threading.Event()

    def start(self) -> None:
        """Start exchanging reports in the background."""
        threading.Thread(target=self._run, daemon=True).start()

    def stop(self) -> None:
        """Signal the background thread to end."""
        self._is_stopped.set()

    def add_routes(self, router: Router) -> None:
        """Add the route for exchanges of peers."""
        router.add("POST", OUTAGE_PATH, self._serve_exchange)

    def process_report(self, member: EntryId) -> None:
        """Process a member's report that it cannot reach the platform."""
        self._reachability.record_report(member)
        self._report_outage()

    def _report_outage(self) -> None:
        if self._local.confirmed_age_s() > self._timing.freshness_bound_s / 4:
            self._on_report()

    def _run(self) -> None:
        while not self._is_stopped.wait(self._interval_s(time.monotonic())):
            if self._reachability.is_unreachable():
                self._exchange()

    def _interval_s(self, now_s: float) -> float:
        if not self._reachability.is_unreachable():
            self._outage_began_at_s = None
            return SEND_INTERVAL_S
        if self._outage_began_at_s is None:
            self._outage_began_at_s = now_s
        is_first_round = now_s - self._outage_began_at_s < ROUND_S
        if is_first_round or self._budget.allows(TrafficClass.OUTAGE_REPEAT):
            return SEND_INTERVAL_S
        return SLOW_INTERVAL_S

    def _exchange(self) -> None:
        this_entry = self._peers.this_entry().id
        others = [peer for peer in self._peers.live() if peer.id != this_entry]
        if not others:
            return
        peer = self._rng.choice(others)
        sent_at_s = time.monotonic()
        sent = self._peers.send(peer, OUTAGE_PATH, self._message(), self._timing.peer_timeout_s)
        match sent:
            case Ok(Reply(status=status, body=body)) if status == HTTP_OK:
                self._process_exchange(body, round_trip_s=time.monotonic() - sent_at_s)

    def _message(self) -> OutageExchange:
        age_s = self._local.confirmed_age_s()
        return OutageExchange(
            revision=self._local.revision(),
            confirmed_age_s=age_s,
            round=self._reachability.current_round(),
        )

    def _process_exchange(self, body: bytes, round_trip_s: float | None = None) -> bool:
        try:
            message = OutageExchange.model_validate_json(body)
            is_new = self._reachability.merge(message.round)
        except ValueError:
            return False
        if round_trip_s is not None:
            self._local.confirm(message.revision, message.confirmed_age_s + round_trip_s)
        if is_new:
            self._report_outage()
        return True

    def _serve_exchange(self, request: Request) -> Response:
        if not self._process_exchange(request.body):
            return Response(status=400, body=b"{}")
        return Response.of(self._message())
