"""Model engine and plain service, as the users' platform runs them."""

import http.client
import json
import math
import random
import threading
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from gooseberryquay.links.streaming_gateway import CallerDisconnected, StreamingGateway
from gooseberryquay.links.strict_request import BodyIncomplete, read_whole_body
from gooseberryquay.standins.node_platform.received_request import (
    ReceivedRequest,
    reset_connection,
)
from gooseberryquay.standins.node_platform.run_record import RunRecord
from gooseberryquay.standins.node_platform.upstream_crash import (
    CrashingPart,
    CrashingServer,
    CrashMode,
    crash_mode_of,
)
from gooseberryquay.standins.node_platform.waiting_room import Capacity, WaitingRoom
from gooseberryquay.standins.process import find_free_port

__all__ = [
    "AnswerFaults",
    "FinalCopyAnswer",
    "ModelEngine",
    "PlainService",
    "UpstreamFaults",
    "failure_body",
]

MS_PER_S = 1000.0
HEADER_BYTES_MAX = 65536
BODY_BYTES_MAX = 4 * 1024 * 1024
RESERVED_HEADERS = ("x-hold", "x-pin-ms")
NOT_RUN_STATUS_LINES = (
    "408 Request Timeout",
    "421 Misdirected Request",
    "429 Too Many Requests",
    "503 Service Unavailable",
)
# A stream whose engine has ended it may still be on the link for this time.
ON_LINK_S = 1.0
ENDED_MAX = 1000
ENDLESS_INTERVAL_S = 0.01
CUT_WITHIN_EVENT_SHARE = 0.5
JSON_HEADERS = [("Content-Type", "application/json")]


def failure_body(request: str) -> str:
    """Return the body with which an upstream responds that a request has failed."""
    return f"failed {request}"


@dataclass
class UpstreamFaults:
    """Probability of each fault for a request to an upstream."""

    shed_share: float = 0.0
    error_share: float = 0.0
    lose_answer_share: float = 0.0
    cut_share: float = 0.0
    # Value of Retry-After in seconds when the upstream sheds a request.
    pause_s: float | None = None
    # Requests per second that the upstream states in all its responses.
    rate_limit_per_s: float | None = None


@dataclass(frozen=True)
class AnswerFaults:
    """Probability that an upstream runs a request, then refuses it or stops within the head."""

    unmarked_refusal_share: float = 0.0
    head_cut_share: float = 0.0


@dataclass(frozen=True)
class FinalCopyAnswer:
    """Describe how an engine answers a final copy, and whether it stops the run before that.

    Without a status, the connection is closed without an answer.
    """

    status_line: str | None = "200 OK"
    stops_run: bool = True
    has_handle: bool = True
    is_readable: bool = True
    delay_s: float = 0.0


