"""State shared with other entries: membership, configuration and crash suspects."""

import time

from gooseberryquay.contracts.declaration import Declaration
from gooseberryquay.contracts.fields import Address
from gooseberryquay.contracts.settings import EntrySettings, PlatformSettings, Settings
from gooseberryquay.ids import EntryId, Incarnation, Revision
from gooseberryquay.links.http_server import Router
from gooseberryquay.links.platform_client import PlatformClient
from gooseberryquay.machines.control_budget import ControlBudget
from gooseberryquay.machines.member_messages import HeartbeatExtras
from gooseberryquay.machines.membership import Membership
from gooseberryquay.machines.peer import Peer
from gooseberryquay.machines.suspect_list import SuspectList
from gooseberryquay.zones.configuration import Configuration
from gooseberryquay.zones.configuration_sync import ConfigurationSync

__all__ = ["Cluster"]

MS_PER_S = 1000
# A complete call must fit into a third of the freshness bound of the configuration.
CONFIGURATION_CONNECT_TIMEOUT_S = 0.3
CONFIGURATION_READ_TIMEOUT_S = 0.8
NO_CONFIGURATION = Configuration(revision=Revision(0), declaration=Declaration())


class Cluster:
    """Synchronize one entry with the platform and with the other entries."""

    def __init__(self, settings: Settings, own: EntrySettings, platform: PlatformSettings) -> None:
        self.budget = ControlBudget()
        self.platform = PlatformClient(platform.address)
        self.membership = Membership(
            _build_own_peer(own),
            seeds=_seed_addresses(settings, own),
            platform=PlatformClient(platform.address, on_bytes=self.budget.spend),
            budget=self.budget,
            extras=self._heartbeat_extras,
            on_extras=self._record_extras,
            on_leave=self._record_leave,
        )
        configuration_client = PlatformClient(
            platform.address,
            CONFIGURATION_CONNECT_TIMEOUT_S,
            CONFIGURATION_READ_TIMEOUT_S,
            self.budget.spend,
        )
        self.configuration_sync = ConfigurationSync(
            self.membership, configuration_client, settings.declaration, budget=self.budget
        )
        self.suspects = SuspectList(
            self.membership, self.platform, crash_count_max=settings.limits.crash_count_max
        )

    def add_routes(self, router: Router) -> None:
        """Register the paths that other entries call."""
        self.membership.add_routes(router)
        self.configuration_sync.add_routes(router)
        self.suspects.add_routes(router)

    def start(self) -> None:
        """Join the cluster; the control API must already be served."""
        self.membership.start()
        self.configuration_sync.start()
        self.suspects.start()

    def stop(self) -> None:
        """Leave the cluster."""
        self.suspects.stop()
        self.configuration_sync.stop()
        self.membership.stop()

    def configuration(self) -> Configuration:
        """Return the configuration in force, or an empty one before there is one."""
        return self.configuration_sync.configuration() or NO_CONFIGURATION

    def is_configured(self) -> bool:
        """Return whether this incarnation of the entry may act on its configuration."""
        return self.configuration_sync.is_fresh() and not self.membership.is_superseded()

    def entry_count(self) -> int:
        """Return the number of live entries, at least one."""
        return max(1, len(self.membership.live()))

    def _heartbeat_extras(self) -> HeartbeatExtras:
        return HeartbeatExtras(
            revision=self.configuration_sync.revision(),
            confirmed_age_s=self.configuration_sync.confirmed_age_s(),
            platform_unreachable=self.configuration_sync.is_platform_unreachable(),
        )

    def _record_extras(self, peer: Peer, extras: HeartbeatExtras) -> None:
        if extras.confirmed_age_s is not None:
            self.configuration_sync.record_peer_state(peer, extras.revision, extras.confirmed_age_s)
        if extras.platform_unreachable:
            self.configuration_sync.record_peer_outage(peer.id)

    def _record_leave(self, entry: EntryId) -> None:
        self.configuration_sync.record_peer_leave(entry)


def _build_own_peer(own: EntrySettings) -> Peer:
    incarnation = Incarnation(int(time.time() * MS_PER_S))
    return Peer(
        id=own.id, incarnation=incarnation, zone=own.zone, control_address=own.control_address
    )


def _seed_addresses(settings: Settings, own: EntrySettings) -> tuple[Address, ...]:
    return tuple(each.control_address for each in settings.entries.values() if each.id != own.id)
