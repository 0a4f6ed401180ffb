"""Servers of plain services, and links to them that can be cut."""

import contextlib
import select
import socket
import threading
import time

from review.standins_3.wire import READ_BYTES, Listener, Wire

JSON = ("Content-Type", "application/json")


class PlainServer:
    """Run requests for a fixed time, `slots` at once; notes all arrivals and runs."""

    def __init__(self, id: str, service: str, slots: int = 6, work_s: float = 0.02) -> None:
        self.id = id
        self.service = service
        self.slots = slots
        self.work_s = work_s
        self.born_ms = int(time.time() * 1000)
        self.arrivals: list[tuple[float, str]] = []
        self.runs: list[tuple[float, str, str, bytes]] = []
        # Called with each arrival; returns whether the server crashes of it.
        self.crashes_at = lambda _now_s: False
        self.crash_count = 0
        self.restart_s = 1.0
        self._down_until_s = 0.0
        self._running = 0
        self._lock = threading.Lock()
        self.listener = Listener(self._serve)

    def entry(self, **changes: object) -> dict[str, object]:
        """Return the server's entry in the store."""
        return {
            "service": self.service,
            "address": self.listener.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": 1,
            "born": self.born_ms,
            **changes,
        }

    def _serve(self, wire: Wire) -> None:
        while True:
            request = wire.read_message()
            if time.monotonic() < self._down_until_s:
                wire.reset()
                return
            self._handle(wire, request)

    def _handle(self, wire: Wire, request) -> None:
        expected = request.headers.get("x-expect-instance", self.id)
        if expected != self.id:
            wire.respond("421 Misdirected Request", [("X-Instance-Id", self.id)])
            return
        if request.target.startswith("/api/report"):
            body = b'{"state":"ready","busy":false,"born":%d}' % self.born_ms
            wire.respond("200 OK", [JSON], body)
            return
        attempt = request.headers.get("x-attempt-id", "")
        now_s = time.monotonic()
        with self._lock:
            self.arrivals.append((now_s, attempt))
            if self.crashes_at(now_s):
                self._crash(now_s)
                return
            is_full = self._running >= self.slots + 24
            self._running += not is_full
        if is_full:
            wire.respond("503 Service Unavailable", [("X-Not-Executed", "1")])
            return
        try:
            self.runs.append((now_s, attempt, request.target, request.body))
            time.sleep(self.work_s)
        finally:
            with self._lock:
                self._running -= 1
        if time.monotonic() < self._down_until_s:
            wire.reset()
            return
        seal = ("X-Response-Seal", f"{self.id}.{attempt}")
        load = ("X-Instance-Load", f"{min(self._running, self.slots)},0,{self.slots}")
        body = b"ran " + attempt.encode()
        wire.respond("200 OK", [("X-Attempt-Id", attempt), seal, load], body)

    def _crash(self, now_s: float) -> None:
        self.crash_count += 1
        self._down_until_s = now_s + self.restart_s
        self.listener.reset_all()

    def stop(self) -> None:
        """Close all connections."""
        self.listener.stop()


class Link:
    """Carry connections to one address; while it is cut, no bytes pass in either direction."""

    def __init__(self, host: str, port: int) -> None:
        self._target = (host, port)
        self.is_cut = False
        self.listener = Listener(self._serve)

    def _serve(self, wire: Wire) -> None:
        near = wire.socket
        while self.is_cut:
            time.sleep(0.02)
        far = socket.create_connection(self._target, 2.0)
        try:
            while True:
                ready, _, _ = select.select([near, far], [], [], 0.05)
                if self.is_cut:
                    time.sleep(0.02)
                    continue
                for each in ready:
                    received = each.recv(READ_BYTES)
                    if not received:
                        return
                    (far if each is near else near).sendall(received)
        finally:
            with contextlib.suppress(OSError):
                far.close()

    def stop(self) -> None:
        """Close all connections."""
        self.listener.stop()
