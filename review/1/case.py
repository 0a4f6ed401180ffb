"""Another writer leaves a long, partly unreadable record in the list of upstreams."""

import http.client
import itertools
import json
import os
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import BROKEN, CANNOT_RUN, HELD, KEY, Deployment, run_case  # noqa: E402

from gooseberryquay.standins.node_platform.site import HOST  # noqa: E402

# Without the disruption if the variable is 0.
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"

ENTRIES = 3
# `limits.memory_mb` and `platform.value_bytes` of the settings.
MEMORY_MB = 150
VALUE_BYTES = 1048576
RESTART_S = 1.0
RECORD_AT_S = 5.0
TRAFFIC_S = 40.0
CALLS_PER_S = 20.0
DEADLINE_S = 4.0
# The rule: on two machines at least, three ends each.
MACHINES_MIN = 2
ENDS_MIN = 3

_numbers = itertools.count(1)


def odd_record():
    """Return the text of a record with a field of another type and a number of too many digits."""
    record = {
        "service": "ledger",
        "address": "127.0.0.1:9",
        "zone": "zone-a",
        "state": "ready",
        "slots": 0,
        "note": "",
    }
    text = json.dumps(record).replace('"slots": 0', '"slots": ' + "1" * 6000)
    note = "n" * (VALUE_BYTES - len(text) - 100)
    return text.replace('"note": ""', f'"note": "{note}"')


class Platform:
    """End processes that exceed their memory, and start ended ones again."""

    def __init__(self, deployment):
        self._deployment = deployment
        self._stopped = threading.Event()
        self.ends = {each.name: 0 for each in deployment.entries}
        self.peaks_mb = {each.name: 0.0 for each in deployment.entries}

    def start(self):
        """Watch each entry in a thread."""
        for each in self._deployment.entries:
            threading.Thread(target=self._watch, args=(each,), daemon=True).start()

    def stop(self):
        """End the watch."""
        self._stopped.set()

    def _watch(self, entry):
        while not self._stopped.wait(0.005):
            resident_mb = entry.resident_mb() * 1e6 / 1048576.0
            self.peaks_mb[entry.name] = max(self.peaks_mb[entry.name], resident_mb)
            is_over = resident_mb > MEMORY_MB
            if is_over:
                entry.kill()
            if not is_over and entry.process.poll() is None:
                continue
            self.ends[entry.name] += 1
            reason = f"at {resident_mb:.0f} MB" if is_over else "by itself"
            self._deployment.record.write(f"{entry.name} ended {reason}")
            if not self._stopped.wait(RESTART_S):
                entry.start()


def send(port, attempt):
    """Send one read and return its status, or None."""
    headers = {
        "Host": HOST,
        "X-Attempt-Id": attempt,
        "X-Deadline-Ms": str(int(DEADLINE_S * 1000.0)),
        "Authorization": f"Bearer {KEY}",
    }
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=DEADLINE_S)
    try:
        connection.request("GET", "/read/1", headers=headers)
        response = connection.getresponse()
        response.read()
        return response.status
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def case():
    """Play the case once."""
    with Deployment(Path(__file__).parent, ENTRIES) as deployment:
        site, record = deployment.site, deployment.record
        deployment.start(engines=3, services=3)
        platform = Platform(deployment)
        platform.start()
        statuses = {"before": [], "after": []}
        began_at_s = time.monotonic()
        phase = "before"

        def call(number, phase):
            port = deployment.entries[number % ENTRIES].ports.callers
            attempt = f"a{next(_numbers):015x}"
            status = send(port, attempt)
            statuses[phase].append(status)
            record.write(f"call {attempt} to port {port} ({phase}): {status}")

        threads = []
        for number in itertools.count():
            now_s = time.monotonic() - began_at_s
            if now_s >= TRAFFIC_S:
                break
            if phase == "before" and now_s >= RECORD_AT_S:
                phase = "after"
                if IS_TROUBLED:
                    text = odd_record()
                    site.store.put_text("servers", "i-odd", text)
                    record.write(f"another writer wrote servers/i-odd, {len(text)} bytes")
            threads.append(threading.Thread(target=call, args=(number, phase), daemon=True))
            threads[-1].start()
            time.sleep(1.0 / CALLS_PER_S)
        for each in threads:
            each.join(DEADLINE_S + 1.0)
        platform.stop()
        served = {each: found.count(200) / max(1, len(found)) for each, found in statuses.items()}
        peaks = {name: round(each) for name, each in platform.peaks_mb.items()}
        text = f"ends {platform.ends}, peak memory {peaks} MB, served {served}"
        record.write(text)
        print(text)
        if served["before"] < 0.9:
            return CANNOT_RUN
        machines = sum(each >= ENDS_MIN for each in platform.ends.values())
        return BROKEN if machines >= MACHINES_MIN else HELD


run_case(case)
