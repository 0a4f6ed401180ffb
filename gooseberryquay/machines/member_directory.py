"""The platform's lagging list of instances, as one entry uses it."""

import logging
import time
from typing import Protocol

from result import Err, Ok, Result

from gooseberryquay.contracts.fields import Address
from gooseberryquay.links.platform_client import ReadFailure, WriteFailure
from gooseberryquay.links.platform_messages import InstanceEntry, InstanceState
from gooseberryquay.machines.peer import Peer

__all__ = ["ENTRY_KIND", "InstanceDirectory", "MemberDirectory"]

ENTRY_KIND = "entry"
RETRY_S = 5.0

log = logging.getLogger(__name__)


class InstanceDirectory(Protocol):
    """Read and write the platform's list of instances."""

    def instances(self) -> Result[tuple[InstanceEntry, ...], ReadFailure]:
        """Read the list."""

    def put_instance(self, entry: InstanceEntry) -> Result[None, WriteFailure]:
        """Add or replace an instance."""

    def delete_instance(self, instance_id: str) -> Result[None, WriteFailure]:
        """Remove an instance."""


class MemberDirectory:
    """Keep this entry in the platform's list and find others there; outages do no harm."""

    def __init__(self, platform: InstanceDirectory | None) -> None:
        self._platform = platform
        self._wanted: InstanceEntry | None = None
        self._registered: InstanceEntry | None = None
        self._next_try_s = 0.0

    def want(self, peer: Peer, state: InstanceState) -> None:
        """Set what the list shall say of this entry."""
        self._wanted = InstanceEntry(
            id=peer.id,
            kind=ENTRY_KIND,
            zone=peer.zone,
            address=peer.control_address,
            incarnation=peer.incarnation,
            state=state,
        )
        self._next_try_s = 0.0

    def register(self) -> None:
        """Write this entry into the list unless that is done; after a failure only seldom."""
        wanted = self._wanted
        now_s = time.monotonic()
        if self._platform is None or wanted in (None, self._registered) or now_s < self._next_try_s:
            return
        assert wanted is not None
        match self._platform.put_instance(wanted):
            case Ok(_):
                self._registered = wanted
            case Err(failure):
                self._next_try_s = now_s + RETRY_S
                log.info("entry not registered", extra={"failure": repr(failure)})

    def addresses(self) -> tuple[Address, ...]:
        """Give the control addresses of the entries that the list calls live."""
        if self._platform is None:
            return ()
        match self._platform.instances():
            case Ok(instances):
                self._check_registered(instances)
                return tuple(
                    each.address
                    for each in instances
                    if each.kind == ENTRY_KIND and each.state is InstanceState.LIVE
                )
            case Err(_):
                return ()

    def remove(self) -> None:
        """Take this entry off the list."""
        if self._platform is not None and self._wanted is not None:
            self._platform.delete_instance(self._wanted.id)

    def _check_registered(self, instances: tuple[InstanceEntry, ...]) -> None:
        """Register again where the list has lost this entry."""
        if self._wanted is not None and self._wanted.id not in {each.id for each in instances}:
            self._registered = None
