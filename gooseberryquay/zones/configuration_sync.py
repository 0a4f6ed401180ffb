"""The configuration in force at one entry, kept up to date from platform and peers."""

import random

from gooseberryquay.contracts.declaration import Declaration
from gooseberryquay.ids import EntryId, Revision
from gooseberryquay.links.http_server import Router
from gooseberryquay.links.platform_client import PlatformClient
from gooseberryquay.machines.control_budget import ControlBudget
from gooseberryquay.machines.peer import Peer, Peers
from gooseberryquay.zones.configuration import Configuration
from gooseberryquay.zones.configuration_spread import ConfigurationGossip
from gooseberryquay.zones.configuration_sync_timing import ConfigurationSyncTiming
from gooseberryquay.zones.configuration_watch import ConfigurationWatch
from gooseberryquay.zones.local_configuration import LocalConfiguration
from gooseberryquay.zones.outage_gossip import OutageGossip
from gooseberryquay.zones.platform_reachability import PlatformReachability

__all__ = ["ConfigurationSync"]


class ConfigurationSync:
    """Hold the newest accepted configuration; its revision never steps back."""

    def __init__(
        self,
        peers: Peers,
        platform: PlatformClient,
        base: Declaration,
        *,
        timing: ConfigurationSyncTiming | None = None,
        chooser: random.Random | None = None,
        budget: ControlBudget | None = None,
    ) -> None:
        self._timing = timing or ConfigurationSyncTiming()
        chooser = chooser or random.Random()
        self._held = LocalConfiguration()
        self._reachability = PlatformReachability(
            peers.this_entry().id, self._timing.member_memory_s
        )
        self._spread = ConfigurationGossip(
            peers,
            self._held,
            self._reachability,
            timing=self._timing,
            chooser=chooser,
            on_gap=self._ask_platform,
        )
        self._watch = ConfigurationWatch(
            platform,
            peers,
            self._held,
            self._reachability,
            spread=self._spread,
            base=base,
            timing=self._timing,
            chooser=chooser,
        )
        self._outage = OutageGossip(
            peers,
            self._held,
            self._reachability,
            timing=self._timing,
            chooser=chooser,
            on_report=self._ask_platform,
            budget=budget or ControlBudget(),
        )

    def start(self) -> None:
        """Learn the configuration and keep it up to date in the background."""
        self._spread.start()
        self._watch.start()
        self._outage.start()

    def stop(self) -> None:
        """Let the background threads end."""
        self._spread.stop()
        self._watch.stop()
        self._outage.stop()

    def add_routes(self, router: Router) -> None:
        """Serve the peers' messages about the configuration."""
        self._spread.add_routes(router)
        self._outage.add_routes(router)

    def configuration(self) -> Configuration | None:
        """Give the configuration in force, or None before there is one."""
        return self._held.current()

    def revision(self) -> Revision:
        """Give the revision in force; 0 before there is one."""
        return self._held.revision()

    def wait_for_newer(self, revision: Revision, timeout_s: float) -> bool:
        """Wait until a revision above the given one is in force, or until the timeout."""
        return self._held.wait_for_newer(revision, timeout_s)

    def confirmed_age_s(self) -> float:
        """Give how long ago the platform was known to have nothing newer than what is held."""
        return self._held.confirmed_age_s()

    def is_fresh(self) -> bool:
        """Tell whether the configuration in force may be acted on."""
        if self._held.current() is None:
            return False
        if self._held.confirmed_age_s() <= self._timing.freshness_bound_s:
            return True
        return self._watch.is_settled() and self._reachability.is_outage()

    def is_platform_unreachable(self) -> bool:
        """Tell whether this entry's last call failed to reach the platform."""
        return self._reachability.is_unreachable()

    def record_peer_state(
        self, peer: Peer, revision: Revision, confirmed_age_s: float | None
    ) -> None:
        """Take in a peer's revision and the age of its confirmation, None if it is not known.

        The age must include the time that the message may have been on its way.
        """
        self._spread.hear_of(peer, revision, confirmed_age_s)

    def record_peer_outage(self, peer: EntryId) -> None:
        """Take in that a peer cannot reach the platform."""
        self._outage.hear(peer)

    def record_peer_leave(self, peer: EntryId) -> None:
        """Stop counting a peer that leaves in order as a known member."""
        self._reachability.forget_member(peer)

    def _ask_platform(self) -> None:
        self._watch.hurry()
