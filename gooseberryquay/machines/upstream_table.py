"""Upstream states of one entry, synchronized with the configuration."""

import threading
import time
from collections.abc import Callable
from itertools import zip_longest

from gooseberryquay.contracts.upstream import UpstreamDeclaration
from gooseberryquay.ids import ServiceId, UpstreamId
from gooseberryquay.machines.subset import SubsetRule
from gooseberryquay.machines.upstream import Upstream
from gooseberryquay.zones.configuration import Configuration

__all__ = ["UpstreamTable"]


class UpstreamTable:
    """Provide the upstreams that the configuration in force allows; thread-safe."""

    def __init__(
        self,
        configuration: Callable[[], Configuration],
        subset: SubsetRule,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._clock = clock
        self.configuration = configuration
        self._subset = subset
        self._upstreams: dict[UpstreamId, Upstream] = {}
        self._usable: dict[ServiceId, tuple[Upstream, ...]] = {}
        self._last_usable: dict[ServiceId, frozenset[Upstream]] = {}
        self._subset_shares: dict[ServiceId, float] = {}
        self._in_force: Configuration | None = None
        self._lock = threading.Lock()

    def usable(self, service: ServiceId) -> tuple[Upstream, ...]:
        """Return the subset of a service's upstreams that this entry may send new requests to."""
        configuration = self.configuration()
        with self._lock:
            self._apply_configuration(configuration)
            found = self._usable.get(service)
            if found is None:
                allowed = configuration.usable_upstreams(service)
                chosen = self._subset.choose(allowed)
                found = tuple(self._state_of(each) for each in chosen)
                self._forget_readded(service, found)
                self._usable[service] = found
                self._subset_shares[service] = len(chosen) / max(1, len(allowed))
            return found

    def sharing_entries(self, service: ServiceId, entry_count: int) -> float:
        """Return the mean number of entries that send to one upstream, this one included."""
        self.usable(service)
        with self._lock:
            return max(1.0, entry_count * self._subset_shares.get(service, 1.0))

    def all_usable(self) -> tuple[Upstream, ...]:
        """Return the upstreams usable by this entry, interleaved by service."""
        services = tuple(self.configuration().declaration.services)
        rounds = zip_longest(*(self.usable(service) for service in services))
        return tuple(each for round_ in rounds for each in round_ if each is not None)

    def find(self, upstream_id: UpstreamId) -> Upstream | None:
        """Return the state of one upstream, or None if it is unknown."""
        with self._lock:
            return self._upstreams.get(upstream_id)

    def _apply_configuration(self, configuration: Configuration) -> None:
        if configuration is self._in_force:
            return
        self._in_force = configuration
        self._usable.clear()
        declared = configuration.declaration.upstreams
        for removed in [each for each in self._upstreams if each not in declared]:
            del self._upstreams[removed]

    def _forget_readded(self, service: ServiceId, found: tuple[Upstream, ...]) -> None:
        """Discard reports of upstreams that rejoin the set, as they were not polled meanwhile."""
        before = self._last_usable.get(service, frozenset())
        for upstream in found:
            if upstream not in before:
                upstream.forget(self._clock())
        self._last_usable[service] = frozenset(found)

    def _state_of(self, declaration: UpstreamDeclaration) -> Upstream:
        state = self._upstreams.get(declaration.id)
        if state is None or state.declaration.address != declaration.address:
            state = self._upstreams[declaration.id] = Upstream(declaration)
        state.declaration = declaration
        return state
