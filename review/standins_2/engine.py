"""Plain service or model engine of the users' platform, as a process of its own.

It runs each request that names it, echoes the request's id and appends JSON lines on each run to a
record. It keeps connections open, answers 421 to requests for another instance, and moves runs to
other engines on order. With `--stubborn` it doesn't notice that a connection has closed, and works
on. `POST /standin/lose` ends the connections of some runs, which go on.
"""

import argparse
import contextlib
import http.client
import json
import os
import socket
import socketserver
import threading
import time

# A stream of which so many events were sent has begun for certain.
BEGUN_EVENTS = 5
RECORD_LOCK = threading.Lock()


class Options:
    """Hold the command line's options."""

    instance = ""
    version = "v1"
    record = ""
    work_ms = 0.0
    is_stubborn = False
    # Streams have neither chunks nor a length and end with their connection.
    is_unframed = False
    slot_count = 6
    slots = threading.BoundedSemaphore(6)
    # The fourth figure of X-Instance-Load, which engines on shared machines state.
    states_work_time = False
    events = 0
    event_ms = 20.0


class Run:
    """One generation in progress."""

    def __init__(self, connection):
        """Track the connection on which the request came."""
        self.connection = connection
        self.created = 0
        self.is_stopped = False
        self.is_lost = False


class State:
    """Runs and copies that this engine holds."""

    lock = threading.Lock()
    runs = {}
    copies = set()
    handle_count = 0


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
        body = self.rfile.read(int(headers.get("content-length", "0")))
        identity = [f"X-Instance-Id: {Options.instance}"]
        if Options.states_work_time:
            running = len(State.runs)
            identity.append(f"X-Instance-Load: {running},0,{Options.slot_count},100")
        request = headers.get("x-attempt-id")
        if request is not None:
            identity.append(f"X-Attempt-Id: {request}")
        if headers.get("x-expect-instance", Options.instance) != Options.instance:
            return self.answer("421 Misdirected Request", identity, b"")
        if target in ("/api/report", "/healthz"):
            report = {"phase": "hybrid", "queued": 0, "active": 0, "state": "ready", "runs": []}
            return self.answer("200 OK", identity, json.dumps(report).encode())
        if target == "/api/kv-move":
            return self.move(identity, json.loads(body))
        if target.startswith("/api/kv-handle/"):
            return self.answer("200 OK", identity, b"{}")
        if target == "/standin/copy":
            State.copies.add(json.loads(body)["copy"])
            return self.answer("200 OK", identity, b"{}")
        if target == "/standin/lose":
            return self.lose(json.loads(body)["count"])
        copy = headers.get("kv-from")
        if copy is not None and copy not in State.copies:
            return self.answer("503 Service Unavailable", [*identity, "X-Not-Executed: 1"], b"")
        State.copies.discard(copy)
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
            resumes_after=headers.get("last-event-id"),
        )
        if Options.events and headers.get("x-token-usage"):
            return self.stream(request, identity, int(headers.get("last-event-id", "0")))
        time.sleep(Options.work_ms / 1000.0)
        return self.answer("200 OK", identity, f"done {request[:32]}".encode())

    def answer(self, status, headers, body):
        """Send a whole answer."""
        lines = [f"HTTP/1.1 {status}", *headers, f"Content-Length: {len(body)}", "", ""]
        self.wfile.write("\r\n".join(lines).encode("latin-1") + body)
        return True

    def stream(self, request, headers, last):
        """Send a stream of events in chunks, those after the last one that the caller has."""
        run = Run(self.connection)
        with State.lock:
            State.runs[request] = run
        try:
            framing = "Connection: close" if Options.is_unframed else "Transfer-Encoding: chunked"
            fields = [*headers, "Content-Type: text/event-stream", framing]
            self.emit(run, "\r\n".join(["HTTP/1.1 200 OK", *fields, "", ""]).encode("latin-1"))
            for number in range(last + 1, Options.events + 1):
                time.sleep(Options.event_ms / 1000.0)
                if run.is_stopped:
                    break
                event = f"id: {number}\ndata: {Options.version} token {number}\n\n".encode()
                self.emit(run, _chunk(event))
                run.created = number
            if not run.is_stopped and not Options.is_unframed:
                self.emit(run, b"0\r\n\r\n")
        finally:
            record("run ends", id=request[:32], is_stopped=run.is_stopped, created=run.created)
            with State.lock:
                if State.runs.get(request) is run:
                    del State.runs[request]
        return not (run.is_stopped or run.is_lost or Options.is_unframed)

    def emit(self, run, content):
        """Send a part of a stream; a stubborn engine works on if nobody takes it."""
        try:
            if not run.is_lost:
                self.wfile.write(content)
        except OSError:
            if not Options.is_stubborn:
                raise
            run.is_lost = True

    def move(self, headers, order):
        """Copy a run to another engine, and stop it if that is ordered."""
        with State.lock:
            run = State.runs.get(order["id"])
            State.handle_count += 1
            handle = f"h{State.handle_count}-{os.getpid()}"
        record("move", id=order["id"][:32], final=order["final"], is_known=run is not None)
        if run is None:
            return self.answer("404 Not Found", headers, b"{}")
        run.is_stopped = run.is_stopped or bool(order["final"])
        copy = f"127.0.0.1:{Options.port}/{handle}"
        State.copies.add(copy)
        document = json.dumps({"handle": handle, "created": run.created}).encode()
        host, _, port = order["target"].rpartition(":")
        try:
            other = http.client.HTTPConnection(host, int(port), timeout=1.0)
            other.request("POST", "/standin/copy", json.dumps({"copy": copy}))
            other.getresponse().read()
            other.close()
        except OSError:
            return self.answer("503 Service Unavailable", headers, document)
        return self.answer("200 OK", headers, document)

    def lose(self, count):
        """End the connections of some runs in the middle of their answers, the latest first."""
        with State.lock:
            begun = [each for each in State.runs.items() if each[1].created >= BEGUN_EVENTS]
            chosen = [each for each in begun if not each[1].is_lost][::-1][:count]
        for request, run in chosen:
            run.is_lost = True
            with contextlib.suppress(OSError):
                run.connection.shutdown(socket.SHUT_RDWR)
            record("answer lost", id=request[:32])
        return self.answer("200 OK", [], json.dumps([each for each, _ in chosen]).encode())


class Server(socketserver.ThreadingTCPServer):
    """Serve each connection in a thread."""

    allow_reuse_address = True
    daemon_threads = True
    request_queue_size = 512


def _chunk(content):
    return content if Options.is_unframed else b"%x\r\n%b\r\n" % (len(content), content)


def main():
    """Serve until the process is ended, by a signal or with the one that started it."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--instance", required=True)
    parser.add_argument("--unframed", dest="is_unframed", type=int, default=0)
    parser.add_argument("--stubborn", dest="is_stubborn", type=int, default=0)
    parser.add_argument("--version", default="v1")
    parser.add_argument("--record", required=True)
    parser.add_argument("--work_ms", type=float, default=0.0)
    parser.add_argument("--slots", dest="slot_count", type=int, required=True)
    parser.add_argument("--states_work_time", type=int, default=0)
    parser.add_argument("--events", type=int, default=0)
    parser.add_argument("--event_ms", type=float, default=20.0)
    parser.parse_args(namespace=Options)
    Options.slots = threading.BoundedSemaphore(Options.slot_count)
    server = Server(("127.0.0.1", Options.port), Handler)
    server.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    parent = os.getppid()
    threading.Thread(target=server.serve_forever, daemon=True).start()
    while os.getppid() == parent:
        time.sleep(0.2)


if __name__ == "__main__":
    main()
