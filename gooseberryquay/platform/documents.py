"""Decoding of the configuration and upstream documents in the platform's store."""

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from gooseberryquay.contracts.fields import parse_address
from gooseberryquay.ids import ServiceId, SoftwareVersion, UpstreamId, WorkspaceId, ZoneId
from gooseberryquay.rollouts.order import (
    RolloutOrder,
    RolloutRecord,
    RolloutState,
    RolloutStatus,
)
from gooseberryquay.serving.object_source import StoredObject
from gooseberryquay.serving.route import (
    CallLimits,
    Destination,
    EngineTerms,
    Route,
    RouteKind,
    RoutingTable,
    ServiceTerms,
    Workspace,
)
from gooseberryquay.serving.upstream_record import UpstreamRecord, UpstreamState

__all__ = ["UPSTREAM_FIELDS", "read_rollout", "read_routing", "read_upstream"]

MS_PER_S = 1000.0
# Far more than any upstream has; the load is computed with them.
SLOTS_MAX = 1_000_000
ROUTE_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAMING,
}


class _Document(BaseModel):
    model_config = ConfigDict(extra="ignore", strict=True, allow_inf_nan=False)


class _Split(_Document):
    service: str
    weight: float


class _Route(_Document):
    name: str
    host: str
    path_prefix: str
    route_kind: str
    timeout_ms: float
    # Response time up to which a response earns full credit.
    goal_ms: float = 1000.0
    priority: int = 0
    service: str | None = None
    split: list[_Split] = Field(default_factory=list)
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    # Longest pause between events up to which a stream earns full credit.
    gap_target_ms: float | None = None


class _Engine(_Document):
    slots: int
    # Capacity in tokens, not bytes.
    kv_capacity: int
    moves: bool = False
    # Tokens per stream event.
    stride: int = 1
    # Size of a token in the KV cache.
    kv_bytes: float = 0.0
    link_mbps: float = 0.0
    backups: bool = False


class _Service(_Document):
    name: str
    cold_per_s: float = 0.0
    max_conns: int = 0
    engine: _Engine | None = None


class _Limits(_Document):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class _Tenant(_Document):
    name: str
    api_keys: list[str]
    priority: int = 0


class _Configuration(_Document):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = Field(default_factory=_Limits)
    tenants: list[_Tenant] = Field(default_factory=list)


class _Server(_Document):
    service: str
    address: str
    zone: str
    slots: int = Field(default=1, le=SLOTS_MAX)
    state: str
    cold_left_ms: float = 0.0
    # Unix time of the start in ms: an upstream that restarts under its id has lost its state.
    born: int | None = None
    # Version of its software, not of its weights.
    version: str | int | None = None


class _Rollout(_Document):
    service: str = Field(min_length=1)
    # As an upstream states its version.
    target: str | int
    duration_s: float = Field(gt=0.0)


class _RolloutStatus(_Document):
    state: str
    target: str | int


# Members of an upstream's record that are read.
UPSTREAM_FIELDS = frozenset(_Server.model_fields)


def read_routing(stored: StoredObject) -> RoutingTable | None:
    """Decode a configuration; return None if it is malformed."""
    try:
        document = _Configuration.model_validate(stored.content)
        return RoutingTable(
            version=document.version,
            routes=tuple(_route_of(each) for each in document.routes),
            services={ServiceId(each.name): _service_of(each) for each in document.services},
            workspaces=_workspaces_of(document),
            limits=_limits_of(document.limits),
        )
    except (ValidationError, KeyError, ValueError, ArithmeticError):
        return None


def read_upstream(stored: StoredObject) -> UpstreamRecord | None:
    """Decode an upstream's record; return None if it does not describe a usable upstream."""
    try:
        document = _Server.model_validate(stored.content)
        return UpstreamRecord(
            id=UpstreamId(stored.name),
            service=ServiceId(document.service),
            address=parse_address(document.address),
            zone=ZoneId(document.zone),
            slots=max(1, document.slots),
            state=UpstreamState(document.state),
            cold_left_s=max(0.0, document.cold_left_ms / MS_PER_S),
            born_ms=document.born,
            version=None if document.version is None else SoftwareVersion(str(document.version)),
        )
    except (ValidationError, ValueError, ArithmeticError):
        return None


