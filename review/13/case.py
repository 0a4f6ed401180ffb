"""A machine does not notice that it is partitioned from all engines beside a foreign record."""

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
from review.standins_3.upstreams import Link, PlainServer  # noqa: E402

# With TROUBLE=0 the case does the same without the disruption.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MACHINES = 3
CUT_S = 12.0
PAUSE_S = 0.05
# A record of another writer: a service that is not named here, and bytes that can't be read.
FOREIGN = (
    b'{"service":"\xc3\x28-app","address":"\xc3\x28.0.0.9:8080","zone":"zone-a","version":"v1",'
    b'"slots":6,"state":"ready","cold_left_ms":0,"sequence":1}'
)


def main() -> int:
    """Return BROKEN if the rule was broken, 0 if it held, 2 if the case could not run."""
    deployment = Deployment(Path(__file__).parent, HAS_TROUBLE)
    record = deployment.record
    # FOREIGN=0 leaves out the record, to compare.
    has_foreign = deployment.has_trouble and os.environ.get("FOREIGN", "1") != "0"
    store = Store()
    servers = [PlainServer(f"i-ledger-{n}", "ledger", work_s=0.06) for n in (1, 2, 3)]
    # The machine that is cut off reaches each server over a link of its own.
    links = {
        each.listener.address: Link(each.listener.host, each.listener.port) for each in servers
    }

    def through_links(text: bytes) -> bytes:
        for address, link in links.items():
            text = text.replace(address.encode(), link.listener.address.encode())
        return text

    try:
        routes = [
            route("reading", "/reading/", "idempotent", "ledger"),
            route("posting", "/posting/", "non_idempotent", "ledger"),
        ]
        store.put("config", "main", configuration(3, routes, [service("ledger")]))
        for each in servers:
            store.put("servers", each.id, each.entry())
        if has_foreign:
            store.put_text("servers", "i-foreign", FOREIGN)
            record.note(f"another writer left servers/i-foreign: {FOREIGN!r}")
        views = [store.view(through_links), *(store.view() for _ in range(MACHINES - 1))]
        seeds: list[str] = []
        for number, view in enumerate(views):
            machine = deployment.add(f"edge-{number + 1}", view.address, list(seeds))
            seeds.append(machine.seed)
        for each in deployment.machines:
            each.wait_until_ready()
        time.sleep(BOUNDS["stable_window_ms"] / 1000.0)
        return judge(deployment, links, servers)
    except (OSError, RuntimeError) as error:
        record.say(f"could not run: {error!r}")
        return 2
    finally:
        deployment.close()


def judge(deployment: Deployment, links: dict[str, Link], servers: list[PlainServer]) -> int:
    """Send first tries to all machines in turn and compare how often they are served."""
    record = deployment.record
    # Machine, time since the cut, whether it was served.
    tries: list[tuple[str, float, bool]] = []
    lock = threading.Lock()
    began_at_s = time.monotonic()
    if deployment.has_trouble:
        for link in links.values():
            link.is_cut = True
        record.note("edge-1 is partitioned from all engines from now on; its connections hang")

    def send(number: int) -> None:
        machine = deployment.machines[number % MACHINES]
        attempt = deployment.attempt()
        is_posting = number // MACHINES % 2
        method, path = ("POST", "/posting/") if is_posting else ("GET", "/reading/")
        body = b"10 kg" if is_posting else b""
        sent_s = time.monotonic() - began_at_s
        target = f"{path}{number}"
        answer = call(machine.frontend, method, target, request_headers(attempt, 4000), body)
        is_served = (
            answer is not None and answer.status == 200 and "x-response-seal" in answer.headers
        )
        with lock:
            tries.append((machine.name, sent_s, is_served))
        said = "no answer" if answer is None else f"{answer.status} {answer.body[:100]!r}"
        record.note(f"sent {sent_s:.3f} {machine.name} {attempt} {method} {target} -> {said}")

    threads = []
    number = 0
    while time.monotonic() - began_at_s < CUT_S:
        threads.append(threading.Thread(target=send, args=(number,)))
        threads[-1].start()
        number += 1
        time.sleep(PAUSE_S)
    for each in threads:
        each.join()
    for link in links.values():
        link.is_cut = False
    for each in servers:
        record.note(f"{each.id} ran {len(each.runs)} requests")
    judged = [each for each in tries if each[1] >= BOUNDS["stable_window_ms"] / 1000.0]
    near = [is_served for name, _, is_served in judged if name == "edge-1"]
    others = [is_served for name, _, is_served in judged if name != "edge-1"]
    failed = near.count(False) + others.count(False)
    near_share, other_share = sum(near) / len(near), sum(others) / len(others)
    is_broken = near_share < other_share * 2 / 3 and failed > 10 + len(judged) / 50
    record.say(
        f"RECOVER {'broken' if is_broken else 'held'}: first tries were served in {near_share:.3f}"
        f" of {len(near)} at the machine that is cut off and in {other_share:.3f} of {len(others)}"
        f" at the others; {failed} failed, {10 + len(judged) / 50:.1f} may"
    )
    return BROKEN if is_broken else 0


if __name__ == "__main__":
    sys.exit(main())
