"""Many users come at once to crowded engines; calls of another service wait behind them."""

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

ENGINES = 9
# Just below what the engines bear: 216 slots, 6 s a stream.
GENERATIONS_PER_S = 33.0
# `burst` of grown/pbfp-yield-grown.toml.
BURST_X = 2.5
BURST_S = 10.0
BURST_AT_S = 8.0
CALLS_PER_S = 15.0
TRAFFIC_S = 34.0
EVENTS = 60
EVENT_S = 0.1
# Of the route of calls.
TIMEOUT_S = 2.0
LATE_S = 0.5
DEADLINE_S = 4.0
GAP_MAX_S = 7.2
UNANSWERED_MIN = 8

_numbers = itertools.count(1)


def send(port, is_call, took):
    """Send one request; note the seconds until its answer, or infinity."""
    attempt = f"a{next(_numbers):015x}"
    headers = {
        "Host": HOST,
        "X-Attempt-Id": attempt,
        "X-Deadline-Ms": "4000" if is_call else "39000",
        "Authorization": f"Bearer {KEY}",
    }
    if not is_call:
        headers["X-Model"] = "m"
        headers["X-Token-Usage"] = f"100,{4 * EVENTS}"
        headers["X-Prompt-Prefix"] = f"aa01:20,{attempt}:80"
    sent_at_s = time.monotonic()
    took_s = float("inf")
    timeout_s = DEADLINE_S if is_call else GAP_MAX_S
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout_s)
    try:
        path = "/post/1" if is_call else "/note/1"
        connection.request("POST", path, attempt.encode(), headers)
        connection.getresponse().read()
        took_s = time.monotonic() - sent_at_s
    except (OSError, http.client.HTTPException):
        pass
    finally:
        connection.close()
    if is_call:
        took.append(took_s)


def case():
    """Play it once."""
    with Deployment(Path(tempfile.mkdtemp()), 1) as deployment:
        deployment.start(engines=ENGINES, services=3)
        for each in deployment.site.engines.values():
            each.event_s = EVENT_S
        port = deployment.entries[0].ports.callers
        time.sleep(3.0)
        began_at_s = time.monotonic()
        took, threads = [], []
        due_s = {False: began_at_s, True: began_at_s}
        while (now_s := time.monotonic() - began_at_s) < TRAFFIC_S:
            is_burst = IS_TROUBLED and BURST_AT_S <= now_s < BURST_AT_S + BURST_S
            rates = {False: GENERATIONS_PER_S * (BURST_X if is_burst else 1.0), True: CALLS_PER_S}
            for is_call, per_s in rates.items():
                if time.monotonic() >= due_s[is_call]:
                    due_s[is_call] += 1.0 / per_s
                    arguments = (port, is_call, took)
                    threads.append(threading.Thread(target=send, args=arguments, daemon=True))
                    threads[-1].start()
            time.sleep(0.005)
        for each in threads:
            each.join(GAP_MAX_S + 1.0)
        unanswered = [each for each in took if each > TIMEOUT_S]
        late = [each for each in unanswered if each > TIMEOUT_S + LATE_S]
        print(
            f"{len(took)} calls, {len(unanswered)} unanswered at the route's timeout, "
            f"{len(late)} of these still 0.5 s later"
        )
        is_broken = len(unanswered) >= UNANSWERED_MIN and 2 * len(late) > len(unanswered)
        return BROKEN if is_broken else HELD


run_case(case)
