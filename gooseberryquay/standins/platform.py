"""Stand-in for the platform: versioned objects with conditional writes and watches."""

import threading
import time

from pydantic import ValidationError

from gooseberryquay.links.http_server import HttpServer, Request, Response, Router
from gooseberryquay.links.platform_messages import (
    InstanceEntry,
    InstanceList,
    StoredObject,
    StoredObjectList,
    WriteRequest,
)

__all__ = ["PlatformStandIn"]

MAX_VALUE_BYTES = 1024 * 1024
MAX_WATCH_S = 60.0


class PlatformStandIn:
    """Keep objects in memory and serve them over HTTP."""

    def __init__(self, host: str = "127.0.0.1", port: int = 0) -> None:
        self._objects: dict[str, StoredObject] = {}
        self._instances: dict[str, InstanceEntry] = {}
        self._changed = threading.Condition()
        self._server = HttpServer(host, port, self._build_router())

    def start(self) -> None:
        """Serve in the background."""
        self._server.start()

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop()

    @property
    def port(self) -> int:
        """Give the bound TCP port."""
        return self._server.port

    def _build_router(self) -> Router:
        router = Router()
        router.add("GET", "/objects", self._list)
        router.add("GET", "/objects/{key}", self._read)
        router.add("PUT", "/objects/{key}", self._write)
        router.add("DELETE", "/objects/{key}", self._delete)
        router.add("GET", "/watch/{key}", self._watch)
        router.add("GET", "/instances", self._list_instances)
        router.add("PUT", "/instances/{id}", self._put_instance)
        return router

    def _list(self, request: Request) -> Response:
        prefix = request.query.get("prefix", "")
        with self._changed:
            found = tuple(each for key, each in self._objects.items() if key.startswith(prefix))
        return Response.of(StoredObjectList(objects=found))

    def _read(self, request: Request) -> Response:
        with self._changed:
            stored = self._objects.get(request.path_values["key"])
        return _answer_object(stored)

    def _write(self, request: Request) -> Response:
        try:
            wanted = WriteRequest.model_validate_json(request.body)
        except ValidationError:
            return Response(status=400)
        if len(wanted.value.encode()) > MAX_VALUE_BYTES:
            return Response(status=413)
        key = request.path_values["key"]
        with self._changed:
            current = self._objects.get(key)
            version = current.version if current else 0
            if wanted.expected_version not in (None, version):
                return _answer_conflict(current)
            stored = StoredObject(key=key, version=version + 1, value=wanted.value)
            self._objects[key] = stored
            self._changed.notify_all()
        return Response.of(StoredObject(key=key, version=stored.version, value=""))

    def _delete(self, request: Request) -> Response:
        key = request.path_values["key"]
        expected = int(request.query.get("expected_version", "0"))
        with self._changed:
            current = self._objects.get(key)
            if current is None or current.version != expected:
                return _answer_conflict(current)
            del self._objects[key]
            self._changed.notify_all()
        return Response.of(StoredObject(key=key, version=expected, value=""))

    def _watch(self, request: Request) -> Response:
        key = request.path_values["key"]
        after = int(request.query.get("after_version", "0"))
        timeout_s = min(float(request.query.get("timeout_s", "10")), MAX_WATCH_S)
        deadline = time.monotonic() + timeout_s
        with self._changed:
            while True:
                stored = self._objects.get(key)
                if stored is not None and stored.version > after:
                    return Response.of(stored)
                remaining_s = deadline - time.monotonic()
                if remaining_s <= 0:
                    return Response(status=204)
                self._changed.wait(remaining_s)

    def _list_instances(self, _request: Request) -> Response:
        with self._changed:
            return Response.of(InstanceList(instances=tuple(self._instances.values())))

    def _put_instance(self, request: Request) -> Response:
        entry = InstanceEntry.model_validate_json(request.body)
        with self._changed:
            self._instances[entry.id] = entry
        return Response.of(entry)


def _answer_object(stored: StoredObject | None) -> Response:
    return Response(status=404) if stored is None else Response.of(stored)


def _answer_conflict(current: StoredObject | None) -> Response:
    if current is None:
        return Response(status=409, body=b"null")
    return Response.of(current, status=409)
