"""The store comes back from a copy in which an engine that drains is still listed as ready."""

import http.client
import itertools
import os
import sys
import tempfile
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import BROKEN, HELD, KEY, Deployment, run_case  # noqa: E402

from gooseberryquay.standins.node_platform.site import HOST  # noqa: E402

# Without the disruption if the variable is 0.
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"

ENTRIES = 3
COPY_AGE_S = 5.0
DRAINING_S = 4.0
# Below `heartbeat_ms`: engines and operators write again what the store has lost.
WRITTEN_AGAIN_AFTER_S = 1.0

_numbers = itertools.count(1)


def send(port):
    """Send one resumable stream and return its status, or None."""
    attempt = f"a{next(_numbers):015x}"
    headers = {
        "Host": HOST,
        "X-Attempt-Id": attempt,
        "X-Deadline-Ms": "5000",
        "X-Model": "m",
        "X-Token-Usage": "100,12",
        "X-Prompt-Prefix": f"aa01:20,{attempt}:80",
        "Authorization": f"Bearer {KEY}",
    }
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5.0)
    try:
        connection.request("POST", "/check/1", attempt.encode(), headers)
        response = connection.getresponse()
        response.read()
        return response.status
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def case():
    """Play it once."""
    with Deployment(Path(tempfile.mkdtemp()), ENTRIES) as deployment:
        deployment.start(engines=3, services=2)
        site, store = deployment.site, deployment.site.store
        stopped = threading.Event()

        def work():
            for number in itertools.count():
                if stopped.wait(0.08):
                    return
                send(deployment.entries[number % ENTRIES].ports.callers)

        time.sleep(3.0)
        threading.Thread(target=work, daemon=True).start()
        copy = store.take_copy()
        time.sleep(COPY_AGE_S - DRAINING_S)
        draining = next(iter(site.engines))
        site.announce_leave(draining)
        time.sleep(DRAINING_S)
        before = len(site.record.arrivals[draining])
        if IS_TROUBLED:
            lost = store._outside_writes[copy.outside_write_count :]
            del store._outside_writes[copy.outside_write_count :]
            store.come_back_from(copy)
            time.sleep(WRITTEN_AGAIN_AFTER_S)
            for each in lost:
                store.put(each.kind, each.name, each.spec)
        time.sleep(2.0)
        stopped.set()
        arrived = len(site.record.arrivals[draining]) - before
        print(f"{arrived} requests at an engine whose drain was acked {DRAINING_S} s before")
        return BROKEN if arrived else HELD


run_case(case)
