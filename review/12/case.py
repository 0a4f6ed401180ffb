"""A record of another writer, whose address cannot be read, takes the calls of a service."""

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
    call,
    configuration,
    request_headers,
    route,
    service,
)
from review.standins_3.platform import Store  # noqa: E402
from review.standins_3.upstreams import PlainServer  # noqa: E402

# With TROUBLE=0 the case does the same without the disruption.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MACHINES = 2
REQUESTS_PER_ROUTE = 400
PAUSE_S = 0.05
# What another writer left: its address holds a byte that is no UTF-8.
FOREIGN = (
    b'{"service":"ledger","address":"127.0.0.\xff:8080","zone":"zone-a","version":"v1",'
    b'"slots":6,"state":"ready","cold_left_ms":0,"sequence":1}'
)
SERVICES = [service("lookup"), service("ledger")]
FIRST = [route("first", "/first/", "idempotent", "lookup")]
ADDED = [
    route("added", "/added/", "idempotent", "ledger"),
    route("posting", "/posting/", "non_idempotent", "ledger"),
]
FIRST_PATHS, ADDED_PATHS = ["/first/"], ["/added/", "/posting/"]


def main() -> int:
    """Return BROKEN if the rule was broken, 0 if it held, 2 if the case could not run."""
    deployment = Deployment(Path(__file__).parent, HAS_TROUBLE)
    record = deployment.record
    store = Store()
    servers = [PlainServer(f"i-lookup-{n}", "lookup") for n in (1, 2)]
    servers += [PlainServer(f"i-ledger-{n}", "ledger", work_s=0.25) for n in (1, 2)]
    try:
        store.put("config", "main", configuration(3, FIRST, SERVICES))
        for each in servers:
            store.put("servers", each.id, each.entry())
        view = store.view()
        seeds: list[str] = []
        for number in range(MACHINES):
            machine = deployment.add(f"edge-{number + 1}", view.address, list(seeds))
            seeds.append(machine.seed)
        for each in deployment.machines:
            each.wait_until_ready()
        time.sleep(BOUNDS["stable_window_ms"] / 1000.0)
        store.put("config", "main", configuration(7, FIRST + ADDED, SERVICES))
        record.note("version 7 was acknowledged, which adds two routes to the service ledger")
        if deployment.has_trouble:
            store.put_text("servers", "i-foreign", FOREIGN)
            record.note(f"another writer left servers/i-foreign: {FOREIGN!r}")
        time.sleep((BOUNDS["config_apply_ms"] + BOUNDS["stable_window_ms"]) / 1000.0)
        return judge(deployment, servers)
    except (OSError, RuntimeError) as error:
        record.say(f"could not run: {error!r}")
        return 2
    finally:
        deployment.close()


def judge(deployment: Deployment, servers: list[PlainServer]) -> int:
    """Send requests to all routes in turn and compare how often they are served."""
    counts = {path: [0, 0] for path in FIRST_PATHS + ADDED_PATHS}
    lock = threading.Lock()

    def send(path: str, number: int) -> None:
        machine = deployment.machines[number % MACHINES]
        attempt = deployment.attempt()
        method, body = ("POST", b"10 kg") if path == "/posting/" else ("GET", b"")
        target = f"{path}{number}"
        answer = call(machine.frontend, method, target, request_headers(attempt, 4000), body)
        is_served = (
            answer is not None and answer.status == 200 and "x-response-seal" in answer.headers
        )
        with lock:
            counts[path][0] += 1
            counts[path][1] += is_served
        said = "no answer" if answer is None else f"{answer.status} {answer.body[:120]!r}"
        deployment.record.note(f"{machine.name} {attempt} {method} {target} -> {said}")

    threads = []
    for number in range(REQUESTS_PER_ROUTE):
        for path in counts:
            threads.append(threading.Thread(target=send, args=(path, number)))
            threads[-1].start()
        time.sleep(PAUSE_S)
    for each in threads:
        each.join()
    for each in servers:
        deployment.record.note(f"{each.id} ran {len(each.runs)} requests")
    for path, (sent, served) in counts.items():
        deployment.record.say(f"{path}: {served} of {sent} requests were served")
    first_sent, first_served = (sum(counts[path][i] for path in FIRST_PATHS) for i in (0, 1))
    added_sent, added_served = (sum(counts[path][i] for path in ADDED_PATHS) for i in (0, 1))
    first_share, added_share = first_served / first_sent, added_served / added_sent
    is_broken = added_sent >= 20 and added_share < first_share / 4
    verdict = "broken" if is_broken else "held"
    deployment.record.say(
        f"CONFIG {verdict}: routes added later were served in {added_share:.3f} of {added_sent}"
        f" requests, the first routes in {first_share:.3f} of {first_sent}"
    )
    return BROKEN if is_broken else 0


if __name__ == "__main__":
    sys.exit(main())
