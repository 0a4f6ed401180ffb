"""Backups of KV caches, from which a stream goes on when its engine ends without a final copy.

An engine keeps the backup of a run up to date at another engine, named in the request. The copies
cost little, but the backup occupies memory there, so only long streams get one, and only while the
service holds less than half of its memory.
"""

import random
import time
from collections.abc import Callable

from gooseberryquay.contracts.fields import Address
from gooseberryquay.ids import ServiceId
from gooseberryquay.serving.active_generation import ActiveGeneration, KvCopy
from gooseberryquay.serving.migration_plan import choose_target, may_back_up
from gooseberryquay.serving.move_calls import MoveCalls, need_of
from gooseberryquay.serving.placement import Placement
from gooseberryquay.serving.ports import CopyHandle, ListeningState, UpstreamClient

__all__ = ["Backups"]

# Engines are near.
PROBE_TIMEOUT_S = 0.3


class Backups:
    """Choose, use and free the backups of streams."""

    def __init__(
        self,
        *,
        calls: MoveCalls,
        upstream_client: UpstreamClient,
        placement: Placement,
        is_shared: Callable[[ServiceId], bool],
        on_outcome: Callable[[str], None] = lambda _outcome: None,
        rng: random.Random | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._calls = calls
        self._upstream_client = upstream_client
        self._placement = placement
        self._is_shared = is_shared
        self._on_outcome = on_outcome
        self._rng = rng or random.Random()
        self._clock = clock

    def choose(self, active: ActiveGeneration) -> Address | None:
        """Choose the engine that holds the backup of a run that is about to be sent, or None."""
        if active.backup is not None:
            active.old_backups.append(active.backup)
        active.backup = None
        service, record = active.request.service, active.known.record
        engine = self._placement.engine_terms(service)
        if engine is None or not engine.can_back_up or not self._is_shared(service):
            return None
        if active.was_backup_used:
            # A request that ends its engines must not end one after the other.
            return None
        excluded = self._calls.excluded(record, {record.id})
        need = need_of(active)
        found = self._placement.move_targets(service, need, excluded, record.zone)
        free_tokens = [target.free_tokens for _, target in found]
        if not may_back_up(active.run.growth_tokens, free_tokens, engine.memory_tokens):
            return None
        targets = [target for _, target in found]
        chosen = choose_target(targets, engine.memory_tokens, (), self._rng)
        if chosen is None:
            return None
        active.backup = next(known for known, target in found if target is chosen)
        self._on_outcome("backup requested")
        return active.backup.record.address

    def take(self, active: ActiveGeneration) -> KvCopy | None:
        """Return the backup to go on from, if there is one and the source certainly works no more.

        It is the same run, so that a stream that may run only once goes on as well.
        """
        backup, source = active.backup, active.known
        if backup is None or backup.is_leaving:
            return None
        until_s = self._clock() + PROBE_TIMEOUT_S
        state = self._upstream_client.listening_state(source.record, until_s)
        if state is not ListeningState.REFUSED:
            return None
        target = self._calls.reserve(active, source.record, backup)
        if target is None:
            return None
        active.backup = None
        active.was_backup_used = True
        self._on_outcome("backup used")
        return KvCopy(backup, _handle_of(backup.record.address, active), target.run)

    def free(self, active: ActiveGeneration) -> None:
        """Free the backups of a generation that has ended."""
        held = [*active.old_backups, *([active.backup] if active.backup is not None else [])]
        active.old_backups, active.backup = [], None
        for known in held:
            if not known.is_gone:
                address = known.record.address
                self._upstream_client.free_copy(address, _handle_of(address, active))


def _handle_of(holder: Address, active: ActiveGeneration) -> CopyHandle:
    """Return the handle of a backup, which its holder keeps under the id of the run."""
    return CopyHandle(holder, active.request.call.id)
