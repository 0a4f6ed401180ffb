"""Object store with revisions, lists and watches."""

import json
import threading
import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from gooseberryquay.links.http_server import HttpServer, Request, Response, Router

__all__ = ["ObjectStore", "StoreAvailability", "StoreCopy"]

HISTORY_MAX = 1000
WAIT_MAX_S = 30.0
TEXT_KEY = "text"
SILENCE_S = 30.0
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_GONE = 410
HTTP_UNAVAILABLE = 503


class StoreAvailability(Enum):
    """Behavior of the store towards requests."""

    AVAILABLE = "well"
    REFUSING = "refusing"
    UNRESPONSIVE = "silent"


@dataclass(frozen=True)
class _Change:
    kind: str
    revision: int
    document: dict[str, Any]
    is_deleted: bool


@dataclass(frozen=True)
class StoreCopy:
    """Hold the objects at one moment, from which a store may come back later."""

    objects: dict[tuple[str, str], dict[str, Any]]
    revision: int
    # Number of writes by operators and upstreams up to then.
    outside_write_count: int


@dataclass(frozen=True)
class _OutsideWrite:
    kind: str
    name: str
    spec: dict[str, Any] | None


class ObjectStore:
    """Store objects, which tests write directly and entries list and watch over HTTP."""

    def __init__(self, host: str = "127.0.0.1", port: int = 0) -> None:
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._history: deque[_Change] = deque(maxlen=HISTORY_MAX)
        self._compacted_revision = 0
        self._revision = 1
        self._era = 1
        self._outside_writes: list[_OutsideWrite] = []
        # Text that stands for the content of some objects, by a placeholder.
        self._texts: dict[str, str] = {}
        self._statuses: dict[tuple[str, str], list[dict[str, Any]]] = {}
        # Lists, by kind.
        self.list_counts: Counter[str] = Counter()
        self._changed = threading.Condition()
        self.availability = StoreAvailability.AVAILABLE
        self._server = HttpServer(host, port, self.build_router())

    def build_router(
        self, rewrite: Callable[[Request, Response], Response] = lambda _request, response: response
    ) -> Router:
        """Build the store's interface; `rewrite` is called with each response."""
        router = Router()
        for method, path, handle in (
            ("GET", "/api/objects/{kind}", self._get),
            ("GET", "/api/objects/{kind}/{name}", self._read),
            ("POST", "/api/objects/{kind}", self._create),
            ("PUT", "/api/objects/{kind}/{name}", self._replace),
            ("PUT", "/api/objects/{kind}/{name}/status", self._replace_status),
        ):
            router.add(method, path, self._in_era(handle, rewrite))
        return router

    def start(self) -> None:
        """Start serving in the background."""
        self._server.start()

    def stop(self) -> None:
        """Stop serving."""
        threading.Thread(target=self._server.stop, daemon=True).start()

    @property
    def port(self) -> int:
        """Return the bound TCP port."""
        return self._server.port

    def put(self, kind: str, name: str, spec: dict[str, Any]) -> int:
        """Write an object as an operator or upstream does and return its revision.

        The status that an entry has written stays.
        """
        with self._changed:
            self._outside_writes.append(_OutsideWrite(kind, name, spec))
            return self._put(kind, name, spec)

    def put_text(self, kind: str, name: str, text: str) -> int:
        """Write an object whose content is JSON text that need not be readable."""
        with self._changed:
            placeholder = f"text {len(self._texts)}"
            self._texts[json.dumps(placeholder)] = text
            return self._put(kind, name, {TEXT_KEY: placeholder})

    def _json(self, document: dict[str, Any]) -> Response:
        body = json.dumps(document)
        for placeholder, text in self._texts.items():
            body = body.replace(f'{{"{TEXT_KEY}": {placeholder}}}', text)
        return Response(body=body.encode())

    def statuses(self, kind: str, name: str) -> list[dict[str, Any]]:
        """Return the statuses that were written for an object, in order."""
        with self._changed:
            return list(self._statuses.get((kind, name), ()))

    def _put(
        self, kind: str, name: str, spec: dict[str, Any], status: dict[str, Any] | None = None
    ) -> int:
        with self._changed:
            self._revision += 1
            document = {"metadata": {"name": name, "revision": self._revision}, "spec": spec}
            status = status or self._objects.get((kind, name), {}).get("status")
            if status is not None:
                document["status"] = status
            self._objects[kind, name] = document
            self._append_change(_Change(kind, self._revision, document, False))
            return self._revision

    def delete(self, kind: str, name: str) -> None:
        """Delete an object, if it exists, as an operator or upstream does."""
        with self._changed:
            self._outside_writes.append(_OutsideWrite(kind, name, None))
            self._delete(kind, name)

    def _delete(self, kind: str, name: str) -> None:
        with self._changed:
            document = self._objects.pop((kind, name), None)
            if document is not None:
                self._revision += 1
                self._append_change(_Change(kind, self._revision, document, True))

    def names(self, kind: str) -> list[str]:
        """Return the names of all objects of a kind."""
        with self._changed:
            return [name for each, name in self._objects if each == kind]

    def take_copy(self) -> StoreCopy:
        """Copy the objects, as a backup does."""
        with self._changed:
            return StoreCopy(dict(self._objects), self._revision, len(self._outside_writes))

    def come_back_from(self, copy: StoreCopy, *, is_written_again: bool = True) -> None:
        """Lose what entries have written since a copy; revisions are given out again.

        Operators and upstreams write again what they have written since, at once or not at all.
        """
        with self._changed:
            self._era += 1
            self._objects = dict(copy.objects)
            self._revision = copy.revision
            kept = [each for each in self._history if each.revision <= copy.revision]
            self._history = deque(kept, maxlen=HISTORY_MAX)
            writes = self._outside_writes[copy.outside_write_count :]
            self._outside_writes = self._outside_writes[: copy.outside_write_count]
            for each in writes if is_written_again else ():
                if each.spec is None:
                    self.delete(each.kind, each.name)
                else:
                    self.put(each.kind, each.name, each.spec)
            self._changed.notify_all()

    def forget_history(self) -> None:
        """Drop the change history, which ends waiting watches with status 410."""
        with self._changed:
            self._history.clear()
            self._compacted_revision = self._revision
            self._changed.notify_all()

    def _append_change(self, change: _Change) -> None:
        self._history.append(change)
        self._changed.notify_all()

    def _in_era(
        self,
        handle: Callable[[Request], Response],
        rewrite: Callable[[Request, Response], Response],
    ) -> Callable[[Request], Response]:
        def respond(request: Request) -> Response:
            response = rewrite(request, handle(request))
            response.headers["Store-Era"] = str(self._era)
            return response

        return respond

    def _is_refused(self) -> bool:
        match self.availability:
            case StoreAvailability.REFUSING:
                return True
            case StoreAvailability.UNRESPONSIVE:
                time.sleep(SILENCE_S)
            case StoreAvailability.AVAILABLE:
                pass
        return False

    def _read(self, request: Request) -> Response:
        if self._is_refused():
            return Response(status=HTTP_UNAVAILABLE, body=b"{}")
        with self._changed:
            document = self._objects.get((request.path_values["kind"], request.path_values["name"]))
        return (
            Response(status=HTTP_NOT_FOUND, body=b"{}")
            if document is None
            else self._json(document)
        )

    def _create(self, request: Request) -> Response:
        sent = json.loads(request.body)
        return self._write(request.path_values["kind"], sent["metadata"]["name"], sent)

    def _replace(self, request: Request) -> Response:
        return self._write(
            request.path_values["kind"], request.path_values["name"], json.loads(request.body)
        )

    def _replace_status(self, request: Request) -> Response:
        """Write the status if the given revision is current."""
        if self._is_refused():
            return Response(status=HTTP_UNAVAILABLE, body=b"{}")
        kind, name = request.path_values["kind"], request.path_values["name"]
        sent = json.loads(request.body)
        with self._changed:
            found = self._objects.get((kind, name))
            if found is None:
                return Response(status=HTTP_NOT_FOUND, body=b"{}")
            if found["metadata"]["revision"] != sent["metadata"].get("revision"):
                return Response(status=HTTP_CONFLICT, body=json.dumps(found).encode())
            self._statuses.setdefault((kind, name), []).append(sent["status"])
            self._put(kind, name, found["spec"], sent["status"])
            return self._json(self._objects[kind, name])

    def _write(self, kind: str, name: str, sent: dict[str, Any]) -> Response:
        """Write if the given revision is current; without a revision, only if the object is new."""
        if self._is_refused():
            return Response(status=HTTP_UNAVAILABLE, body=b"{}")
        with self._changed:
            found = self._objects.get((kind, name))
            known = found["metadata"]["revision"] if found is not None else None
            if known != sent["metadata"].get("revision"):
                body = json.dumps(found or {}).encode()
                return Response(status=HTTP_CONFLICT, body=body)
            self._put(kind, name, sent["spec"])
            return self._json(self._objects[kind, name])

    def _get(self, request: Request) -> Response:
        if self._is_refused():
            return Response(status=HTTP_UNAVAILABLE, body=b"{}")
        kind = request.path_values["kind"]
        if "watch" not in request.query:
            return self._list(kind)
        wait_s = min(WAIT_MAX_S, int(request.query.get("wait_ms", "0")) / 1000.0)
        return self._watch(kind, int(request.query["watch"]), wait_s)

    def _list(self, kind: str) -> Response:
        with self._changed:
            self.list_counts[kind] += 1
            items = [each for (of, _), each in self._objects.items() if of == kind]
            return self._json({"items": items, "has_more": False, "at": self._revision})

    def _watch(self, kind: str, revision: int, wait_s: float) -> Response:
        deadline_s = time.monotonic() + wait_s
        with self._changed:
            while True:
                if revision < self._compacted_revision or revision > self._revision:
                    return Response(status=HTTP_GONE, body=b"{}")
                found = [
                    {"object": each.document, "deleted": each.is_deleted}
                    for each in self._history
                    if each.kind == kind and each.revision > revision
                ]
                left_s = deadline_s - time.monotonic()
                if found or left_s <= 0.0:
                    return self._json({"events": found, "at": self._revision})
                self._changed.wait(left_s)
