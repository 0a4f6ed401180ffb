"""Begin streams at an entry that the store turns away during a release, and kill that entry."""

import json
import os
import signal
import socket
import sys
import threading
import time
import urllib.request
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins_2"))

from fleet import HOST, CannotRun, Fleet  # noqa: E402

KEY = "xd9dnn2ctnfzs989anu6"
SERVICE = "huvo11a"
SLOTS = 24
EVENTS = 140
EVENT_MS = 50
STREAMS = 16
SETTLE_S = 5.0
# One engine after the other is replaced: the new one is listed first, then the old one drains.
RELEASE_GAP_S = 1.0
DRAIN_AFTER_S = 0.1
# After the first engine of the new version is listed.
REFUSED_AT_S = 1.3
STREAMS_AT_S = 1.5
KILLED_AT_S = 3.5
RETRY_S = 0.1
# More than two such streams break the rule.
MIXED_MAX = 2
# An exit status that no failure of the script itself has.
BROKEN = 10


def configuration():
    """Return a configuration with one route whose streams may be resumed."""
    return {
        "version": 7,
        "routes": [
            {
                "name": "r-px5pa2y",
                "host": HOST,
                "path_prefix": "/lohu930/",
                "route_kind": "streaming",
                "timeout_ms": 39000,
                "goal_ms": 1800,
                "priority": 1,
                "service": SERVICE,
                "max_attempts": 3,
                "public": False,
                "sticky": True,
                "resumable": True,
                "gap_target_ms": 180,
            }
        ],
        "services": [
            {
                "name": SERVICE,
                "health_path": "/healthz",
                "max_conns": 252,
                "cold_s": 0.0,
                "cold_per_s": 0.0,
                "engine": {
                    "slots": SLOTS,
                    "kv_capacity": 34203,
                    "moves": False,
                    "backups": False,
                    "stride": 4,
                    "models": [{"name": "m"}],
                },
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "huka270", "api_keys": [KEY], "priority": 1}],
    }


class Stream:
    """Client of one stream, which takes it up again at another entry if its connection breaks."""

    def __init__(self, number, ports, fleet):
        """Prepare the stream; `ports` are those of the entries in the order in which it asks."""
        self._number = number
        self._ports = ports
        self._fleet = fleet
        self.events = []
        self.statuses = []
        self._first_id = None
        self.thread = threading.Thread(target=self._run, daemon=True)

    def versions(self):
        """Return the software versions of the events in order, each once in a row."""
        found = []
        for _, version in self.events:
            if not found or found[-1] != version:
                found.append(version)
        return found

    def _run(self):
        for attempt, port in enumerate(self._ports):
            request = f"{self._number:08x}{attempt:08x}"
            try:
                is_complete = self._read(request, port)
            except (OSError, ValueError, IndexError):
                is_complete = False
            if is_complete:
                return
            time.sleep(RETRY_S)

    def _read(self, request, port):
        with socket.create_connection(("127.0.0.1", port), 1.0) as opened:
            opened.settimeout(7.2)
            last = self.events[-1][0] if self.events else None
            lines = [
                "POST /lohu930/2f HTTP/1.1",
                f"Host: {HOST}",
                f"X-Attempt-Id: {request}",
                "X-Model: m",
                "X-Token-Usage: 600,560",
                f"X-Prompt-Prefix: 5c1e07a2:80,{self._number:x}:520",
                "X-Deadline-Ms: 39000",
                f"Authorization: Bearer {KEY}",
                "Content-Length: 0",
            ]
            if last is not None:
                lines += [f"Last-Event-ID: {last}", f"Resumes: {self._first_id}"]
            opened.sendall(("\r\n".join(lines) + "\r\n\r\n").encode())
            file = opened.makefile("rb")
            status = int(file.readline().split()[1])
            self.statuses.append(status)
            self._fleet.record("answer begins", id=request, last=last, status=status)
            if status != 200:
                return False
            while file.readline() not in (b"\r\n", b""):
                pass
            return self._read_events(request, file)

    def _read_events(self, request, file):
        while (line := file.readline().split(b";")[0].strip()) != b"0":
            content = file.read(int(line, 16))
            file.read(2)
            for event in content.decode().split("\n\n"):
                if event:
                    number, data = event.split("\n")[:2]
                    if self._first_id is None:
                        self._first_id = request
                    self.events.append((int(number.split()[1]), data.split()[1]))
        return True


def main():
    """Run the case; return its exit status."""
    trouble = os.environ.get("TROUBLE", "1")
    with Fleet(FOLDER, entries=3) as fleet:
        options = {"events": EVENTS, "event_ms": EVENT_MS}
        old = [f"i-7f3a91c{number}" for number in range(4)]
        for each in old:
            fleet.start_engine(each, SERVICE, SLOTS, version="v1", **options)
        new = [f"i-02d9e6b{number}" for number in range(2)]
        ports = [fleet.launch_engine(each, SLOTS, version="v2", **options) for each in new]
        fleet.configure(configuration())
        fleet.start_entries()
        time.sleep(SETTLE_S)
        first, *others = fleet.entries.values()
        name = next(iter(fleet.entries))
        began_at_s = time.monotonic()
        for number, (each, port) in enumerate(zip(new, ports, strict=True)):
            wait_until(began_at_s + number * RELEASE_GAP_S)
            fleet.list_engine(each, port, SERVICE, SLOTS, version="v2")
            fleet.record("released", new=each, version="v2", old=old[number])
            time.sleep(DRAIN_AFTER_S)
            drain(fleet, old[number])
        wait_until(began_at_s + REFUSED_AT_S)
        if trouble in ("1", "store"):
            fleet.store_gates[name].refuse()
            fleet.record("store turns an entry away", entry=name)
        wait_until(began_at_s + STREAMS_AT_S)
        callers = [first[1], *(each[1] for each in others)]
        streams = [Stream(number, callers, fleet) for number in range(STREAMS)]
        for each in streams:
            each.thread.start()
        wait_until(began_at_s + KILLED_AT_S)
        if trouble in ("1", "kill"):
            first[0].send_signal(signal.SIGKILL)
            fleet.record("entry killed", entry=name)
        for each in streams:
            each.thread.join(30.0)
        return judge(fleet, streams)


def drain(fleet, instance):
    """Write that an engine drains, as it does itself; it serves on."""
    path = f"http://127.0.0.1:{fleet.store.port}/api/objects/servers/{instance}"
    with urllib.request.urlopen(path, timeout=2.0) as answer:
        entry = json.load(answer)["spec"]
    fleet.store.put("servers", instance, entry | {"state": "draining", "sequence": 5})


def wait_until(at_s):
    """Sleep until a time on the monotonic clock."""
    time.sleep(max(0.0, at_s - time.monotonic()))


def judge(fleet, streams):
    """Return the exit status for what the clients have got."""
    mixed = 0
    for number, each in enumerate(streams):
        versions = each.versions()
        mixed += len(versions) > 1
        fleet.record(
            "stream",
            number=number,
            events=len(each.events),
            versions=versions,
            statuses=each.statuses,
        )
    begun = sum(bool(each.events) for each in streams)
    fleet.record("result", begun=begun, mixed=mixed)
    print(f"{begun} streams begun, {mixed} of them with events of two software versions")
    if begun < STREAMS // 2:
        raise CannotRun("too few streams began to tell")
    return BROKEN if mixed > MIXED_MAX else 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except CannotRun as error:
        print(f"cannot run: {error}")
        sys.exit(2)
