"""Model engines that stream events, keep backups of runs, and can be killed."""

import json
import threading
import time

from review.standins_3.wire import Listener, Wire

JSON = ("Content-Type", "application/json")
TERMS = {
    "slots": 24,
    "kv_capacity": 34203,
    "kv_bytes": 131072,
    "link_mbps": 19000.0,
    "moves": True,
    "backups": True,
    "stride": 4,
    "most": 12,
    "pin_ms": 4000.0,
    "hold_ms": 2000.0,
    "handle_s": 5.0,
    "models": [{"name": "m"}],
}


class Engine:
    """Stream `id: N` events; `peers` maps addresses to the engines of the service."""

    def __init__(self, id: str, zone: str, peers: dict[str, "Engine"], event_s: float) -> None:
        self.id = id
        self.zone = zone
        self.event_s = event_s
        self.born_ms = int(time.time() * 1000)
        # Time, attempt id and whether it goes on from a backup, of each request.
        self.arrivals: list[tuple[float, str, bool]] = []
        # Events made of each run whose backup this engine keeps.
        self.backups: dict[str, int] = {}
        self.is_dead = False
        self._peers = peers
        self._running = 0
        self._lock = threading.Lock()
        self.listener = Listener(self._serve)
        peers[self.listener.address] = self

    def entry(self) -> dict[str, object]:
        """Return the engine's entry in the store."""
        return {
            "service": "model",
            "address": self.listener.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 24,
            "state": "ready",
            "cold_left_ms": 0,
            "phase": "hybrid",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": 1,
            "born": self.born_ms,
        }

    def kill(self) -> None:
        """End at once: connections are reset, and new ones refused."""
        self.is_dead = True
        self.listener.stop()

    def _serve(self, wire: Wire) -> None:
        while not self.is_dead:
            self._handle(wire, wire.read_message())

    def _handle(self, wire: Wire, request) -> None:
        if request.headers.get("x-expect-instance", self.id) != self.id:
            wire.respond("421 Misdirected Request", [("X-Instance-Id", self.id)])
        elif request.target.startswith("/api/report"):
            report = {"state": "ready", "busy": False, "born": self.born_ms, "kv_used": 0}
            wire.respond("200 OK", [JSON], json.dumps(report).encode())
        elif request.target.startswith("/api/kv-handle/"):
            self.backups.pop(request.target.rpartition("/")[2], None)
            wire.respond("200 OK", [JSON], b"{}")
        elif request.target.startswith("/api/kv-move"):
            wire.respond("503 Service Unavailable", [JSON], b"{}")
        elif request.target.startswith("/api/"):
            wire.respond("404 Not Found", [JSON], b"{}")
        else:
            self._stream(wire, request)

    def _stream(self, wire: Wire, request) -> None:
        attempt = request.headers["x-attempt-id"]
        source = request.headers.get("kv-from")
        last = int(request.headers["x-token-usage"].split(",")[1]) // TERMS["stride"]
        done = int(request.headers.get("last-event-id", "0"))
        self.arrivals.append((time.monotonic(), attempt, source is not None))
        if source is not None and self.backups.pop(source.rpartition("/")[2], None) is None:
            wire.respond("503 Service Unavailable", [("X-Not-Executed", "1")])
            return
        backup = self._peers.get(request.headers.get("x-kv-backup", ""))
        with self._lock:
            self._running += 1
        try:
            head = [
                "HTTP/1.1 200 OK",
                "Content-Type: text/event-stream",
                f"X-Attempt-Id: {attempt}",
                f"X-Response-Seal: {self.id}.{attempt}",
                # The fourth figure: work takes as long as usual on this shared machine.
                f"X-Instance-Load: {self._running},0,24,100",
                "X-Weights-Versions: 1",
                "Transfer-Encoding: chunked",
            ]
            wire.socket.sendall("\r\n".join(head).encode() + b"\r\n\r\n")
            for number in range(done + 1, last + 1):
                time.sleep(self.event_s)
                if self.is_dead:
                    wire.reset()
                    return
                event = b"id: %d\ndata: %b %d\n\n" % (number, attempt.encode(), number)
                wire.socket.sendall(b"%x\r\n%b\r\n" % (len(event), event))
                if backup is not None:
                    backup.backups[attempt] = number
            wire.socket.sendall(b"0\r\n\r\n")
            if backup is not None:
                backup.backups.pop(attempt, None)
        finally:
            with self._lock:
                self._running -= 1