def read_rollout(stored: StoredObject) -> RolloutRecord | None:
    """Decode the order of a roll-out and its status; return None if it defines no order."""
    try:
        document = _Rollout.model_validate(stored.content)
    except (ValidationError, ValueError):
        return None
    if document.service != stored.name or document.target == "":
        return None
    order = RolloutOrder(
        service=ServiceId(document.service),
        target=SoftwareVersion(str(document.target)),
        duration_s=document.duration_s,
        revision=stored.revision,
    )
    return RolloutRecord(order, _rollout_status(stored))


def _rollout_status(stored: StoredObject) -> RolloutStatus | None:
    try:
        status = _RolloutStatus.model_validate(stored.status)
        return RolloutStatus(RolloutState(status.state), SoftwareVersion(str(status.target)))
    except (ValidationError, ValueError):
        return None


def _route_of(document: _Route) -> Route:
    return Route(
        name=document.name,
        host=document.host,
        path_prefix=document.path_prefix,
        kind=ROUTE_KINDS[document.route_kind],
        timeout_s=document.timeout_ms / MS_PER_S,
        goal_s=document.goal_ms / MS_PER_S,
        priority=document.priority,
        destinations=_destinations_of(document),
        attempts_max=max(1, document.max_attempts),
        is_public=document.public,
        is_resumable=document.resumable,
        gap_target_s=_gap_target_s(document.gap_target_ms),
    )


def _destinations_of(document: _Route) -> tuple[Destination, ...]:
    """Return the services of a route; one with no share of its requests is none of them."""
    if document.service is not None:
        return (Destination(ServiceId(document.service), 1.0),)
    return tuple(
        Destination(ServiceId(each.service), each.weight)
        for each in document.split
        if each.weight > 0.0
    )


def _workspaces_of(document: _Configuration) -> dict[str, Workspace] | None:
    """Return the workspace of each API key, or None if the configuration has no tenants.

    Tenants that have lost their keys, or an empty list of tenants, leave no key that is valid.
    """
    if "tenants" not in document.model_fields_set:
        return None
    return {
        key: Workspace(WorkspaceId(tenant.name), tenant.priority)
        for tenant in document.tenants
        for key in tenant.api_keys
    }


def _gap_target_s(gap_target_ms: float | None) -> float | None:
    if gap_target_ms is None or gap_target_ms <= 0.0:
        return None
    return gap_target_ms / MS_PER_S


def _service_of(document: _Service) -> ServiceTerms:
    engine = document.engine
    return ServiceTerms(
        id=ServiceId(document.name),
        cold_requests_per_s=document.cold_per_s,
        connections_max=_connections_max_of(document),
        engine=_engine_of(engine) if engine is not None else None,
    )


def _connections_max_of(document: _Service) -> int | None:
    return max(0, document.max_conns) if "max_conns" in document.model_fields_set else None


def _engine_of(document: _Engine) -> EngineTerms:
    return EngineTerms(
        slots=document.slots,
        memory_tokens=document.kv_capacity,
        can_move=document.moves,
        tokens_per_event=max(1, document.stride),
        bytes_per_token=max(0.0, document.kv_bytes),
        link_mbps=max(0.0, document.link_mbps),
        can_back_up=document.backups,
    )


def _limits_of(document: _Limits) -> CallLimits:
    return CallLimits(
        header_bytes_max=document.max_header_bytes,
        body_bytes_max=document.max_body_bytes,
        header_timeout_s=document.header_timeout_ms / MS_PER_S,
        idle_timeout_s=document.idle_timeout_ms / MS_PER_S,
    )
