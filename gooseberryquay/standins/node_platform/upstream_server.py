"""One engine or plain service, as the users' platform runs them."""

import json
import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from gooseberryquay.links.streaming_gateway import CallerDisconnected, StreamingGateway
from gooseberryquay.links.strict_request import BodyIncomplete, read_whole_body
from gooseberryquay.standins.node_platform.run_record import RunRecord
from gooseberryquay.standins.node_platform.upstream_crash import (
    CrashingServer,
    CrashMode,
    crash_mode_of,
)
from gooseberryquay.standins.process import find_free_port

__all__ = ["ModelEngine", "PlainService", "UpstreamFaults"]

MS_PER_S = 1000.0
HEADER_BYTES_MAX = 65536
BODY_BYTES_MAX = 4 * 1024 * 1024
FORGED = ("x-hold", "x-pin-ms")
JSON_HEADERS = [("Content-Type", "application/json")]


@dataclass
class UpstreamFaults:
    """Set how often an upstream misbehaves, as shares of its requests."""

    shed_share: float = 0.0
    error_share: float = 0.0
    lose_answer_share: float = 0.0
    cut_share: float = 0.0
    # Seconds for which an upstream that turns a request away wants no other.
    pause_s: float | None = None


@dataclass
class _Heard:
    gateway: StreamingGateway
    headers: dict[str, str]
    body: bytes
    notices: list[tuple[str, str]]

    @property
    def id(self) -> str:
        return self.headers.get("x-attempt-id", "")

    def answer(self, status: str, headers: list[tuple[str, str]], body: bytes = b"") -> None:
        sent = [*headers, *self.notices, ("X-Attempt-Id", self.id)]
        sent.append(("Content-Length", str(len(body))))
        self.gateway.start(status, sent)
        self.gateway.write_all(body)


class _Upstream:
    """Check what every upstream checks, then run the request."""

    def __init__(self, id: str, record: RunRecord, source: random.Random) -> None:
        self.id = id
        self.record = record
        self.faults = UpstreamFaults()
        self.is_crashed = False
        self.is_leaving = False
        self.born_ms = int(time.time() * MS_PER_S)
        self.on_crash: Callable[[], None] = lambda: None
        self._random = source
        self._open: set[StreamingGateway] = set()
        self._crash_lock = threading.Lock()
        self._is_silent = False
        self._released = threading.Event()
        self._server = CrashingServer(
            "127.0.0.1", find_free_port(), self._forward, HEADER_BYTES_MAX, BODY_BYTES_MAX
        )

    def start(self) -> None:
        """Serve in the background."""
        self._server.start()

    def stop(self) -> None:
        """End without a crash: cut everything off."""
        self.is_crashed = True
        self._released.set()
        self._server.release()
        # The server would wait for connections that callers keep open.
        threading.Thread(target=self._server.stop, daemon=True).start()

    def crash(self, mode: CrashMode) -> None:
        """End as a process does whose request was too much for it."""
        with self._crash_lock:
            if self.is_crashed:
                return
            self._is_silent = mode is CrashMode.SILENTLY
            self.is_crashed = True
        self._server.vanish(mode)
        if not self._is_silent:
            for gateway in list(self._open):
                gateway.abort()
            threading.Thread(target=self._server.stop, daemon=True).start()
        self.record.saw_crash(self.id)
        self.on_crash()

    @property
    def port(self) -> int:
        """Give the bound TCP port."""
        return self._server.port

    def _end_if_crashed(self) -> None:
        if self.is_crashed:
            if self._is_silent:
                self._released.wait()
            raise CallerDisconnected("the upstream has crashed")

    def _forward(self, gateway: StreamingGateway) -> None:
        self._open.add(gateway)
        try:
            self._serve(gateway)
        finally:
            self._open.discard(gateway)

    def _serve(self, gateway: StreamingGateway) -> None:
        try:
            body = read_whole_body(gateway.req)
        except BodyIncomplete:
            gateway.abort()
            return
        headers = {
            name.decode().lower(): value.decode("latin-1")
            for name, value in gateway.req.inheaders.pairs
        }
        heard = _Heard(gateway, headers, body, self._notices())
        try:
            self._end_if_crashed()
            self._take(heard)
        except CallerDisconnected:
            gateway.abort()

    def _take(self, heard: _Heard) -> None:
        if self._take_control(heard):
            return
        self.record.saw_arrival(self.id)
        if heard.headers.get("x-expect-instance", self.id) != self.id:
            heard.answer("421 Misdirected Request", [("X-Instance-Id", self.id)])
            return
        if self._draws(self.faults.shed_share):
            heard.answer("503 Service Unavailable", [("X-Not-Executed", "1"), *self._pause()])
            return
        mode = crash_mode_of(heard.body)
        if mode is not None:
            self.record.saw_crasher(self.id)
            if mode is not CrashMode.MIDWAY:
                self.crash(mode)
                self._end_if_crashed()
        if any(name in heard.headers for name in FORGED) or "authorization" in heard.headers:
            self.record.saw_unasked(f"{heard.id} with a caller's own {sorted(heard.headers)}")
        self._run(heard)

    def _notices(self) -> list[tuple[str, str]]:
        return [("Server-Leaving", "1")] if self.is_leaving else []

    def _pause(self) -> list[tuple[str, str]]:
        pause_s = self.faults.pause_s
        return [("Retry-After", f"{pause_s:.2f}")] if pause_s is not None else []

    def _draws(self, share: float) -> bool:
        return self._random.random() < share

    def _take_control(self, heard: _Heard) -> bool:
        """Answer a call that is no request of a caller; False if it is one."""
        return False

    def _crash_midway(self, heard: _Heard) -> None:
        if crash_mode_of(heard.body) is CrashMode.MIDWAY:
            self.crash(CrashMode.MIDWAY)

    def _run(self, heard: _Heard) -> None:
        raise NotImplementedError


