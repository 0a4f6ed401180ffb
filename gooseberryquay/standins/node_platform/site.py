"""A small site: object store, engines, plain services and the settings file of each entry."""

import random
import threading
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from gooseberryquay.contracts.fields import Address
from gooseberryquay.standins.fault_proxy import FaultProxy
from gooseberryquay.standins.node_platform.run_record import RunRecord
from gooseberryquay.standins.node_platform.store import ObjectStore
from gooseberryquay.standins.node_platform.upstream_crash import CrashingPart
from gooseberryquay.standins.node_platform.upstream_server import ModelEngine, PlainService
from gooseberryquay.standins.node_platform.waiting_room import Capacity
from gooseberryquay.standins.process import find_free_port

__all__ = ["GOAL_MS", "GRACE_S", "HOST", "KEY", "EntryPorts", "Site", "build_route"]

HOST = "site.example"
KEY = "key-1"
ZONES = ("zone-a", "zone-b")
GRACE_S = 4
GOAL_MS = 300
HEARTBEAT_MS = 1200
# A list entry expires after three missed heartbeats.
EXPIRY_S = 3.6
RESTART_S = 1.5
SLOTS = 8


class EntryPorts:
    """Ports of one entry, which it keeps across restarts."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.callers = find_free_port()
        self.readiness = find_free_port()
        self.control = find_free_port()
        self.metrics = find_free_port()

    def write_settings(
        self, folder: Path, store_port: int, seeds: list[int], more: Sequence[str] = ()
    ) -> Path:
        """Write the settings file of the entry, with more lines, and return its path."""
        path = folder / f"{self.name}.conf"
        lines = [
            f"node_name={self.name}",
            "zone=zone-a",
            f"listen.frontend=127.0.0.1:{self.callers}",
            f"listen.readiness=127.0.0.1:{self.readiness}",
            f"listen.control_plane=127.0.0.1:{self.control}",
            f"port_range={self.metrics},{self.metrics}",
            "seeds=" + ",".join(f"127.0.0.1:{each}" for each in seeds),
            f"heartbeat_ms={HEARTBEAT_MS}",
            f"bounds.grace_s={GRACE_S}",
            f"platform.address=127.0.0.1:{store_port}",
            *more,
        ]
        path.write_text("\n".join(lines) + "\n")
        return path


class Site:
    """Run the platform in this process, for entries that run as separate processes.

    With `has_proxies`, entries reach each upstream through a fault proxy.
    """

    def __init__(self, rng: random.Random, has_proxies: bool = False) -> None:
        self.record = RunRecord()
        self.store = ObjectStore()
        self.engines: dict[str, ModelEngine] = {}
        self.services: dict[str, PlainService] = {}
        self._engines_by_port: dict[int, ModelEngine] = {}
        self.proxies: dict[str, FaultProxy] = {}
        self.engine_version = "v1"
        self.work_range_s: tuple[float, float] | None = None
        self._has_proxies = has_proxies
        self._rng = rng
        self._count = 0
        self._version = 0
        self._crashing_part: CrashingPart | None = None
        self._capacity: Capacity | None = None
        self._is_stopped = False
        # Called with each upstream before it starts.
        self.on_added: Callable[[ModelEngine | PlainService], None] = lambda _: None

    def start(self, engines: int = 3, services: int = 2) -> None:
        """Start the store, write the first configuration and start the upstreams."""
        self.store.start()
        self.configure()
        for _ in range(engines):
            self.add_engine()
        for _ in range(services):
            self.add_service()

    def stop(self) -> None:
        """Stop the store and all upstreams."""
        self._is_stopped = True
        for upstream in self.upstreams():
            upstream.stop()
        for proxy in list(self.proxies.values()):
            proxy.stop()
        self.store.stop()

    def upstreams(self) -> list[ModelEngine | PlainService]:
        """Return the engines and plain services, without those that were removed."""
        return [*self.engines.values(), *self.services.values()]

    def set_work_range(self, range_s: tuple[float, float] | None) -> None:
        """Set the shortest and longest operation of each plain service, also of later ones."""
        self.work_range_s = range_s
        for each in list(self.services.values()):
            each.work_range_s = range_s

    def configure(
        self, *routes: dict[str, Any], keys: tuple[str, ...] = (KEY,), **parts: Any
    ) -> int:
        """Write a configuration with the default and the given routes, and return its version.

        `parts` replace whole parts of it; those that are None are left out.
        """
        self._version += self._rng.randrange(1, 4)
        document = {
            "version": self._version,
            "routes": [*_default_routes(), *routes],
            "services": [_model_service(), {"name": "ledger", "max_conns": 100}],
            "limits": {},
            "tenants": [{"name": "studio", "api_keys": list(keys), "priority": 1}],
            **parts,
        }
        document = {name: part for name, part in document.items() if part is not None}
        self.store.put("config", "main", document)
        return self._version

    def add_engine(self, version: str | None = None) -> str:
        """Start an engine of a version or the usual one, list it and return its id."""
        engine = ModelEngine(self._new_id(), self.record, self._rng, self._engines_by_port)
        engine.crashing_part = self._crashing_part
        engine.version = version or self.engine_version
        engine.set_capacity(self._capacity)
        self.on_added(engine)
        engine.start()
        self._engines_by_port[self._start_proxy(engine)] = engine
        self.engines[engine.id] = engine
        engine.on_crash = lambda: self._replace(engine)
        self._list(engine, "model", "ready")
        return engine.id

    def add_service(self) -> str:
        """Start a plain service, add it to the list of upstreams and return its id."""
        service = PlainService(self._new_id(), self.record, self._rng)
        service.work_range_s = self.work_range_s
        service.set_capacity(self._capacity)
        self.on_added(service)
        service.start()
        self._start_proxy(service)
        self.services[service.id] = service
        service.on_crash = lambda: self._replace(service)
        self._list(service, "ledger", "ready")
        return service.id

    def set_crashing_part(self, part: CrashingPart | None) -> None:
        """Let a part of a prompt crash each engine, also those that start later."""
        self._crashing_part = part
        for engine in list(self.engines.values()):
            engine.crashing_part = part

    def set_capacity(self, capacity: Capacity | None) -> None:
        """Bound the requests that each upstream runs and lets wait, also of later ones."""
        self._capacity = capacity
        for each in self.upstreams():
            each.set_capacity(capacity)

    def order_rollout(self, target: str, duration_s: float, service: str = "model") -> None:
        """Order that a service's traffic be moved to a version, as an operator does."""
        order = {"service": service, "target": target, "duration_s": duration_s}
        self.store.put("rollouts", service, order)

    def rollout_states(self, service: str = "model") -> list[tuple[str, str]]:
        """Return the states that entries have written for the orders of a service, in order."""
        found = self.store.statuses("rollouts", service)
        return [(each["state"], each["target"]) for each in found]

    def announce_leave(self, id: str) -> None:
        """List an upstream as draining."""
        upstream = self.engines.get(id) or self.services[id]
        upstream.is_leaving = True
        self.list_as_leaving(id)

    def list_as_leaving(self, id: str) -> None:
        """List an upstream as draining, while its own answers do not say so."""
        if id in self.engines:
            self._list(self.engines[id], "model", "draining")
        else:
            self._list(self.services[id], "ledger", "draining")

    def remove(self, id: str) -> None:
        """Stop an upstream and remove it from the list."""
        upstream = self.engines.pop(id, None) or self.services.pop(id)
        upstream.stop()
        self._stop_proxy(upstream)
        self.store.delete("servers", id)

    def _replace(self, crashed: ModelEngine | PlainService) -> None:
        """Let the list entry of a crashed upstream expire, and start a replacement before that."""
        self._stop_proxy(crashed)
        _schedule(RESTART_S, self._start_replacement, crashed)
        _schedule(EXPIRY_S, self.store.delete, "servers", crashed.id)

    def _start_replacement(self, crashed: ModelEngine | PlainService) -> None:
        if self._is_stopped:
            return
        if isinstance(crashed, ModelEngine):
            self.add_engine(crashed.version)
        else:
            self.add_service()

    def _start_proxy(self, upstream: ModelEngine | PlainService) -> int:
        """Start the proxy of an upstream, if any, and return the port that entries use."""
        if not self._has_proxies:
            return upstream.port
        address = Address("127.0.0.1", upstream.port)
        # An orderly close would look like the end of an unframed answer.
        proxy = FaultProxy(address, breaks_by_reset=upstream.is_unframed)
        proxy.start()
        self.proxies[upstream.id] = proxy
        return proxy.port

    def _stop_proxy(self, upstream: ModelEngine | PlainService) -> None:
        proxy = self.proxies.pop(upstream.id, None)
        if proxy is not None:
            upstream.record_broken_link()
            proxy.stop()

    def _new_id(self) -> str:
        self._count += 1
        return f"i-{self._count}"

    def _list(self, upstream: ModelEngine | PlainService, service: str, state: str) -> None:
        zone = ZONES[int(upstream.id.rpartition("-")[2]) % len(ZONES)]
        proxy = self.proxies.get(upstream.id)
        port = proxy.port if proxy is not None else upstream.port
        slots = self._capacity.slots if self._capacity is not None else SLOTS
        document = {
            "service": service,
            "address": f"127.0.0.1:{port}",
            "zone": zone,
            "version": upstream.version,
            "slots": slots,
            "state": state,
            "cold_left_ms": 0,
            "born": upstream.born_ms,
        }
        self.store.put("servers", upstream.id, document)


def _schedule(delay_s: float, action: Callable[..., object], *arguments: object) -> None:
    timer = threading.Timer(delay_s, action, arguments)
    timer.daemon = True
    timer.start()


def _model_service() -> dict[str, Any]:
    engine = {"slots": 8, "kv_capacity": 20000, "moves": True, "stride": 4}
    return {"name": "model", "max_conns": 100, "engine": engine}


def _default_routes() -> list[dict[str, Any]]:
    return [
        build_route("/note/", "streaming", "model", 1, timeout_ms=20000, goal_ms=1500),
        build_route(
            "/check/", "streaming", "model", 2, resumable=True, timeout_ms=6000, goal_ms=1500
        ),
        build_route("/post/", "non_idempotent", "ledger", 1),
        build_route("/read/", "idempotent", "ledger", 2),
    ]


def build_route(prefix: str, kind: str, service: str, attempts: int, **more: Any) -> dict[str, Any]:
    """Build the definition of a route of the site's host."""
    return {
        "name": prefix.strip("/"),
        "host": HOST,
        "path_prefix": prefix,
        "route_kind": kind,
        "service": service,
        "max_attempts": attempts,
        "timeout_ms": 2000,
        "goal_ms": GOAL_MS,
        **more,
    }
