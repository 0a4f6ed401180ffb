"""Kill an engine while it writes streams that end with their connections."""

import os
import signal
import socket
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins_2"))

from fleet import HOST, CannotRun, Fleet  # noqa: E402

KEY = "xd9dnn2ctnfzs989anu6"
SERVICE = "huvo11a"
SLOTS = 24
# One of six engines crashes: a share of 0.167.
ENGINES = 6
# A stream takes 5 s.
EVENTS = 100
EVENT_MS = 50
STREAMS = 36
SETTLE_S = 5.0
KILLED_AFTER_S = 2.0
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
                "max_attempts": 2,
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
                    "kv_bytes": 131072,
                    "link_mbps": 19000.0,
                    "moves": True,
                    "backups": False,
                    "stride": 4,
                    "handle_s": 5.0,
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


def read_stream(fleet, number, port, ends):
    """Read one stream; note whether its end looked complete, and its events."""
    request = f"{number:016x}"
    numbers = []
    end = "broken off"
    try:
        with socket.create_connection(("127.0.0.1", port), 1.0) as opened:
            opened.settimeout(7.2)
            lines = [
                "POST /lohu930/2f HTTP/1.1",
                f"Host: {HOST}",
                f"X-Attempt-Id: {request}",
                "X-Model: m",
                "X-Token-Usage: 400,400",
                f"X-Prompt-Prefix: 5c1e07a2:80,{request}:320",
                "X-Deadline-Ms: 39000",
                f"Authorization: Bearer {KEY}",
                "Content-Length: 0",
            ]
            opened.sendall(("\r\n".join(lines) + "\r\n\r\n").encode())
            file = opened.makefile("rb")
            status = int(file.readline().split()[1])
            while file.readline() not in (b"\r\n", b""):
                pass
            if status == 200:
                while (size := int(file.readline(), 16)) > 0:
                    for line in file.read(size).decode().split("\n"):
                        if line.startswith("id: "):
                            numbers.append(int(line[4:]))
                    file.read(2)
                end = "complete"
            else:
                end = f"status {status}"
    except (OSError, ValueError, IndexError):
        pass
    ends[request] = (end, numbers)
    last = numbers[-1] if numbers else None
    fleet.record("request ended", id=request, end=end, events=len(numbers), last=last)


def main():
    """Run the case; return its exit status."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    with Fleet(FOLDER, entries=2) as fleet:
        engines = [f"i-7f3a91c{number}" for number in range(ENGINES)]
        for each in engines:
            fleet.start_engine(each, SERVICE, SLOTS, events=EVENTS, event_ms=EVENT_MS, unframed=1)
        fleet.configure(configuration())
        fleet.start_entries()
        time.sleep(SETTLE_S)
        ports = [each[1] for each in fleet.entries.values()]
        ends = {}
        threads = [
            threading.Thread(
                target=read_stream,
                args=(fleet, number, ports[number % len(ports)], ends),
                daemon=True,
            )
            for number in range(STREAMS)
        ]
        for each in threads:
            each.start()
        time.sleep(KILLED_AFTER_S)
        if has_trouble:
            fleet.engine_ports[engines[0]][0].send_signal(signal.SIGKILL)
            fleet.record("engine killed", engine=engines[0])
        for each in threads:
            each.join(45.0)
        return judge(fleet, ends)


def judge(fleet, ends):
    """Return the exit status for what the clients have got."""
    whole = list(range(1, EVENTS + 1))
    short = [
        request for request, (end, found) in ends.items() if end == "complete" and found != whole
    ]
    served = sum(end == "complete" and found == whole for end, found in ends.values())
    for each in short:
        fleet.record("rule broken", id=each, events=len(ends[each][1]), of=EVENTS)
    fleet.record("result", whole=served, short=len(short))
    print(f"{served} of {STREAMS} streams whole; {len(short)} ended early and looked complete")
    if served < STREAMS // 2:
        raise CannotRun("too few streams were served to tell")
    return BROKEN if short else 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except CannotRun as error:
        print(f"cannot run: {error}")
        sys.exit(2)