class PlainService(_Upstream):
    """Run operations that take a little while."""

    work_s = 0.02

    def _run(self, heard: _Heard) -> None:
        self.record.saw_run(heard.id, self.id)
        time.sleep(self.work_s)
        self._crash_midway(heard)
        self._end_if_crashed()
        if self._draws(self.faults.lose_answer_share):
            heard.gateway.abort()
        elif self._draws(self.faults.error_share):
            heard.answer("500 Internal Server Error", [("X-Response-Seal", f"{heard.id}.e")])
        else:
            body = f"done {heard.id}".encode()
            heard.answer("200 OK", [("X-Response-Seal", f"{heard.id}.s")], body)


@dataclass
class _Generation:
    """Hold the memory of one run."""

    made: int = 0
    is_stopped: bool = False
    changed: threading.Condition = field(default_factory=threading.Condition)


class ModelEngine(_Upstream):
    """Generate numbered events and copy a run's memory to other engines."""

    event_s = 0.01
    copy_s = 0.02

    def __init__(
        self, id: str, record: RunRecord, source: random.Random, others: "dict[int, ModelEngine]"
    ) -> None:
        super().__init__(id, record, source)
        self._others = others
        self._running: dict[str, _Generation] = {}
        self._copies: dict[str, int] = {}
        self._lock = threading.Lock()

    def start(self) -> None:
        """Serve in the background."""
        super().start()
        self._others[self.port] = self

    def take_copy(self, handle: str, made: int) -> None:
        """Hold a copy for the request that goes on from it."""
        with self._lock:
            self._copies[handle] = made

    def _take_control(self, heard: _Heard) -> bool:
        path = heard.gateway.req.path.decode()
        if path == "/api/kv-move":
            self._move(heard, json.loads(heard.body))
        elif path == "/api/report":
            report = {"state": "draining" if self.is_leaving else "ready", "born": self.born_ms}
            heard.answer("200 OK", JSON_HEADERS, json.dumps(report).encode())
        elif path.startswith("/api/kv-handle/"):
            with self._lock:
                self._copies.pop(path.rpartition("/")[2], None)
            heard.answer("200 OK", JSON_HEADERS, b"{}")
        else:
            return False
        return True

    def _move(self, heard: _Heard, order: dict[str, Any]) -> None:
        run = self._running.get(order["id"])
        target = self._others.get(int(order["target"].rpartition(":")[2]))
        if run is None:
            heard.answer("404 Not Found", JSON_HEADERS)
            return
        if target is None or target.is_crashed:
            heard.answer("503 Service Unavailable", JSON_HEADERS, b"{}")
            return
        time.sleep(self.copy_s)
        with run.changed:
            run.is_stopped = run.is_stopped or bool(order["final"])
            made = run.made
        handle = f"h{order['id']}"
        target.take_copy(handle, made)
        self.take_copy(handle, made)
        body = json.dumps({"handle": handle, "created": made}).encode()
        heard.answer("200 OK", JSON_HEADERS, body)

    def _run(self, heard: _Heard) -> None:
        last = int(heard.headers.get("x-token-usage", "1,8").partition(",")[2]) // 4
        made = int(heard.headers.get("last-event-id", "0"))
        copy = heard.headers.get("kv-from")
        if copy is not None:
            with self._lock:
                known = self._copies.pop(copy.rpartition("/")[2], None)
            if known is None:
                heard.answer("503 Service Unavailable", [("X-Not-Executed", "1")])
                return
        else:
            self.record.saw_run(heard.id, self.id)
        run = _Generation(made)
        self._running[heard.id] = run
        try:
            self._stream(heard, run, last)
        finally:
            self._running.pop(heard.id, None)

    def _stream(self, heard: _Heard, run: _Generation, last: int) -> None:
        headers = [
            ("Content-Type", "text/event-stream"),
            ("X-Attempt-Id", heard.id),
            ("X-Response-Seal", f"{heard.id}.s"),
            *heard.notices,
        ]
        cut_at = self._random.randrange(1, last + 1) if self._draws(self.faults.cut_share) else None
        heard.gateway.start("200 OK", headers)
        while run.made < last:
            time.sleep(self.event_s)
            if run.made == 1:
                self._crash_midway(heard)
            self._end_if_crashed()
            with run.changed:
                if run.is_stopped or run.made == cut_at:
                    heard.gateway.abort()
                    return
                run.made += 1
                heard.gateway.write(f"id: {run.made}\ndata: {heard.id}\n\n".encode())
        heard.gateway.write_all(b"")
