"""Upstreams as processes of their own, which can be frozen, killed and started again.

Run as `python -m gooseberryquay.standins.node_platform.service_process OPTIONS`, with the fields of
`ServiceOptions` as JSON.
"""

import http.server
import json
import os
import socket
import struct
import subprocess
import sys
import threading
import time
from dataclasses import asdict, dataclass
from pathlib import Path

__all__ = ["ServiceOptions", "ServiceProcess", "UpstreamOptions", "UpstreamProcess"]

# Closing with unread bytes or with this option resets a connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
STARTED_WITHIN_S = 5.0


@dataclass(frozen=True)
class UpstreamOptions:
    """Configure an upstream; it appends the id of each request that it runs to `runs_path`."""

    id: str
    port: int
    runs_path: str


@dataclass(frozen=True)
class ServiceOptions(UpstreamOptions):
    """Configure a service."""

    work_s: float = 0.05
    # Connections beyond this number are reset.
    connections_max: int = 1000
    listen_queue: int = 128
    # Each n-th answer is sent a second time, this much later.
    repeated_each: int = 0
    repeated_after_s: float = 0.0
    # Each n-th request is refused as not run.
    refused_each: int = 0
    # The body is read this much later; early answers are sent before that.
    reads_after_s: float = 0.0
    answers_early: bool = False
    # Bytes of a body that arrive before it is read, if limited; the rest waits at the sender.
    receive_buffer_bytes: int = 0


class UpstreamProcess:
    """Start, freeze and kill one upstream, which a module runs, at a fixed address."""

    def __init__(self, module: str, options: UpstreamOptions) -> None:
        self.options = options
        self._module = module
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process and wait until it listens."""
        arguments = [sys.executable, "-m", self._module, json.dumps(asdict(self.options))]
        self._process = subprocess.Popen(arguments, stderr=subprocess.DEVNULL)
        until_s = time.monotonic() + STARTED_WITHIN_S
        while time.monotonic() < until_s:
            try:
                socket.create_connection(("127.0.0.1", self.options.port), 0.2).close()
                return
            except OSError:
                time.sleep(0.02)
        raise RuntimeError(f"upstream {self.options.id} did not start")

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self._process is not None:
            self._process.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    def runs(self) -> list[str]:
        """Return the ids of the requests that were run, in order."""
        path = Path(self.options.runs_path)
        return path.read_text().split() if path.exists() else []


class ServiceProcess(UpstreamProcess):
    """Start, freeze and kill one service at a fixed address."""

    def __init__(self, options: ServiceOptions) -> None:
        super().__init__("gooseberryquay.standins.node_platform.service_process", options)


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True

    def __init__(self, options: ServiceOptions) -> None:
        self.options = options
        self.request_queue_size = options.listen_queue
        self.open_count = 0
        self.answer_count = 0
        self.lock = threading.Lock()
        self.runs = os.open(options.runs_path, os.O_WRONLY | os.O_APPEND | os.O_CREAT)
        super().__init__(("127.0.0.1", options.port), _Handler)

    def server_bind(self) -> None:
        """Bind the listener, whose connections inherit its buffer."""
        size = self.options.receive_buffer_bytes
        if size:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        super().server_bind()

    def count_answer(self) -> int:
        """Return the number of this answer."""
        with self.lock:
            self.answer_count += 1
            return self.answer_count


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    server: _Server

    def setup(self) -> None:
        super().setup()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def handle(self) -> None:
        with self.server.lock:
            self.server.open_count += 1
            is_beyond = self.server.open_count > self.server.options.connections_max
        try:
            if is_beyond:
                self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                self.connection.close()
            else:
                super().handle()
        except OSError:
            pass
        finally:
            with self.server.lock:
                self.server.open_count -= 1

    def finish(self) -> None:
        if self.connection.fileno() >= 0:
            super().finish()

    def do_POST(self) -> None:
        options = self.server.options
        if options.answers_early:
            self._act()
            self._read_body()
        else:
            self._read_body()
            self._act()

    def _read_body(self) -> None:
        time.sleep(self.server.options.reads_after_s)
        self.rfile.read(int(self.headers.get("Content-Length", "0")))

    def _act(self) -> None:
        options, request = self.server.options, self.headers.get("X-Attempt-Id", "")
        if self.headers.get("X-Expect-Instance", options.id) != options.id:
            self._answer("421 Misdirected Request", f"X-Instance-Id: {options.id}\r\n", b"")
            return
        number = self.server.count_answer()
        if options.refused_each and number % options.refused_each == 0:
            answer = self._answer("503 Service Unavailable", "X-Not-Executed: 1\r\n", b"")
        else:
            os.write(self.server.runs, f"{request}\n".encode())
            time.sleep(options.work_s)
            answer = self._answer("200 OK", f"X-Response-Seal: {request}.s\r\n", request.encode())
        if options.repeated_each and number % options.repeated_each == 0:
            time.sleep(options.repeated_after_s)
            self.connection.sendall(answer)

    do_GET = do_POST

    def _answer(self, status: str, headers: str, body: bytes) -> bytes:
        request = self.headers.get("X-Attempt-Id", "")
        head = f"HTTP/1.1 {status}\r\nX-Attempt-Id: {request}\r\n{headers}"
        answer = f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
        self.connection.sendall(answer)
        return answer

    def log_message(self, format: str, *arguments: object) -> None:
        """Write nothing."""


if __name__ == "__main__":
    _Server(ServiceOptions(**json.loads(sys.argv[1]))).serve_forever()
