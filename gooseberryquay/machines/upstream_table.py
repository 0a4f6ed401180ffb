"""Upstream states of one entry, kept in step with the configuration."""

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
    """Give the upstreams that the configuration in force allows; safe for use by many threads."""

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
        self._parts: dict[ServiceId, float] = {}
        self._in_force: Configuration | None = None
        self._lock = threading.Lock()

    def usable(self, service: ServiceId) -> tuple[Upstream, ...]:
        """Give this entry's upstreams of a service that may get new work."""
        configuration = self.configuration()
        with self._lock:
            self._follow(configuration)
            found = self._usable.get(service)
            if found is None:
                allowed = configuration.usable_upstreams(service)
                chosen = self._subset.choose(allowed)
                found = tuple(self._state_of(each) for each in chosen)
                self._forget_returned(service, found)
                self._usable[service] = found
                self._parts[service] = len(chosen) / max(1, len(allowed))
            return found

    def sharing_entries(self, service: ServiceId, entry_count: int) -> float:
        """Give how many entries send to one upstream, this one included."""
        self.usable(service)
        with self._lock:
            return max(1.0, entry_count * self._parts.get(service, 1.0))

    def all_usable(self) -> tuple[Upstream, ...]:
        """Give this entry's upstreams that may get new work, one of each service in turn."""
        services = tuple(self.configuration().declaration.services)
        rounds = zip_longest(*(self.usable(service) for service in services))
        return tuple(each for round_ in rounds for each in round_ if each is not None)

    def find(self, upstream_id: UpstreamId) -> Upstream | None:
        """Give the state of one upstream, or None where it is not known."""
        with self._lock:
            return self._upstreams.get(upstream_id)

    def _follow(self, configuration: Configuration) -> None:
        if configuration is self._in_force:
            return
        self._in_force = configuration
        self._usable.clear()
        declared = configuration.declaration.upstreams
        for gone in [each for each in self._upstreams if each not in declared]:
            del self._upstreams[gone]

    def _forget_returned(self, service: ServiceId, found: tuple[Upstream, ...]) -> None:
        """Forget the reports of upstreams that were away, as nobody asked them meanwhile."""
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