class _Upstream:
    """Apply the checks common to all upstreams, then run the request."""

    # Streams and bodies have neither chunks nor a length and end with their connection.
    is_unframed = False

    def __init__(self, id: str, record: RunRecord, rng: random.Random) -> None:
        self.id = id
        self.record = record
        self.faults = UpstreamFaults()
        self.answer_faults = AnswerFaults()
        self.is_crashed = False
        self.is_leaving = False
        self.version = "v1"
        self.born_ms = int(time.time() * MS_PER_S)
        self.on_crash: Callable[[], None] = lambda: None
        self._rng = rng
        # Draws of its own keep the other faults of a seed the same.
        self._answer_rng = random.Random(id)
        self._open: set[StreamingGateway] = set()
        self._crash_lock = threading.Lock()
        self._is_silent = False
        self._waiting_room: WaitingRoom | None = None
        self._released = threading.Event()
        self._server = CrashingServer(
            "127.0.0.1", find_free_port(), self._forward, HEADER_BYTES_MAX, BODY_BYTES_MAX
        )

    def start(self) -> None:
        """Start serving in the background."""
        self._server.start()

    def stop(self) -> None:
        """Stop without a crash and abort open requests."""
        self.is_crashed = True
        self._released.set()
        self._server.release()
        # Stopping blocks until callers have closed their persistent connections.
        threading.Thread(target=self._server.stop, daemon=True).start()

    def set_capacity(self, capacity: Capacity | None) -> None:
        """Bound the requests that run and wait; the capacity may change during requests."""
        if capacity is None:
            self._waiting_room = None
        elif self._waiting_room is None:
            self._waiting_room = WaitingRoom(capacity)
        else:
            self._waiting_room.capacity = capacity

    def crash(self, mode: CrashMode) -> None:
        """Simulate a process that crashes because of a request."""
        with self._crash_lock:
            if self.is_crashed:
                return
            self._is_silent = mode is CrashMode.SILENTLY
            self.is_crashed = True
        self._server.simulate_crash(mode)
        if not self._is_silent:
            for gateway in list(self._open):
                self._break_off(gateway)
            threading.Thread(target=self._server.stop, daemon=True).start()
        self.record.add_crash(self.id)
        self.on_crash()

    @property
    def port(self) -> int:
        """Return the bound TCP port."""
        return self._server.port

    def record_broken_link(self) -> None:
        """Record that the link has broken beneath all streams in progress."""

    def _raise_if_crashed(self) -> None:
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
        received = ReceivedRequest(gateway, headers, body, self._status_headers())
        try:
            self._raise_if_crashed()
            self._handle(received)
        except CallerDisconnected:
            self._break_off(gateway)

    def _break_off(self, gateway: StreamingGateway) -> None:
        """End a response so that it cannot look complete, whether it is framed or not."""
        if self.is_unframed:
            reset_connection(gateway)
        else:
            gateway.abort()

    def _handle(self, received: ReceivedRequest) -> None:
        if self._handle_control(received):
            return
        self.record.add_arrival(self.id, received.id)
        if received.headers.get("x-expect-instance", self.id) != self.id:
            received.respond("421 Misdirected Request", [("X-Instance-Id", self.id)])
            return
        if self._occurs(self.faults.shed_share):
            self._shed(received)
            return
        mode = crash_mode_of(received.body)
        if mode is not None:
            self.record.add_crash_request(self.id)
            if mode is not CrashMode.MIDWAY:
                self.crash(mode)
                self._raise_if_crashed()
        if (
            any(name in received.headers for name in RESERVED_HEADERS)
            or "authorization" in received.headers
        ):
            self.record.add_unexpected(
                f"{received.id} with headers of the caller {sorted(received.headers)}"
            )
        room = self._waiting_room
        if room is None:
            self._run(received)
        elif room.enter():
            try:
                self._run(received)
            finally:
                room.leave()
        else:
            self._turn_away(received, room)

    def _turn_away(self, received: ReceivedRequest, room: WaitingRoom) -> None:
        self.record.add_turned_away(self.id)
        if room.falls_over():
            self.record.add_fall(self.id)
            self.crash(CrashMode.AT_ARRIVAL)
            self._raise_if_crashed()
        received.respond("503 Service Unavailable", [("X-Not-Executed", "1")])

    def _shed(self, received: ReceivedRequest) -> None:
        headers = [("X-Not-Executed", "1"), *self._retry_after()]
        if self._answer_rng.random() < self.answer_faults.head_cut_share:
            received.cut_head("503 Service Unavailable", headers, self._answer_rng.random())
        else:
            received.respond("503 Service Unavailable", headers)

    def _fails_to_answer(self, received: ReceivedRequest) -> bool:
        """Refuse a request that was run, or stop within the head, if the faults say so."""
        faults = self.answer_faults
        if self._answer_rng.random() < faults.unmarked_refusal_share:
            self._respond_failed(received, self._answer_rng.choice(NOT_RUN_STATUS_LINES))
            return True
        if self._answer_rng.random() < faults.head_cut_share:
            status = self._answer_rng.choice(("200 OK", *NOT_RUN_STATUS_LINES))
            seal = ("X-Response-Seal", f"{received.id}.e")
            received.cut_head(status, [seal], self._answer_rng.random())
            return True
        return False

    def _status_headers(self) -> list[tuple[str, str]]:
        headers = [("Server-Leaving", "1")] if self.is_leaving else []
        if self.faults.rate_limit_per_s is not None:
            headers.append(("Server-Limit", f"{self.faults.rate_limit_per_s:.2f}"))
        room = self._waiting_room
        if room is not None:
            headers.append(("X-Instance-Load", room.load()))
            if room.capacity.brittle_per_s is not None:
                headers.append(("Server-Brittle", f"{room.capacity.brittle_per_s}"))
        return headers

    def _retry_after(self) -> list[tuple[str, str]]:
        pause_s = self.faults.pause_s
        return [("Retry-After", f"{pause_s:.2f}")] if pause_s is not None else []

    def _occurs(self, share: float) -> bool:
        return self._rng.random() < share

    def _handle_control(self, received: ReceivedRequest) -> bool:
        """Respond to a control call of an entry; return False if the call is a caller's request."""
        return False

    def _crash_midway(self, received: ReceivedRequest) -> None:
        if crash_mode_of(received.body) is CrashMode.MIDWAY:
            self.crash(CrashMode.MIDWAY)

    def _respond_failed(self, received: ReceivedRequest, status_line: str) -> None:
        """Respond that a request that was run has failed."""
        self.record.add_sealed_status(received.id, int(status_line[:3]))
        seal = ("X-Response-Seal", f"{received.id}.e")
        body = failure_body(received.id).encode()
        received.respond(status_line, [seal], body, is_unframed=self.is_unframed)

    def _run(self, received: ReceivedRequest) -> None:
        raise NotImplementedError


