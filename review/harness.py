"""Entries as separate processes with the command of the deploy file, on the project's stand-ins."""

import contextlib
import http.client
import os
import random
import resource
import signal
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent

from gooseberryquay.standins.node_platform.site import (
    KEY,
    EntryPorts,
    Site,
    build_route,
)  # noqa: E402

HELD, BROKEN, CANNOT_RUN = 0, 1, 2
ZONES = ("zone-a", "zone-b")
READY_WITHIN_S = 20.0
MAX_FDS = 4100
TIME_MAX_S = 115

SETTINGS = """\
node_name={name}
role=entry
machine_class=edge
serves=edge,control
ip=127.0.0.1
zone={zone}
region=region-1
listen.frontend=127.0.0.1:{callers}
listen.readiness=127.0.0.1:{readiness}
listen.control_plane=127.0.0.1:{control}
port_range={metrics},{metrics}
seeds={seeds}
bootstrap=true
limits.cores=2
limits.memory_mb=150
limits.max_fds=4100
limits.link_mbps=1000.0
discovery=platform
entry=vip
heartbeat_ms=1200
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.stable_window_ms=3000
bounds.ack_ms=4000
bounds.drain_ms=2000
bounds.grace_s=8
bounds.config_apply_ms=2000
bounds.downgrade_slack_ms=250
bounds.max_skew_ms=5000
bounds.retry_ratio=0.2
bounds.retry_window_s=10
bounds.retry_allowance=56
bounds.cold_overage=1.5
bounds.cold_allowance=5
bounds.evacuation_ms=5000
bounds.recovery_s=12
platform.address=127.0.0.1:{store}
platform.form=objects
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
"""


class SmallSite(Site):
    """A site whose engines have the slots and the memory of the small deployments."""

    def configure(self, *routes, keys=(KEY,)):
        """Write a configuration and return its version."""
        self._version += self._rng.randrange(1, 4)
        engine = {"slots": 24, "kv_capacity": 34203, "moves": True, "stride": 4}
        model = {"name": "model", "max_conns": 252, "cold_per_s": 29.0, "engine": engine}
        document = {
            "version": self._version,
            "routes": [*small_routes(), *routes],
            "services": [model, {"name": "ledger", "max_conns": 110}],
            "limits": {},
            "tenants": [{"name": "studio", "api_keys": list(keys), "priority": 1}],
        }
        self.store.put("config", "main", document)
        return self._version


def small_routes():
    """Return the routes of a small deployment."""
    stream = {"goal_ms": 1500, "sticky": True, "gap_target_ms": 180}
    return [
        build_route("/note/", "streaming", "model", 1, timeout_ms=39000, **stream),
        build_route("/check/", "streaming", "model", 2, resumable=True, timeout_ms=6000, **stream),
        build_route("/post/", "non_idempotent", "ledger", 1),
        build_route("/read/", "idempotent", "ledger", 2, timeout_ms=4000),
    ]


class Record:
    """Write lines with the time since the start to `record.txt` of a case."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w", encoding="utf-8")  # noqa: SIM115
        self._lock = threading.Lock()
        self.began_at_s = time.monotonic()

    def write(self, text):
        """Write one line."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self.began_at_s:8.3f} s  {text}\n")
            self._file.flush()


class Entry:
    """One entry, started by the command of the deploy file."""

    def __init__(self, folder, number, store_port, seeds):
        self.ports = EntryPorts(f"entry-{number}")
        self.name = self.ports.name
        self._folder = Path(folder)
        self.process = None
        ports = self.ports
        self.settings = self._folder / f"{self.name}.conf"
        self._values = {
            "name": ports.name,
            "zone": ZONES[number % len(ZONES)],
            "callers": ports.callers,
            "readiness": ports.readiness,
            "control": ports.control,
            "metrics": ports.metrics,
            "store": store_port,
        }
        self.set_seeds(seeds or [ports.control])

    def set_seeds(self, seeds):
        """Write the settings file."""
        text = ",".join(f"127.0.0.1:{each}" for each in seeds)
        self.settings.write_text(SETTINGS.format(**self._values, seeds=text))

    def start(self):
        """Start the process."""
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self._folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "GOOSEBERRYQUAY_SETTINGS": str(self.settings),
        }
        log = open(self._folder / f"{self.name}.log", "a", encoding="utf-8")  # noqa: SIM115
        self.process = subprocess.Popen(
            ["python3", "-m", "gooseberryquay.daemons"],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        # As the platform does.
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS))
        log.close()

    def is_ready(self):
        """Return whether the entry answers the readiness check with 200."""
        with contextlib.suppress(OSError, http.client.HTTPException):
            connection = http.client.HTTPConnection("127.0.0.1", self.ports.readiness, timeout=1.0)
            connection.request("GET", "/api/readyz")
            status = connection.getresponse().status
            connection.close()
            return status == http.client.OK
        return False

    def signal(self, number):
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        """End the process at once."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def resident_mb(self):
        """Return the resident memory of the process."""
        with contextlib.suppress(OSError, ValueError, IndexError):
            pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
            return pages * os.sysconf("SC_PAGE_SIZE") / 1e6
        return 0.0


class Deployment:
    """A site with its entries, which are all ended on exit."""

    def __init__(self, folder, entry_count, seed=1, site=None):
        self.record = Record(folder)
        self.site = site or SmallSite(random.Random(seed))
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._temporary.name)
        self.entry_count = entry_count
        self.entries = []

    def start(self, engines, services):
        """Start the platform and the entries, and wait until all are ready."""
        self.site.start(engines=engines, services=services)
        for number in range(self.entry_count):
            self.entries.append(Entry(self.folder, number, self.site.store.port, []))
        seeds = [each.ports.control for each in self.entries[:3]]
        for each in self.entries:
            each.set_seeds(seeds)
            each.start()
        until_s = time.monotonic() + READY_WITHIN_S
        while not all(each.is_ready() for each in self.entries):
            if time.monotonic() > until_s:
                raise RuntimeError("the entries were not ready in time")
            time.sleep(0.1)
        self.record.write(f"{self.entry_count} entries are ready")

    def __enter__(self):
        return self

    def __exit__(self, *_error):
        for each in self.entries:
            each.kill()
        for request, upstreams in list(self.site.record.runs.items()):
            self.record.write(f"run: {request} at {' '.join(upstreams)}")
        self.site.stop()
        self._temporary.cleanup()


def _interrupt(*_arguments):
    raise RuntimeError("interrupted")


def run_case(case):
    """Run a case and exit with its result."""
    signal.signal(signal.SIGTERM, _interrupt)
    signal.signal(signal.SIGALRM, _interrupt)
    signal.alarm(TIME_MAX_S)
    try:
        result = case()
    except Exception as error:  # noqa: BLE001
        print(f"could not run: {error!r}", file=sys.stderr)
        result = CANNOT_RUN
    print({HELD: "held", BROKEN: "broken", CANNOT_RUN: "could not run"}[result], flush=True)
    os._exit(result)


__all__ = ["KEY", "Deployment", "Entry", "Record", "run_case"]
