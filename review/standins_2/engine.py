"""Plain service or model engine of the users' platform, as a process of its own.

It runs each request that names it, echoes the request's id and appends one JSON line for each run to
a record. It keeps connections open, and answers 421 to requests for another instance.
"""

import argparse
import json
import os
import socket
import socketserver
import threading
import time

RECORD_LOCK = threading.Lock()


class Options:
    """Hold the command line's options."""

    instance = ""
    record = ""
    work_ms = 0.0
    slots = threading.BoundedSemaphore(6)
    events = 0
    event_ms = 20.0


def record(kind, **fields):
    """Append one line to the record."""
    line = json.dumps({"at": time.time(), "kind": kind, "engine": Options.instance, **fields})
    with RECORD_LOCK, open(Options.record, "a", encoding="utf-8") as file:
        file.write(line + "\n")


class Handler(socketserver.StreamRequestHandler):
    """Serve one connection."""

    disable_nagle_algorithm = True

    def handle(self):
        """Serve requests until the connection ends."""
        try:
            while self.serve_one():
                pass
        except (ConnectionError, ValueError, TimeoutError):
            pass

    def serve_one(self):
        """Serve one request; return whether the connection is kept."""
        line = self.rfile.readline(65536)
        if not line:
            return False
        method, target, _ = line.decode("latin-1").split()
        headers = {}
        while (line := self.rfile.readline(65536)) not in (b"\r\n", b""):
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.strip().lower()] = value.strip()
        self.rfile.read(int(headers.get("content-length", "0")))
        identity = [f"X-Instance-Id: {Options.instance}"]
        request = headers.get("x-attempt-id")
        if request is not None:
            identity.append(f"X-Attempt-Id: {request}")
        if headers.get("x-expect-instance", Options.instance) != Options.instance:
            return self.answer("421 Misdirected Request", identity, b"")
        if target in ("/api/report", "/healthz"):
            report = {"phase": "hybrid", "queued": 0, "active": 0, "state": "ready", "runs": []}
            return self.answer("200 OK", identity, json.dumps(report).encode())
        if request is None:
            return self.answer("400 Bad Request", [*identity, "X-Not-Executed: 1"], b"")
        identity.append(f"X-Response-Seal: seal-{Options.instance}")
        with Options.slots:
            return self.run(request, headers, identity)

    def run(self, request, headers, identity):
        """Work on a request and answer it."""
        record(
            "run",
            id=request[:32],
            id_bytes=len(request),
            tenant=headers.get("x-tenant"),
            deadline_ms=headers.get("x-deadline-ms"),
        )
        if Options.events and headers.get("x-token-usage"):
            return self.stream(identity)
        time.sleep(Options.work_ms / 1000.0)
        return self.answer("200 OK", identity, f"done {request[:32]}".encode())

    def answer(self, status, headers, body):
        """Send a whole answer."""
        lines = [f"HTTP/1.1 {status}", *headers, f"Content-Length: {len(body)}", "", ""]
        self.wfile.write("\r\n".join(lines).encode("latin-1") + body)
        return True

    def stream(self, headers):
        """Send a stream of events in chunks."""
        fields = [*headers, "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        self.wfile.write("\r\n".join(["HTTP/1.1 200 OK", *fields, "", ""]).encode("latin-1"))
        for number in range(1, Options.events + 1):
            time.sleep(Options.event_ms / 1000.0)
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            self.wfile.write(b"%x\r\n%b\r\n" % (len(event), event))
        self.wfile.write(b"0\r\n\r\n")
        return True


class Server(socketserver.ThreadingTCPServer):
    """Serve each connection in a thread."""

    allow_reuse_address = True
    daemon_threads = True
    request_queue_size = 512


def _semaphore(text):
    return threading.BoundedSemaphore(int(text))


def main():
    """Serve until the process is ended, by a signal or with the one that started it."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--instance", required=True)
    parser.add_argument("--record", required=True)
    parser.add_argument("--work_ms", type=float, default=0.0)
    parser.add_argument("--slots", type=_semaphore, required=True)
    parser.add_argument("--events", type=int, default=0)
    parser.add_argument("--event_ms", type=float, default=20.0)
    parser.parse_args(namespace=Options)
    server = Server(("127.0.0.1", Options.port), Handler)
    server.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    parent = os.getppid()
    threading.Thread(target=server.serve_forever, daemon=True).start()
    while os.getppid() == parent:
        time.sleep(0.2)


if __name__ == "__main__":
    main()
