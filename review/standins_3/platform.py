"""The platform's store, with a view of its own for each machine where that is wanted."""

import json
import threading
import time
from collections import deque
from urllib.parse import parse_qs, unquote, urlsplit

from review.standins_3.wire import Listener, Wire

JSON = ("Content-Type", "application/json")
OBJECTS = "/api/objects/"
HISTORY_S = 20.0


class Store:
    """Objects with revisions, lists and watches, as PROTOCOL.md describes them."""

    def __init__(self) -> None:
        # Kind and name of each object, with its revision and the JSON text of its spec and status.
        self._objects: dict[tuple[str, str], tuple[int, bytes, bytes]] = {}
        self._history: deque[tuple[float, int, str, bytes]] = deque()
        self._gone = 0
        self._revision = 100
        self._changed = threading.Condition()
        self.calls = 0

    def view(self, rewrite=lambda text: text) -> Listener:
        """Serve the store at a port of its own; `rewrite` is applied to each response."""
        return Listener(lambda wire: self._serve(wire, rewrite))

    def put(self, kind: str, name: str, spec: object) -> float:
        """Write an object as an operator or a server does; return when it was acknowledged."""
        return self.put_text(kind, name, json.dumps(spec).encode())

    def put_text(self, kind: str, name: str, text: bytes) -> float:
        """Write an object whose content need not be readable."""
        with self._changed:
            _, _, status = self._objects.get((kind, name), (0, b"", b"null"))
            self._store(kind, name, text, status)
        return time.monotonic()

    def delete(self, kind: str, name: str) -> float:
        """Remove an object; return when that was acknowledged."""
        with self._changed:
            if (kind, name) in self._objects:
                document = self._document(kind, name)
                del self._objects[kind, name]
                self._add_change(kind, document, is_deleted=True)
        return time.monotonic()

    def _store(self, kind: str, name: str, spec: bytes, status: bytes) -> None:
        known = self._objects.get((kind, name))
        if known is not None and known[1:] == (spec, status):
            return
        self._objects[kind, name] = (self._revision + 1, spec, status)
        self._add_change(kind, self._document(kind, name), is_deleted=False)

    def _add_change(self, kind: str, document: bytes, is_deleted: bool) -> None:
        self._revision += 1
        deleted = b"true" if is_deleted else b"false"
        event = b'{"deleted":%b,"object":%b}' % (deleted, document)
        self._history.append((time.monotonic(), self._revision, kind, event))
        while self._history[0][0] < time.monotonic() - HISTORY_S:
            self._gone = self._history.popleft()[1]
        self._changed.notify_all()

    def _document(self, kind: str, name: str) -> bytes:
        revision, spec, status = self._objects[kind, name]
        metadata = {
            "name": name,
            "revision": revision,
            "created": 1,
            "finalizers": [],
            "deletion_pending": False,
        }
        metadata_text = json.dumps(metadata).encode()
        return b'{"metadata":%b,"spec":%b,"status":%b}' % (metadata_text, spec, status)

    def _serve(self, wire: Wire, rewrite) -> None:
        while True:
            request = wire.read_message()
            self.calls += 1
            status, body = self._respond(request)
            wire.respond(status, [JSON, ("Store-Era", "1")], rewrite(body))

    def _respond(self, request) -> tuple[str, bytes]:
        parts = urlsplit(request.target)
        query = {name: values[-1] for name, values in parse_qs(parts.query).items()}
        if not parts.path.startswith(OBJECTS):
            return "404 Not Found", b"{}"
        names = [unquote(each) for each in parts.path[len(OBJECTS) :].split("/")]
        kind, rest = names[0], names[1:]
        if request.method == "GET" and not rest:
            if "watch" in query:
                return self._watch(kind, int(query["watch"]), int(query.get("wait_ms", "0")))
            return self._list(kind, query.get("after"))
        if request.method == "GET":
            with self._changed:
                if (kind, rest[0]) in self._objects:
                    return "200 OK", self._document(kind, rest[0])
            return "404 Not Found", b"{}"
        return self._write(request, kind, rest)

    def _list(self, kind: str, after: str | None) -> tuple[str, bytes]:
        with self._changed:
            found = sorted(name for of, name in self._objects if of == kind)
            items = [self._document(kind, each) for each in found if after is None or each > after]
            body = b'{"items":[%b],"has_more":false,"at":%d}' % (b",".join(items), self._revision)
        return "200 OK", body

    def _watch(self, kind: str, revision: int, wait_ms: int) -> tuple[str, bytes]:
        until_s = time.monotonic() + min(30_000, wait_ms) / 1000.0
        with self._changed:
            while True:
                if not self._gone <= revision <= self._revision:
                    return "410 Gone", b"{}"
                found = [
                    event for _, at, of, event in self._history if of == kind and at > revision
                ]
                left_s = until_s - time.monotonic()
                if found or left_s <= 0.0:
                    events = b",".join(found)
                    return "200 OK", b'{"events":[%b],"at":%d}' % (events, self._revision)
                self._changed.wait(left_s)

    def _write(self, request, kind: str, rest: list[str]) -> tuple[str, bytes]:
        sent = json.loads(request.body) if request.body else {}
        metadata = sent.get("metadata") or {}
        name = rest[0] if rest else metadata["name"]
        with self._changed:
            known = self._objects.get((kind, name))
            if request.method == "POST":
                if known is not None:
                    return "409 Conflict", self._document(kind, name)
                self._store(kind, name, json.dumps(sent.get("spec")).encode(), b"null")
                return "200 OK", self._document(kind, name)
            if known is None:
                return "404 Not Found", b"{}"
            if metadata.get("revision") not in (None, known[0]):
                return "409 Conflict", self._document(kind, name)
            if request.method == "DELETE":
                document = self._document(kind, name)
                self.delete(kind, name)
                return "200 OK", document
            spec, status = known[1], known[2]
            if len(rest) > 1:
                status = json.dumps(sent.get("status")).encode()
            else:
                spec = json.dumps(sent.get("spec")).encode()
            self._store(kind, name, spec, status)
            return "200 OK", self._document(kind, name)
