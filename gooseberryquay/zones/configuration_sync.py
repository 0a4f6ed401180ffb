"""The configuration in force at one entry, kept in sync with the platform and peers."""

import random

from gooseberryquay.contracts.declaration import Declaration
from gooseberryquay.ids import EntryId, Revision
from gooseberryquay.links.http_server import Router
from gooseberryquay.links.platform_client import PlatformClient
from gooseberryquay.machines.control_budget import ControlBudget
from gooseberryquay.machines.peer import Peer, Peers
from gooseberryquay.zones.configuration import Configuration
from gooseberryquay.zones.configuration_gossip import ConfigurationGossip
from gooseberryquay.zones.configuration_sync_timing import ConfigurationSyncTiming
from gooseberryquay.zones.configuration_watch import ConfigurationWatch
from gooseberryquay.zones.local_configuration import LocalConfiguration
from gooseberryquay.zones.outage_gossip import OutageGossip
from gooseberryquay.zones.platform_reachability import PlatformReachability

__all__ = ["ConfigurationSync"]


class ConfigurationSync:
    """Keep the newest accepted configuration; its revision never decreases."""

    def __init__(
        self,
        peers: Peers,
        platform: PlatformClient,
        base: Declaration,
        *,
        timing: ConfigurationSyncTiming | None = None,
        rng: random.Random | None = None,
        budget: ControlBudget | None = None,
    ) -> None:
        self._timing = timing or ConfigurationSyncTiming()
        rng = rng or random.Random()
        self._local = LocalConfiguration()
        self._reachability = PlatformReachability(
            peers.this_entry().id, self._timing.member_retention_s
        )
        self._gossip = ConfigurationGossip(
            peers,
            self._local,
            self._reachability,
            timing=self._timing,
            rng=rng,
            on_gap=self._request_check,
        )
        self._watch = ConfigurationWatch(
            platform,
            peers,
            self._local,
            self._reachability,
            gossip=self._gossip,
            base=base,
            timing=self._timing,
            rng=rng,
        )
        self._outage = OutageGossip(
            peers,
            self._local,
            self._reachability,
            timing=self._timing,
            rng=rng,
            on_report=self._request_check,
            budget=budget or ControlBudget(),
        )

    def start(self) -> None:
        """Load the configuration and keep it in sync in the background."""
        self._gossip.start()
        self._watch.start()
        self._outage.start()

    def stop(self) -> None:
        """Signal the background threads to end."""
        self._gossip.stop()
        self._watch.stop()
        self._outage.stop()

    def add_routes(self, router: Router) -> None:
        """Add the routes for configuration and outage messages of peers."""
        self._gossip.add_routes(router)
        self._outage.add_routes(router)

    def configuration(self) -> Configuration | None:
        """Return the configuration in force, or None if there is none yet."""
        return self._local.current()

    def revision(self) -> Revision:
        """Return the revision in force, or 0 if there is none yet."""
        return self._local.revision()

    def wait_for_newer(self, revision: Revision, timeout_s: float) -> bool:
        """Wait for a revision above the given one; return False on timeout."""
        return self._local.wait_for_newer(revision, timeout_s)

    def confirmed_age_s(self) -> float:
        """Return the seconds since the platform was known to have no newer revision."""
        return self._local.confirmed_age_s()

    def is_fresh(self) -> bool:
        """Return whether the configuration in force may be used.

        It may if it was confirmed within the freshness bound, or if most of the known members
        report that they cannot reach the platform.
        """
        if self._local.current() is None:
            return False
        if self._local.confirmed_age_s() <= self._timing.freshness_bound_s:
            return True
        return self._watch.is_synced() and self._reachability.is_outage()

    def is_platform_unreachable(self) -> bool:
        """Return whether this entry's last call failed to reach the platform."""
        return self._reachability.is_unreachable()

    def record_peer_state(
        self, peer: Peer, revision: Revision, confirmed_age_s: float | None
    ) -> None:
        """Process a peer's revision and the age of its confirmation, or None if that is unknown.

        The age must include the time that the message may have been in transit.
        """
        self._gossip.process_peer_revision(peer, revision, confirmed_age_s)

    def record_peer_outage(self, peer: EntryId) -> None:
        """Process a peer's report that it cannot reach the platform."""
        self._outage.process_report(peer)

    def record_peer_leave(self, peer: EntryId) -> None:
        """Remove a peer that leaves gracefully from the known members."""
        self._reachability.remove_member(peer)

    def _request_check(self) -> None:
        self._watch.request_check()