class PlainService(_Upstream):
    """Run operations of a fixed duration, or of one drawn from a range."""

    work_s = 0.02
    # Shortest and longest operation, if they differ.
    work_range_s: tuple[float, float] | None = None

    def _work_s(self, request: str) -> float:
        """Return the duration of a request's operation, the same wherever it runs."""
        if self.work_range_s is None:
            return self.work_s
        shortest, longest = map(math.log, self.work_range_s)
        return math.exp(random.Random(request).uniform(shortest, longest))

    def _run(self, received: ReceivedRequest) -> None:
        self.record.add_run(received.id, self.id)
        time.sleep(self._work_s(received.id))
        self._crash_midway(received)
        self._raise_if_crashed()
        if self._fails_to_answer(received):
            return
        seal = ("X-Response-Seal", f"{received.id}.s")
        body = f"done {received.id}".encode()
        if self._occurs(self.faults.lose_answer_share):
            if self.is_unframed:
                received.cut_body("200 OK", [seal], body)
            else:
                received.gateway.abort()
        elif self._occurs(self.faults.error_share):
            self._respond_failed(received, "500 Internal Server Error")
        else:
            self.record.add_sealed_status(received.id, http.client.OK)
            received.respond("200 OK", [seal], body, is_unframed=self.is_unframed)


@dataclass
class _Generation:
    """State of one generation: the events sent so far and whether it was stopped."""

    event_count: int = 0
    is_stopped: bool = False
    changed: threading.Condition = field(default_factory=threading.Condition)


