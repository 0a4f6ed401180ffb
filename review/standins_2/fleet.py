"""Small deployment for the scripts of the second review: store, engines and real entries.

The store is the project's stand-in and lies in the script's own process. Engines are processes of
`engine.py`, entries are started with the command of the deploy file. All addresses are on loopback.
"""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

from gooseberryquay.standins.node_platform.store import ObjectStore  # noqa: E402

HOST = "ficu95.example"
SETTINGS = """\
node_name={name}
role=entry
machine_class=edge
serves=edge,control
ip=127.0.0.1
zone=sask-a
region=sask-central
zones.sask-a=sask-central
listen.frontend=127.0.0.1:{callers}
listen.readiness=127.0.0.1:{readiness}
listen.control_plane=127.0.0.1:{control}
port_range={metrics},{metrics}
seeds={seeds}
bootstrap=true
loss_counts=false
limits.cpu_share=0.537
limits.cores=2
limits.memory_mb={memory_mb}
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform
fault_tolerance.machines=1
fault_tolerance.zones=1
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.stable_window_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.downgrade_slack_ms=250
bounds.max_skew_ms=5000
bounds.strict_revocation=false
bounds.revoke_ms=5000
bounds.retry_ratio=0.2
bounds.retry_window_s=10
bounds.retry_allowance=56
bounds.cold_overage=1.5
bounds.cold_allowance=5
bounds.evacuation_ms=5000
bounds.recovery_s=12
bounds.iteration_ms=120
bounds.reuse_window_s=5.2
platform.address=127.0.0.1:{store}
platform.form=objects
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
"""


