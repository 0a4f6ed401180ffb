"""Registration and discovery of entries through the platform's instance list."""

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
    """Read and write the platform's instance list, which may be stale."""

    def instances(self) -> Result[tuple[InstanceEntry, ...], ReadFailure]:
        """Return all listed instances."""

    def put_instance(self, entry: InstanceEntry) -> Result[None, WriteFailure]:
        """Add or replace an instance."""

    def delete_instance(self, instance_id: str) -> Result[None, WriteFailure]:
        """Remove an instance."""


class MemberDirectory:
    """Register this entry on the instance list and find others there; tolerate outages."""

    def __init__(self, platform: InstanceDirectory | None) -> None:
        self._platform = platform
        self._desired: InstanceEntry | None = None
        self._registered: InstanceEntry | None = None
        self._retry_at_s = 0.0

    def set_desired(self, peer: Peer, state: InstanceState) -> None:
        """Set the state in which this entry is to be listed."""
        self._desired = InstanceEntry(
            id=peer.id,
            kind=ENTRY_KIND,
            zone=peer.zone,
            address=peer.control_address,
            incarnation=peer.incarnation,
            state=state,
        )
        self._retry_at_s = 0.0

    def register(self) -> None:
        """Register this entry unless it is registered; retry failures after `RETRY_S`."""
        desired = self._desired
        now_s = time.monotonic()
        if (
            self._platform is None
            or desired in (None, self._registered)
            or now_s < self._retry_at_s
        ):
            return
        assert desired is not None
        match self._platform.put_instance(desired):
            case Ok(_):
                self._registered = desired
            case Err(failure):
                self._retry_at_s = now_s + RETRY_S
                log.info("cannot register entry", extra={"failure": repr(failure)})

    def addresses(self) -> tuple[Address, ...]:
        """Return the control addresses of the entries listed as live."""
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
        """Remove this entry from the list."""
        if self._platform is not None and self._desired is not None:
            self._platform.delete_instance(self._desired.id)

    def _check_registered(self, instances: tuple[InstanceEntry, ...]) -> None:
        """Schedule a new registration if this entry is missing from the list."""
        if self._desired is not None and self._desired.id not in {each.id for each in instances}:
            self._registered = None
