"""Another writer leaves a record with an absurd number in the list of upstreams."""

import http.client
import itertools
import json
import os
import sys
import tempfile
import threading
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import BROKEN, CANNOT_RUN, HELD, KEY, Deployment, run_case  # noqa: E402

from gooseberryquay.standins.node_platform.site import HOST  # noqa: E402

# Without the disruption if the variable is 0.
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"

ENTRIES = 3
RECORD_AT_S = 5.0
# The watches have read the record by then.
JUDGED_FROM_S = 8.0
TRAFFIC_S = 30.0
REQUESTS_PER_S = 30.0
EVENTS = 3
DEADLINE_S = 4.0
# The rule: a kind of request is served less than a quarter as often as all requests.
SHARE_MIN = 0.25
KINDS = {
    "non_idempotent": ("POST", "/post/1"),
    "idempotent": ("GET", "/read/1"),
    "streaming": ("POST", "/check/1"),
    "long streaming": ("POST", "/note/1"),
}

_numbers = itertools.count(1)


def odd_record():
    """Return a record whose number of slots is no number of slots."""
    return {
        "service": "ledger",
        "address": "127.0.0.1:9",
        "zone": "zone-a",
        "state": "ready",
        "slots": 10**400,
    }


def send(port, kind):
    """Send one request and return its status, or None, and the start of a body of the entry."""
    method, path = KINDS[kind]
    attempt = f"a{next(_numbers):015x}"
    headers = {
        "Host": HOST,
        "X-Attempt-Id": attempt,
        "X-Deadline-Ms": str(int(DEADLINE_S * 1000.0)),
        "Authorization": f"Bearer {KEY}",
    }
    if "streaming" in kind:
        headers["X-Model"] = "m"
        headers["X-Token-Usage"] = f"100,{4 * EVENTS}"
        headers["X-Prompt-Prefix"] = f"aa01:20,{attempt}:80"
    body = attempt.encode() if method == "POST" else None
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=DEADLINE_S)
    try:
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        content = response.read()
        return response.status, content[:80] if response.status != 200 else b""
    except (OSError, http.client.HTTPException):
        return None, b""
    finally:
        connection.close()


def case():
    """Play the case once."""
    with Deployment(Path(tempfile.mkdtemp()), ENTRIES) as deployment:
        site, record = deployment.site, deployment.record
        deployment.start(engines=3, services=3)
        time.sleep(3.0)
        answers = []
        began_at_s = time.monotonic()
        is_written = False

        def request(number):
            kind = list(KINDS)[number % len(KINDS)]
            port = deployment.entries[number // len(KINDS) % ENTRIES].ports.callers
            sent_at_s = time.monotonic() - began_at_s
            status, content = send(port, kind)
            answers.append((sent_at_s, kind, status))
            record.write(f"{kind} sent at {sent_at_s:.3f} s of the traffic: {status} {content!r}")

        threads = []
        for number in itertools.count():
            now_s = time.monotonic() - began_at_s
            if now_s >= TRAFFIC_S:
                break
            if not is_written and now_s >= RECORD_AT_S and IS_TROUBLED:
                is_written = True
                site.store.put("servers", "i-odd", odd_record())
                record.write("another writer wrote servers/i-odd: " + json.dumps(odd_record()))
            threads.append(threading.Thread(target=request, args=(number,), daemon=True))
            threads[-1].start()
            time.sleep(1.0 / REQUESTS_PER_S)
        for each in threads:
            each.join(DEADLINE_S + 1.0)
        shares = {}
        for phase, is_in in (("before", lambda s: s < RECORD_AT_S), ("judged", _is_judged)):
            counts = Counter(kind for sent_s, kind, _ in answers if is_in(sent_s))
            served = Counter(kind for sent_s, kind, got in answers if is_in(sent_s) and got == 200)
            shares[phase] = {each: served[each] / max(1, counts[each]) for each in KINDS}
            total = sum(served.values()) / max(1, sum(counts.values()))
            shares[phase]["all"] = total
            text = ", ".join(f"{each} {share:.2f}" for each, share in shares[phase].items())
            record.write(f"served, {phase}: {text}")
            print(f"served, {phase}: {text}")
        if min(shares["before"].values()) < 0.9:
            return CANNOT_RUN
        judged = shares["judged"]
        return BROKEN if min(judged.values()) < SHARE_MIN * judged["all"] else HELD


def _is_judged(sent_at_s):
    return sent_at_s >= JUDGED_FROM_S


run_case(case)