class ModelEngine(_Upstream):
    """Generate numbered events and copy the KV cache of a generation to other engines."""

    event_s = 0.01
    copy_s = 0.02
    crashing_part: CrashingPart | None = None
    final_copy_answer = FinalCopyAnswer()
    # Sent again and again in place of events.
    endless_piece: bytes | None = None

    def __init__(
        self,
        id: str,
        record: RunRecord,
        rng: random.Random,
        engines_by_port: "dict[int, ModelEngine]",
    ) -> None:
        super().__init__(id, record, rng)
        self._engines_by_port = engines_by_port
        self._running: dict[str, _Generation] = {}
        self._ended: deque[tuple[float, str]] = deque(maxlen=ENDED_MAX)
        self._kv_copies: dict[str, int] = {}
        self._lock = threading.Lock()

    def start(self) -> None:
        """Start serving in the background."""
        super().start()
        self._engines_by_port[self.port] = self

    def record_broken_link(self) -> None:
        """Record that the link has broken beneath all streams in progress."""
        since_s = time.monotonic() - ON_LINK_S
        on_link = [id for ended_at_s, id in list(self._ended) if ended_at_s >= since_s]
        for id in [*list(self._running), *on_link]:
            self.record.add_broken_off(id)

    def store_kv_copy(self, handle: str, event_count: int) -> None:
        """Store a KV cache copy for the request that resumes from it."""
        with self._lock:
            self._kv_copies[handle] = event_count

    def _handle_control(self, received: ReceivedRequest) -> bool:
        path = received.gateway.req.path.decode()
        if path == "/api/kv-move":
            self._copy_kv_cache(received, json.loads(received.body))
        elif path == "/api/report":
            report = {"state": "draining" if self.is_leaving else "ready", "born": self.born_ms}
            received.respond("200 OK", JSON_HEADERS, json.dumps(report).encode())
        elif path.startswith("/api/kv-handle/"):
            with self._lock:
                self._kv_copies.pop(path.rpartition("/")[2], None)
            received.respond("200 OK", JSON_HEADERS, b"{}")
        else:
            return False
        return True

    def _copy_kv_cache(self, received: ReceivedRequest, message: dict[str, Any]) -> None:
        run = self._running.get(message["id"])
        target = self._engines_by_port.get(int(message["target"].rpartition(":")[2]))
        if run is None:
            received.respond("404 Not Found", JSON_HEADERS)
            return
        if target is None or target.is_crashed:
            received.respond("503 Service Unavailable", JSON_HEADERS, b"{}")
            return
        if message["final"]:
            self._finish_copy(received, run, target)
            return
        time.sleep(self.copy_s)
        handle = f"h{message['id']}"
        target.store_kv_copy(handle, run.event_count)
        self.store_kv_copy(handle, run.event_count)
        body = json.dumps({"handle": handle, "created": run.event_count}).encode()
        received.respond("200 OK", JSON_HEADERS, body)

    def _finish_copy(
        self, received: ReceivedRequest, run: _Generation, target: "ModelEngine"
    ) -> None:
        """Stop a run, then copy what is new of its KV cache."""
        answer = self.final_copy_answer
        if answer.stops_run:
            with run.changed:
                run.is_stopped = True
            self.record.add_stopped(json.loads(received.body)["id"])
        time.sleep(self.copy_s + answer.delay_s)
        if answer.status_line is None:
            received.gateway.abort()
            return
        document: dict[str, Any] = {}
        if answer.stops_run and answer.has_handle:
            handle = f"h{json.loads(received.body)['id']}"
            self.store_kv_copy(handle, run.event_count)
            if answer.status_line.startswith("200"):
                target.store_kv_copy(handle, run.event_count)
            document = {"handle": handle, "created": run.event_count}
        body = json.dumps(document).encode()
        if not answer.is_readable:
            body = body[: len(body) // 2]
        received.respond(answer.status_line, JSON_HEADERS, body)

    def _crashing_part_of(self, received: ReceivedRequest) -> CrashingPart | None:
        part = self.crashing_part
        if part is None or not part.is_in(received.headers.get("x-prompt-prefix", "")):
            return None
        self.record.add_crash_request(self.id)
        return part

    def _run(self, received: ReceivedRequest) -> None:
        last = int(received.headers.get("x-token-usage", "1,8").partition(",")[2]) // 4
        event_count = int(received.headers.get("last-event-id", "0"))
        copy_address = received.headers.get("kv-from")
        if copy_address is not None:
            with self._lock:
                known = self._kv_copies.pop(copy_address.rpartition("/")[2], None)
            if known is None:
                received.respond("503 Service Unavailable", [("X-Not-Executed", "1")])
                return
        else:
            self.record.add_run(received.id, self.id)
            if self._fails_to_answer(received):
                return
        run = _Generation(event_count)
        part = self._crashing_part_of(received)
        crash_at = event_count + part.after_events if part is not None else None
        self._running[received.id] = run
        try:
            self._stream(received, run, last, crash_at)
        finally:
            self._running.pop(received.id, None)
            self._ended.append((time.monotonic(), received.id))

    def _stream(
        self, received: ReceivedRequest, run: _Generation, last: int, crash_at: int | None
    ) -> None:
        headers = [
            ("Content-Type", "text/event-stream"),
            ("X-Attempt-Id", received.id),
            ("X-Response-Seal", f"{received.id}.s"),
            *received.status_headers,
        ]
        cut_at = self._rng.randrange(1, last + 1) if self._occurs(self.faults.cut_share) else None
        self.record.add_sealed_status(received.id, http.client.OK)
        self.record.add_stream(received.id, last, is_unframed=self.is_unframed)
        received.start("200 OK", headers, is_unframed=self.is_unframed)
        if self.endless_piece is not None:
            self._send_without_end(received)
            return
        while run.event_count < last:
            time.sleep(self.event_s)
            if run.event_count == 1:
                self._crash_midway(received)
            if run.event_count == crash_at:
                self.crash(CrashMode.AT_ARRIVAL)
            if self.is_crashed or run.event_count == cut_at:
                self.record.add_broken_off(received.id)
            self._raise_if_crashed()
            with run.changed:
                if run.is_stopped:
                    self._end_stopped(received)
                    return
                event = f"id: {run.event_count + 1}\ndata: {received.id} {self.version}\n\n"
                if run.event_count == cut_at:
                    self._cut_stream(received, event.encode())
                    return
                run.event_count += 1
                received.gateway.write(event.encode())
        received.gateway.write_all(b"")

    def _cut_stream(self, received: ReceivedRequest, event: bytes) -> None:
        """Break off before an event; without framing, by a reset or within the event."""
        if self.is_unframed and self._answer_rng.random() < CUT_WITHIN_EVENT_SHARE:
            received.gateway.write(event[: self._answer_rng.randrange(1, len(event) - 1)])
            received.gateway.abort()
        else:
            self._break_off(received.gateway)

    def _end_stopped(self, received: ReceivedRequest) -> None:
        """Close a stream without its end, which only framing shows."""
        if self.is_unframed:
            received.gateway.write_all(b"")
        else:
            received.gateway.abort()

    def _send_without_end(self, received: ReceivedRequest) -> None:
        """Send bytes that are no event until the caller leaves or the fault ends."""
        self.record.add_broken_off(received.id)
        while (piece := self.endless_piece) is not None and not self.is_crashed:
            received.gateway.write(piece)
            time.sleep(ENDLESS_INTERVAL_S)
        self._break_off(received.gateway)
