"""Stand-in for the platform: objects, instance list and weight store, with injected faults."""

import threading

from pydantic import ValidationError
from result import Err, Ok, Result

from gooseberryquay.links.http_server import Handler, HttpServer, Request, Response, Router
from gooseberryquay.links.platform_client import WriteConflict
from gooseberryquay.links.platform_messages import (
    InstanceEntry,
    InstanceList,
    StoredObject,
    StoredObjectList,
    WriteRequest,
)
from gooseberryquay.standins.platform_faults import FaultInjector, Outage, PlatformFaults
from gooseberryquay.standins.platform_gate import PlatformGate
from gooseberryquay.standins.platform_instances import InstanceRegister
from gooseberryquay.standins.platform_limits import (
    CallCounter,
    CallKind,
    PlatformCounts,
    PlatformLimits,
    RateLimit,
    retry_after_header,
)
from gooseberryquay.standins.platform_objects import ObjectStore

__all__ = ["PlatformStandIn"]

MAX_VALUE_BYTES = 1024 * 1024
MAX_WATCH_S = 60.0
MAX_WEIGHT_READ_BYTES = 1024 * 1024


class PlatformStandIn:
    """Keep all platform state in memory and serve it over HTTP."""

    def __init__(
        self, host: str = "127.0.0.1", port: int = 0, limits: PlatformLimits | None = None
    ) -> None:
        limits = limits or PlatformLimits()
        self._objects = ObjectStore()
        self._instances = InstanceRegister(limits.list_lag_s)
        self._weight_bytes = limits.weight_bytes
        self._weight_rate = RateLimit(limits.weight_bytes_per_s)
        self._faults = FaultInjector()
        self._counter = CallCounter()
        self._gate = PlatformGate(limits, self._faults, self._counter)
        self._is_stopped = threading.Event()
        self._server = HttpServer(host, port, self._build_router())

    def start(self) -> None:
        """Start serving in background threads."""
        self._server.start()

    def stop(self) -> None:
        """Stop serving and end pending watches and hanging calls."""
        self._is_stopped.set()
        self._faults.set(PlatformFaults())
        self._objects.wake_watches()
        self._server.stop()

    @property
    def port(self) -> int:
        """Return the bound TCP port."""
        return self._server.port

    def set_faults(self, faults: PlatformFaults) -> None:
        """Replace all faults; a new outage interrupts pending watches immediately."""
        self._faults.set(faults)
        self._objects.wake_watches()

    def counts(self) -> PlatformCounts:
        """Return the counts of calls since the start."""
        return self._counter.counts()

    def _build_router(self) -> Router:
        router = Router()
        self._add(router, "GET", "/objects", CallKind.LIST, self._list)
        self._add(router, "GET", "/objects/{key}", CallKind.READ, self._read)
        self._add(router, "PUT", "/objects/{key}", CallKind.WRITE, self._write)
        self._add(router, "DELETE", "/objects/{key}", CallKind.DELETE, self._delete)
        self._add(router, "GET", "/watch/{key}", CallKind.WATCH, self._watch)
        self._add(router, "GET", "/instances", CallKind.INSTANCE_READ, self._list_instances)
        self._add(router, "PUT", "/instances/{id}", CallKind.INSTANCE_WRITE, self._put_instance)
        self._add(
            router, "DELETE", "/instances/{id}", CallKind.INSTANCE_WRITE, self._delete_instance
        )
        self._add(router, "GET", "/weights/{name}", CallKind.WEIGHT_READ, self._read_weights)
        router.add("POST", "/standin/faults", self._post_faults)
        router.add("GET", "/standin/counts", lambda _request: Response.of(self.counts()))
        return router

    def _add(
        self, router: Router, method: str, path: str, kind: CallKind, handler: Handler
    ) -> None:
        router.add(method, path, self._gate.wrap(kind, handler))

    def _list(self, request: Request) -> Response:
        found = self._objects.list(request.query.get("prefix", ""))
        return Response.of(StoredObjectList(objects=found))

    def _read(self, request: Request) -> Response:
        key = request.path_values["key"]
        is_stale = self._faults.is_stale(key)
        return _object_response(
            self._objects.read_previous(key) if is_stale else self._objects.read(key)
        )

    def _write(self, request: Request) -> Response:
        try:
            write_request = WriteRequest.model_validate_json(request.body)
        except ValidationError:
            return Response(status=400, body=b"{}")
        if len(write_request.value.encode()) > MAX_VALUE_BYTES:
            return Response(status=413, body=b"{}")
        key = request.path_values["key"]
        return _change_response(
            self._objects.write(key, write_request.value, write_request.expected_version)
        )

    def _delete(self, request: Request) -> Response:
        expected = int(request.query.get("expected_version", "0"))
        return _change_response(self._objects.delete(request.path_values["key"], expected))

    def _watch(self, request: Request) -> Response:
        key = request.path_values["key"]
        after = int(request.query.get("after_version", "0"))
        timeout_s = min(float(request.query.get("timeout_s", "10")), MAX_WATCH_S)
        stored = self._objects.watch(key, after, timeout_s, self._is_interrupted)
        if self._is_interrupted():
            return self._faults.apply_to_call() or Response(status=503, body=b"{}")
        return Response(status=204) if stored is None else Response.of(stored)

    def _is_interrupted(self) -> bool:
        return self._is_stopped.is_set() or self._faults.faults.outage is not Outage.NONE

    def _list_instances(self, _request: Request) -> Response:
        return Response.of(InstanceList(instances=self._instances.list()))

    def _put_instance(self, request: Request) -> Response:
        try:
            entry = InstanceEntry.model_validate_json(request.body)
        except ValidationError:
            return Response(status=400, body=b"{}")
        self._instances.put(entry)
        return Response.of(entry)

    def _delete_instance(self, request: Request) -> Response:
        self._instances.remove(request.path_values["id"])
        return Response(body=b"{}")

    def _read_weights(self, request: Request) -> Response:
        offset = int(request.query.get("offset", "0"))
        requested_bytes = int(request.query.get("length", str(MAX_WEIGHT_READ_BYTES)))
        length = max(0, min(requested_bytes, MAX_WEIGHT_READ_BYTES, self._weight_bytes - offset))
        wait_s = self._weight_rate.take(length)
        if wait_s > 0:
            return Response(status=429, body=b"{}", headers=retry_after_header(wait_s))
        headers = {"X-Weight-Bytes": str(self._weight_bytes)}
        return Response(
            body=bytes(length), content_type="application/octet-stream", headers=headers
        )

    def _post_faults(self, request: Request) -> Response:
        try:
            faults = PlatformFaults.model_validate_json(request.body)
        except ValidationError as error:
            return Response(status=400, body=error.json().encode())
        self.set_faults(faults)
        return Response.of(faults)


def _object_response(stored: StoredObject | None) -> Response:
    return Response(status=404, body=b"{}") if stored is None else Response.of(stored)


def _change_response(changed: Result[StoredObject, WriteConflict]) -> Response:
    match changed:
        case Ok(stored):
            return Response.of(stored.model_copy(update={"value": ""}))
        case Err(WriteConflict(current=StoredObject() as current)):
            return Response.of(current, status=409)
        case Err(WriteConflict()):
            return Response(status=409, body=b"null")
