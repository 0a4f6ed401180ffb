"""Streams go on from their backups at engines whose zone was evacuated long before."""

import os
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.standins_3.deployment import (  # noqa: E402
    BOUNDS,
    BROKEN,
    Deployment,
    configuration,
    request_headers,
    route,
    service,
)
from review.standins_3.engines import TERMS, Engine  # noqa: E402
from review.standins_3.platform import Store  # noqa: E402
from review.standins_3.wire import Ended, Wire  # noqa: E402

import socket  # noqa: E402

# With TROUBLE=0 the case does the same without the disruption.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MACHINES = 2
ENGINES_PER_ZONE = 3
STREAMS = 24
EVENTS = 250
EVENT_S = 0.08
# From the acknowledged evacuation to the crash; the bound is 5 s.
CRASH_AFTER_S = 9.0


def main() -> int:
    """Return BROKEN if the rule was broken, 0 if it held, 2 if the case could not run."""
    deployment = Deployment(Path(__file__).parent, HAS_TROUBLE)
    record = deployment.record
    store = Store()
    peers: dict[str, Engine] = {}
    engines = [
        Engine(f"i-model-{zone}{number}", f"zone-{zone}", peers, EVENT_S)
        for zone in "ab"
        for number in range(ENGINES_PER_ZONE)
    ]
    try:
        terms = service("model", max_conns=252, cold_s=1.0, cold_per_s=29.0, engine=TERMS)
        routes = [
            route(
                "summary",
                "/summary/",
                "streaming",
                "model",
                timeout_ms=39000,
                goal_ms=1800,
                sticky=True,
                gap_target_ms=180,
            )
        ]
        store.put("config", "main", configuration(3, routes, [terms]))
        for each in engines:
            store.put("servers", each.id, each.entry())
        view = store.view()
        seeds: list[str] = []
        for number in range(MACHINES):
            machine = deployment.add(f"edge-{number + 1}", view.address, list(seeds))
            seeds.append(machine.seed)
        for each in deployment.machines:
            each.wait_until_ready()
        time.sleep(BOUNDS["stable_window_ms"] / 1000.0)
        return judge(deployment, store, engines)
    except (OSError, RuntimeError) as error:
        record.say(f"could not run: {error!r}")
        return 2
    finally:
        deployment.close()


def stream(deployment: Deployment, machine, events: int) -> tuple[int, bool]:
    """Read one stream; return how many events came and whether it was complete."""
    attempt = deployment.attempt()
    headers = {
        **request_headers(attempt, 39000),
        "X-Model": "m",
        "X-Token-Usage": f"300,{events * TERMS['stride']}",
        "X-Length-Hint": str(events * TERMS["stride"]),
        "X-Prompt-Prefix": f"5c1e07a2:100,{attempt}:200",
        "Host": "site.example",
        "Content-Length": "4",
    }
    lines = [f"POST /summary/{attempt} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
    count, is_complete, status = 0, False, 0
    try:
        with socket.create_connection(("127.0.0.1", machine.frontend), 1.0) as connection:
            connection.settimeout(10.0)
            connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\ntext")
            wire = Wire(connection)
            head = wire.read_head()
            status = head.status
            if "chunked" in head.headers.get("transfer-encoding", ""):
                for part in wire.read_chunks():
                    count += part.count(b"id: ")
                is_complete = True
    except (OSError, Ended, ValueError):
        pass
    deployment.record.note(
        f"{machine.name} {attempt} POST /summary/ -> {status}, {count} of {events} events,"
        f" {'complete' if is_complete else 'broken off'}"
    )
    return count, is_complete


def judge(deployment: Deployment, store: Store, engines: list[Engine]) -> int:
    """Evacuate a zone, let one of its engines crash later, and see what arrives at the others."""
    record = deployment.record
    evacuated = [each for each in engines if each.zone == "zone-b"]
    crashing, *_ = evacuated
    # The entries learn from answers that engines share their machines.
    for _ in range(4):
        for machine in deployment.machines:
            stream(deployment, machine, 3)
    threads = []
    for number in range(STREAMS):
        machine = deployment.machines[number % MACHINES]
        threads.append(threading.Thread(target=stream, args=(deployment, machine, EVENTS)))
        threads[-1].start()
        time.sleep(0.1)
    time.sleep(1.0)
    acknowledged_at_s = store.put("evacuations", "zone-b", {})
    record.note("the evacuation of zone-b was acknowledged")
    time.sleep(CRASH_AFTER_S)
    if deployment.has_trouble:
        record.note(f"{crashing.id} in zone-b crashes")
        crashing.kill()
    for each in threads:
        each.join()
    late = 0
    for engine in engines:
        for at_s, attempt, is_resumed in engine.arrivals:
            after_s = at_s - acknowledged_at_s
            how = "from a backup" if is_resumed else "anew"
            record.note(
                f"{engine.id} got {attempt} {how} {after_s:.3f} s after the acknowledgement"
            )
            is_late = after_s > BOUNDS["evacuation_ms"] / 1000.0
            late += is_late and engine.zone == "zone-b"
    record.say(
        f"EVAC {'broken' if late else 'held'}: {late} requests reached engines in zone-b later than"
        f" {BOUNDS['evacuation_ms']} ms after its evacuation was acknowledged"
    )
    return BROKEN if late else 0


if __name__ == "__main__":
    sys.exit(main())
