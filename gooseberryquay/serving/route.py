"""Routes, services and API keys of one configuration version."""

import random
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from gooseberryquay.ids import ServiceId, WorkspaceId

__all__ = [
    "CallLimits",
    "Destination",
    "EngineTerms",
    "KeyCheck",
    "Route",
    "RouteKind",
    "RoutingTable",
    "ServiceTerms",
    "Workspace",
]


class RouteKind(Enum):
    """Classify a route by how its requests may be retried and how they are answered."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAMING = "streaming"


class KeyCheck(Enum):
    """Name what was found of a request's API key."""

    KNOWN = "known"
    UNKNOWN = "unknown"
    PUBLIC_ROUTE = "unknown, public route"
    NOT_NEEDED = "not needed"


@dataclass(frozen=True, slots=True)
class Destination:
    """Assign a service a weight among the destinations of a route."""

    service: ServiceId
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Describe how requests for one host and path prefix are handled."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    goal_s: float
    priority: int
    destinations: tuple[Destination, ...]
    attempts_max: int
    is_public: bool
    is_resumable: bool
    # Longest pause between the events of a stream that is on time, if the route declares one.
    gap_target_s: float | None = None

    @property
    def is_retryable(self) -> bool:
        """Return whether a request may run again; a stream resumes after its last event."""
        match self.kind:
            case RouteKind.IDEMPOTENT:
                return True
            case RouteKind.NON_IDEMPOTENT:
                return False
            case RouteKind.STREAMING:
                return self.is_resumable

    def pick_service(self, rng: random.Random) -> ServiceId | None:
        """Select a service at random by weight; None if the route has none."""
        if not self.destinations:
            return None
        if len(self.destinations) == 1:
            return self.destinations[0].service
        weights = [each.weight for each in self.destinations]
        return rng.choices(self.destinations, weights)[0].service


@dataclass(frozen=True, slots=True)
class EngineTerms:
    """Describe the model engines of a service."""

    slots: int
    memory_tokens: int
    can_move: bool
    tokens_per_event: int
    # Size of a token in the KV cache, and the rate at which engines copy it to each other; 0 if
    # they are not declared.
    bytes_per_token: float = 0.0
    link_mbps: float = 0.0
    can_back_up: bool = False


@dataclass(frozen=True, slots=True)
class ServiceTerms:
    """Describe a service."""

    id: ServiceId
    cold_requests_per_s: float
    # Connections that each upstream accepts from all entries together.
    connections_max: int | None
    engine: EngineTerms | None


@dataclass(frozen=True, slots=True)
class Workspace:
    """Identify the workspace of an API key; a lower priority number is served first."""

    id: WorkspaceId
    priority: int


@dataclass(frozen=True, slots=True)
class CallLimits:
    """Limit the sizes and times of a caller's requests."""

    header_bytes_max: int
    body_bytes_max: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(frozen=True)
class RoutingTable:
    """Represent one configuration version.

    `workspaces` holds the API keys; it is None if requests need no key, and empty if none is valid.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[ServiceId, ServiceTerms]
    workspaces: Mapping[str, Workspace] | None
    limits: CallLimits
    _by_host: dict[str, list[Route]] = field(default_factory=dict, compare=False)

    def __post_init__(self) -> None:
        for route in self.routes:
            self._by_host.setdefault(route.host, []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda each: len(each.path_prefix), reverse=True)

    def route_of(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, or None."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    @property
    def needs_key(self) -> bool:
        """Return whether requests need an API key, except on public routes."""
        return self.workspaces is not None

    def workspace_of(self, key: str | None) -> Workspace | None:
        """Return the workspace of an API key, or None."""
        if self.workspaces is None or key is None:
            return None
        return self.workspaces.get(key)

    def check_key(self, key: str | None, route: Route) -> KeyCheck:
        """Return whether a request with a key may run on a route, and why."""
        if not self.needs_key:
            return KeyCheck.NOT_NEEDED
        if self.workspace_of(key) is not None:
            return KeyCheck.KNOWN
        return KeyCheck.PUBLIC_ROUTE if route.is_public else KeyCheck.UNKNOWN