def free_ports(count):
    """Return ports that are free now."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class CannotRun(Exception):
    """Raised if a case cannot be shown here."""


class Fleet:
    """Run the deployment within a context; ends all processes that it started."""

    def __init__(self, folder, entries=2, memory_mb=150):
        """Prepare a deployment whose record is written into `folder`."""
        self.record_path = Path(folder) / "record.txt"
        self.record_path.write_text("", encoding="utf-8")
        self._lock = threading.Lock()
        self._temporary = tempfile.TemporaryDirectory()
        self.scratch = Path(self._temporary.name)
        self.runs_path = self.scratch / "runs.jsonl"
        self.runs_path.touch()
        self.store = ObjectStore()
        self.memory_mb = memory_mb
        self.entries = {}
        self._entry_count = entries
        self._processes = []
        self.engine_ports = {}
        # The way of each entry to the store.
        self.store_gates = {}

    def record(self, kind, **fields):
        """Append one line to the record of the case."""
        line = json.dumps({"at": round(time.time(), 3), "kind": kind, **fields})
        with self._lock, self.record_path.open("a", encoding="utf-8") as file:
            file.write(line + "\n")

    def __enter__(self):
        """Start the store."""
        self.store.start()
        return self

    def __exit__(self, *_error):
        """End all processes, and copy the runs of the engines into the record."""
        for each in reversed(self._processes):
            if each.poll() is None:
                each.send_signal(signal.SIGKILL)
                each.wait()
        with self.record_path.open("a", encoding="utf-8") as file:
            for each in self.runs()[:2000]:
                file.write(json.dumps(each) + "\n")
        self.store.stop()
        self._temporary.cleanup()

    def runs(self):
        """Return what the engines have run."""
        lines = self.runs_path.read_text(encoding="utf-8").splitlines()
        return [json.loads(each) for each in lines]

    def start_engine(self, instance, service, slots, **options):
        """Start an engine and list it in the store."""
        version = options.get("version", "v1")
        port = self.launch_engine(instance, slots, **options)
        self.list_engine(instance, port, service, slots, version)

    def launch_engine(self, instance, slots, **options):
        """Start an engine that is not listed yet, and return its port."""
        (port,) = free_ports(1)
        command = [sys.executable, str(ROOT / "review" / "standins_2" / "engine.py")]
        command += [f"--port={port}", f"--instance={instance}", f"--record={self.runs_path}"]
        command.append(f"--slots={slots}")
        command += [f"--{name}={value}" for name, value in options.items()]
        process = subprocess.Popen(command, cwd=ROOT)
        self._processes.append(process)
        wait_for_port(port)
        self.engine_ports[instance] = (process, port)
        return port

    def list_engine(self, instance, port, service, slots, version="v1"):
        """Write the entry of an engine, as it does itself."""
        self.store.put(
            "servers",
            instance,
            {
                "service": service,
                "address": f"127.0.0.1:{port}",
                "zone": "sask-a",
                "version": version,
                "slots": slots,
                "state": "ready",
                "cold_left_ms": 0,
                "born": int(time.time() * 1000) - 60_000,
                "sequence": 4,
            },
        )

    def configure(self, configuration):
        """Write a configuration as the operator does; it is acknowledged on return."""
        self.store.put("config", "main", configuration)
        self.record(
            "configuration acknowledged",
            version=configuration["version"],
            tenants=configuration.get("tenants"),
        )

    def start_entries(self):
        """Start the entries and wait until they say that they are ready."""
        names = [f"edge-sask-a-{number + 1}" for number in range(self._entry_count)]
        ports = {name: free_ports(4) for name in names}
        seeds = ",".join(f"127.0.0.1:{each[2]}" for each in ports.values())
        for name, (callers, readiness, control, metrics) in ports.items():
            gate = self.store_gates[name] = StoreGate(self.store.port)
            path = self.scratch / f"{name}.conf"
            path.write_text(
                SETTINGS.format(
                    name=name,
                    callers=callers,
                    readiness=readiness,
                    control=control,
                    metrics=metrics,
                    seeds=seeds,
                    memory_mb=self.memory_mb,
                    store=gate.port,
                ),
                encoding="utf-8",
            )
            environment = {
                each: os.environ[each] for each in ("PATH", "HOME", "LANG") if each in os.environ
            }
            environment["GOOSEBERRYQUAY_SETTINGS"] = str(path)
            environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
            log = (self.scratch / f"{name}.log").open("wb")
            process = subprocess.Popen(
                ["python3", "-m", "gooseberryquay.daemons"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
            self._processes.append(process)
            self.entries[name] = (process, callers, readiness)
        until_s = time.monotonic() + 30.0
        for name, (_, _, readiness) in self.entries.items():
            while get_status(readiness, "/api/readyz") != 200:
                if time.monotonic() > until_s:
                    raise CannotRun(f"{name} was not ready in time")
                time.sleep(0.1)
        self.record("entries ready", names=names)

    def log_of(self, name):
        """Return what an entry has written."""
        return (self.scratch / f"{name}.log").read_text(encoding="utf-8", errors="replace")


class StoreGate:
    """Way of one entry to the store, which may answer each call with 503."""

    def __init__(self, store_port):
        """Accept connections on a free port from now on."""
        self._store_port = store_port
        self._is_refusing = False
        self._open = set()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def refuse(self):
        """Turn the entry away: reset its connections, and answer 503 on new ones."""
        self._is_refusing = True
        for each in list(self._open):
            with contextlib.suppress(OSError):
                each.shutdown(socket.SHUT_RDWR)

    def serve(self):
        """Serve the entry again."""
        self._is_refusing = False

    def _accept(self):
        while True:
            opened, _ = self._listener.accept()
            target = self._answer_busy if self._is_refusing else self._forward
            threading.Thread(target=target, args=(opened,), daemon=True).start()

    def _answer_busy(self, opened):
        with contextlib.suppress(OSError), opened:
            opened.settimeout(2.0)
            received = b""
            while b"\r\n\r\n" not in received and (part := opened.recv(65536)):
                received += part
            opened.sendall(
                b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"
                b"Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"
            )
            opened.shutdown(socket.SHUT_WR)
            while opened.recv(65536):
                pass

    def _forward(self, opened):
        try:
            store = socket.create_connection(("127.0.0.1", self._store_port))
        except OSError:
            opened.close()
            return
        self._open |= {opened, store}
        for source, target in ((opened, store), (store, opened)):
            source.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._pump, args=(source, target), daemon=True).start()

    def _pump(self, source, target):
        with contextlib.suppress(OSError):
            while part := source.recv(65536):
                target.sendall(part)
        for each in (source, target):
            with contextlib.suppress(OSError):
                each.shutdown(socket.SHUT_RDWR)
        self._open -= {source, target}


def wait_for_port(port):
    """Wait until a port accepts connections."""
    until_s = time.monotonic() + 15.0
    while True:
        try:
            socket.create_connection(("127.0.0.1", port), 1.0).close()
            return
        except OSError:
            if time.monotonic() > until_s:
                raise CannotRun(f"no process listens on {port}") from None
            time.sleep(0.05)


def get_status(port, path):
    """Return the status of a GET request on a new connection, or None."""
    try:
        with socket.create_connection(("127.0.0.1", port), 1.0) as opened:
            opened.settimeout(2.0)
            request = f"GET {path} HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n\r\n"
            opened.sendall(request.encode())
            return int(opened.recv(64).split()[1])
    except (OSError, IndexError, ValueError):
        return None


def resident_mb(process):
    """Return the resident memory of a process in MB."""
    for line in Path(f"/proc/{process.pid}/status").read_text(encoding="ascii").splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024.0
    return 0.0


class Client:
    """Send requests one after the other on a kept connection."""

    def __init__(self, port, timeout_s=10.0):
        """Connect to an entry when the first request is sent."""
        self._port = port
        self._timeout_s = timeout_s
        self._socket = None
        self._file = None

    def close(self):
        """Close the connection."""
        if self._socket is not None:
            self._file.close()
            self._socket.close()
            self._socket = None

    def send(self, method, path, headers, body=b""):
        """Send a request and return status, headers and body; None if there is no whole answer."""
        try:
            return self._send(method, path, headers, body)
        except (OSError, ValueError, IndexError):
            self.close()
            return None

    def _send(self, method, path, headers, body):
        if self._socket is None:
            self._socket = socket.create_connection(("127.0.0.1", self._port), 1.0)
            self._socket.settimeout(self._timeout_s)
            self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._file = self._socket.makefile("rb")
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self._socket.sendall(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        status = int(self._file.readline(65536).split()[1])
        received = {}
        while (line := self._file.readline(65536)) != b"\r\n":
            name, separator, value = line.decode("latin-1").partition(":")
            if not separator:
                raise ValueError("the head ended early")
            received[name.lower()] = value.strip()
        content = self._read_body(received)
        if "close" in received.get("connection", "").lower():
            self.close()
        return status, received, content

    def _read_body(self, headers):
        if headers.get("transfer-encoding") != "chunked":
            return self._read(int(headers.get("content-length", "0")))
        content = b""
        while size := int(self._file.readline(64).split(b";")[0], 16):
            content += self._read(size)
            self._read(2)
        self._file.readline(64)
        return content

    def _read(self, count):
        content = self._file.read(count)
        if len(content) != count:
            raise ValueError("the body ended early")
        return content
