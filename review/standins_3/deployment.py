"""Entries as separate processes with the command of the deploy file, and callers."""

import contextlib
import itertools
import os
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType

from review.standins_3.wire import Ended, Wire

ROOT = Path(__file__).resolve().parents[2]
HOST = "site.example"
KEY = "key-of-the-tenant"
# Exit status of a case whose rule was broken; Python itself exits with 1 after an error.
BROKEN = 10
READY_WITHIN_S = 15.0
BOUNDS = {
    "stable_window_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "downgrade_slack_ms": 250,
    "max_skew_ms": 5000,
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_allowance": 56,
    "cold_overage": 1.5,
    "cold_allowance": 5,
    "evacuation_ms": 5000,
    "recovery_s": 12,
    "iteration_ms": 120,
}
_ports = itertools.count(0)
_held: list[socket.socket] = []


def free_port() -> int:
    """Return a port that nothing listens on, below the range of outgoing connections."""
    while True:
        port = 10_000 + (os.getpid() * 37 + next(_ports) * 7) % 20_000
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            mark = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                mark.bind(("127.0.0.1", port))
            except OSError:
                mark.close()
                continue
            _held.append(mark)
            return port


class Record:
    """Write what was sent, answered and run to `record.txt`; thread-safe."""

    def __init__(self, folder: Path) -> None:
        self._file = open(folder / "record.txt", "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._began_s = time.monotonic()

    def note(self, text: str) -> None:
        """Add a line."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._began_s:9.3f} {text}\n")
            self._file.flush()

    def say(self, text: str) -> None:
        """Add a line and print it."""
        self.note(text)
        print(text, flush=True)


class Machine:
    """One entry with the addresses that it keeps across restarts."""

    def __init__(self, name: str, settings: Mapping[str, str] = MappingProxyType({})) -> None:
        self.name = name
        self._settings = settings
        self.frontend, self.readiness, self.control, self.metrics = (free_port() for _ in range(4))
        self.process: subprocess.Popen[bytes] | None = None

    def start(self, folder: Path, store: str, seeds: list[str]) -> None:
        """Start the process with the command of the deploy file."""
        settings = folder / f"{self.name}.conf"
        lines = {
            "node_name": self.name,
            "role": "entry",
            "machine_class": "edge",
            "serves": "edge,control",
            "ip": "127.0.0.1",
            "zone": "zone-a",
            "region": "region-1",
            "zones.zone-a": "region-1",
            "zones.zone-b": "region-1",
            "listen.frontend": f"127.0.0.1:{self.frontend}",
            "listen.readiness": f"127.0.0.1:{self.readiness}",
            "listen.control_plane": f"127.0.0.1:{self.control}",
            "port_range": f"{self.metrics},{self.metrics}",
            "seeds": ",".join(seeds),
            "bootstrap": "true",
            "limits.cpu_share": "0.537",
            "limits.cores": "2",
            "limits.memory_mb": "150",
            "limits.max_fds": "4100",
            "limits.link_mbps": "1000.0",
            "discovery": "platform",
            "heartbeat_ms": "1200",
            "platform.address": store,
            "platform.form": "objects",
            **{f"bounds.{name}": str(value) for name, value in BOUNDS.items()},
            **self._settings,
        }
        settings.write_text("".join(f"{name}={value}\n" for name, value in lines.items()))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        environment = {
            **{name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ},
            "PYTHONPATH": str(ROOT / "target/deps"),
            "GOOSEBERRYQUAY_SETTINGS": str(settings),
        }
        with open(folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                deploy["roles"]["entry"]["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    @property
    def seed(self) -> str:
        """Return the address for other entries."""
        return f"127.0.0.1:{self.control}"

    def is_ready(self) -> bool:
        """Ask for readiness as the platform does."""
        answer = call(self.readiness, "GET", "/api/readyz", {}, timeout_s=1.0)
        return answer is not None and answer.status == 200

    def wait_until_ready(self) -> None:
        """Wait until the entry is ready; raises `RuntimeError` if it is not in time."""
        until_s = time.monotonic() + READY_WITHIN_S
        while not self.is_ready():
            if time.monotonic() > until_s:
                raise RuntimeError(f"{self.name} was not ready in time")
            time.sleep(0.05)

    def kill(self) -> None:
        """Kill the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait(10.0)


class Deployment:
    """Keep the machines of a case and end all of them."""

    def __init__(self, case: Path, has_trouble: bool) -> None:
        self.case = case
        self.has_trouble = has_trouble
        self.record = Record(case)
        self.machines: list[Machine] = []
        self._folder = tempfile.TemporaryDirectory()
        self.folder = Path(self._folder.name)
        self._attempts = itertools.count(1)

    def add(
        self,
        name: str,
        store: str,
        seeds: list[str],
        settings: Mapping[str, str] = MappingProxyType({}),
    ) -> Machine:
        """Start one machine, with `settings` beside the usual ones."""
        machine = Machine(name, settings)
        self.start(machine, store, seeds)
        return machine

    def start(self, machine: Machine, store: str, seeds: list[str]) -> None:
        """Start a machine whose addresses are chosen."""
        self.machines.append(machine)
        machine.start(self.folder, store, seeds)
        self.record.note(f"started {machine.name} with seeds {seeds}")

    def attempt(self) -> str:
        """Return a new id of a client attempt."""
        return f"a{next(self._attempts):06x}"

    def close(self) -> None:
        """End all machines."""
        for each in self.machines:
            each.kill()
        self._folder.cleanup()


def call(
    port: int, method: str, target: str, headers: dict[str, str], body=b"", timeout_s: float = 5.0
):
    """Send one request on a new connection; return its response, or None if there is none."""
    try:
        with socket.create_connection(("127.0.0.1", port), 1.0) as connection:
            connection.settimeout(timeout_s)
            fields = {"Host": HOST, **headers}
            if body:
                fields["Content-Length"] = str(len(body))
            lines = [f"{method} {target} HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items())]
            connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            return Wire(connection).read_message()
    except (OSError, Ended, ValueError):
        return None


def request_headers(attempt: str, deadline_ms: int) -> dict[str, str]:
    """Return the headers of a client's request."""
    return {
        "X-Attempt-Id": attempt,
        "X-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {KEY}",
    }


def route(name: str, prefix: str, kind: str, service: str, **changes: object) -> dict[str, object]:
    """Return the definition of a route."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "route_kind": kind,
        "timeout_ms": 2000,
        "goal_ms": 300,
        "priority": 1,
        "service": service,
        "max_attempts": 2 if kind == "idempotent" else 1,
        "public": False,
        "resumable": False,
        **changes,
    }


def configuration(
    version: int, routes: list[dict[str, object]], services: list[dict[str, object]]
) -> dict[str, object]:
    """Return a whole configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "tenant-1", "api_keys": [KEY], "priority": 1}],
    }


def service(name: str, **changes: object) -> dict[str, object]:
    """Return the definition of a plain service."""
    return {
        "name": name,
        "health_path": "/healthz",
        "max_conns": 110,
        "protocol": "h1",
        "tls": False,
        "cold_s": 0.0,
        "cold_per_s": 0.0,
        **changes,
    }
