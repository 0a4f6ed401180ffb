"""Own demand for contended services, and what other entries report of theirs.

The reports travel in an optional field of the load messages, so that they cost no message of their
own. The field is empty while nothing waits.
"""

import threading
import time
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, replace

import xxhash

from gooseberryquay.ids import EntryId, ServiceId, WorkspaceId
from gooseberryquay.serving.admission import HALF_LIFE_S, Claim, Demand, is_blocked

__all__ = ["DemandBook", "DemandField", "workspace_key"]

# Service, then rank, workspace, waiting, waiting tokens, served tokens and blocked tokens; all of
# the tokens are in hundreds.
DemandField = dict[str, list[list[int]]]

FIGURES = 6
# About 26 bytes each, so under 200 bytes in a message.
RECORDS_PER_MESSAGE_MAX = 6
TOKENS_UNIT = 100
# Collisions only make two workspaces share one share.
WORKSPACE_KEYS = 1 << 16
# Same as for the loads of other entries.
STALE_S = 2.0
# Use is reported as long after the last generation waited.
CONTENDED_S = 5.0
SERVED_MIN_TOKENS = 100.0

_Key = tuple[int, int]


def workspace_key(workspace: WorkspaceId | None) -> int:
    """Return the short number by which entries name a workspace to each other."""
    if workspace is None:
        return 0
    return 1 + xxhash.xxh32_intdigest(workspace.encode()) % (WORKSPACE_KEYS - 1)


@dataclass(frozen=True, slots=True)
class _Received:
    at_s: float
    is_of_hub: bool
    demands: Mapping[ServiceId, Sequence[Demand]]


class DemandBook:
    """Sum the demand of generations by service, rank and workspace; thread-safe."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._waiting: dict[ServiceId, list[Demand]] = {}
        self._served: dict[ServiceId, dict[_Key, float]] = {}
        self._decayed_at_s = clock()
        self._contended_at_s: dict[ServiceId, float] = {}
        self._received: dict[EntryId, _Received] = {}
        self._lock = threading.Lock()

    def set_waiting(self, service: ServiceId, claims: Iterable[Claim]) -> None:
        """Replace the generations of a service that wait at this entry; late ones don't count."""
        now_s = self._clock()
        demands = [_demand_of(each, now_s) for each in claims]
        with self._lock:
            self._waiting[service] = _summed(demands)
            if demands:
                self._contended_at_s[service] = now_s

    def record_served(self, service: ServiceId, claim: Claim) -> None:
        """Add the tokens of a generation that was placed to the use of its workspace."""
        with self._lock:
            self._decay()
            served = self._served.setdefault(service, {})
            key = (claim.rank, claim.workspace)
            served[key] = served.get(key, 0.0) + claim.tokens

    def told(self, service: ServiceId) -> list[Demand]:
        """Return the demand of all other entries for a service."""
        with self._lock:
            return _summed(
                each
                for received in self._fresh().values()
                for each in received.demands.get(service, ())
            )

    def used_tokens(self, service: ServiceId) -> dict[int, float]:
        """Return the recent use of a service by workspace, at all entries."""
        with self._lock:
            self._decay()
            own = list(self._served.get(service, {}).items())
        used: dict[int, float] = {}
        told = [((each.rank, each.workspace), each.served_tokens) for each in self.told(service)]
        for (_rank, workspace), tokens in [*own, *told]:
            used[workspace] = used.get(workspace, 0.0) + tokens
        return used

    def receive(self, sender: EntryId, is_of_hub: bool, field: DemandField) -> None:
        """Replace what an entry reported; records with figures missing are ignored."""
        demands = {
            ServiceId(service): [_parsed(each) for each in records if len(each) >= FIGURES]
            for service, records in field.items()
        }
        now_s = self._clock()
        with self._lock:
            self._received[sender] = _Received(now_s, is_of_hub, demands)
            for service, each in demands.items():
                if any(demand.waiting for demand in each):
                    self._contended_at_s[service] = now_s

    def message_to(self, peer: EntryId, is_hub: bool, is_to_hub: bool) -> DemandField:
        """Return the demand to report to a peer; a hub adds that of others, as for loads."""
        with self._lock:
            self._decay()
            now_s = self._clock()
            received = self._fresh() if is_hub else {}
            services = [
                each for each, at_s in self._contended_at_s.items() if now_s - at_s < CONTENDED_S
            ]
            records: list[tuple[ServiceId, Demand]] = []
            for service in services:
                demands = self._own(service)
                for entry, each in received.items():
                    if entry != peer and not (is_to_hub and each.is_of_hub):
                        demands.extend(each.demands.get(service, ()))
                records.extend((service, each) for each in _summed(demands))
        records.sort(key=lambda each: _urgency(each[1]), reverse=True)
        field: DemandField = {}
        for service, demand in records[:RECORDS_PER_MESSAGE_MAX]:
            field.setdefault(service, []).append(_formatted(demand))
        return field

    def _own(self, service: ServiceId) -> list[Demand]:
        served = [
            Demand(rank, workspace, 0, 0.0, tokens, 0.0)
            for (rank, workspace), tokens in self._served.get(service, {}).items()
        ]
        return [*self._waiting.get(service, ()), *served]

    def _fresh(self) -> dict[EntryId, _Received]:
        now_s = self._clock()
        for entry in [key for key, each in self._received.items() if now_s - each.at_s > STALE_S]:
            del self._received[entry]
        return self._received

    def _decay(self) -> None:
        now_s = self._clock()
        factor = 0.5 ** (max(0.0, now_s - self._decayed_at_s) / HALF_LIFE_S)
        self._decayed_at_s = now_s
        for served in self._served.values():
            for key in list(served):
                served[key] *= factor
                if served[key] < SERVED_MIN_TOKENS:
                    del served[key]


def _summed(demands: Iterable[Demand]) -> list[Demand]:
    totals: dict[_Key, Demand] = {}
    for each in demands:
        key = (each.rank, each.workspace)
        total = totals.get(key)
        totals[key] = each if total is None else _plus(total, each)
    return list(totals.values())


def _urgency(demand: Demand) -> tuple[float, int, float]:
    """Return the key by which records are chosen if there are too many for a message."""
    return demand.blocked_tokens, demand.waiting, demand.served_tokens


def _demand_of(claim: Claim, now_s: float) -> Demand:
    is_late = now_s > claim.late_at_s
    return Demand(
        claim.rank,
        claim.workspace,
        0 if is_late else 1,
        0.0 if is_late else claim.tokens,
        0.0,
        claim.tokens if is_blocked(claim, now_s) else 0.0,
    )


def _plus(total: Demand, other: Demand) -> Demand:
    return replace(
        total,
        waiting=total.waiting + other.waiting,
        waiting_tokens=total.waiting_tokens + other.waiting_tokens,
        served_tokens=total.served_tokens + other.served_tokens,
        blocked_tokens=max(total.blocked_tokens, other.blocked_tokens),
    )


def _parsed(record: Sequence[int]) -> Demand:
    rank, workspace, waiting, waiting_tokens, served_tokens, blocked_tokens = (
        max(0, each) for each in record[:FIGURES]
    )
    return Demand(
        rank,
        workspace,
        waiting,
        float(waiting_tokens * TOKENS_UNIT),
        float(served_tokens * TOKENS_UNIT),
        float(blocked_tokens * TOKENS_UNIT),
    )


def _formatted(demand: Demand) -> list[int]:
    return [
        demand.rank,
        demand.workspace,
        demand.waiting,
        round(demand.waiting_tokens / TOKENS_UNIT),
        round(demand.served_tokens / TOKENS_UNIT),
        round(demand.blocked_tokens / TOKENS_UNIT),
    ]
