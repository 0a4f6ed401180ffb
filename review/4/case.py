"""Entries are killed while a second software version of the engines has just appeared."""

import http.client
import itertools
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

ENTRIES = 8
KILLED = 4
STREAMS_PER_S = 35.0
EVENT_S = 0.08
EVENTS = 15
DEADLINE_S = 6.0
# The rule allows two.
JOINED_MAX = 2
KILL_AFTER_S = 2.0
TRAFFIC_S = 6.0

_numbers = itertools.count(1)


class Client:
    """One client: it reads a stream and takes it up again once after a broken connection."""

    def __init__(self, deployment, port, other_port):
        self.deployment = deployment
        self.ports = [port, other_port]
        self.body = f"prompt {next(_numbers)}".encode()
        self.began_at_s = time.monotonic()
        self.first_id = None
        self.events = []
        self.tries = []
        self.is_complete = False

    def run(self):
        """Send, and send once more if the stream broke off."""
        for port in self.ports:
            self._read(port)
            if self.is_complete or time.monotonic() > self.began_at_s + DEADLINE_S - 1.0:
                return

    def _read(self, port):
        attempt = f"a{next(_numbers):015x}"
        left_s = self.began_at_s + DEADLINE_S - time.monotonic()
        headers = {
            "Host": HOST,
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": str(int(left_s * 1000.0)),
            "X-Model": "m",
            "X-Token-Usage": f"100,{4 * EVENTS}",
            "X-Prompt-Prefix": f"aa01:20,{attempt}:80",
            "Authorization": f"Bearer {KEY}",
        }
        if self.events:
            headers["Last-Event-Id"] = str(self.events[-1][0])
            headers["Resumes"] = self.first_id
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=max(0.1, left_s))
        status = None
        before = len(self.events)
        try:
            connection.request("POST", "/check/1", self.body, headers)
            response = connection.getresponse()
            status = response.status
            if status == http.client.OK:
                self._read_events(response, attempt)
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        self.tries.append((attempt, port, status, len(self.events) - before))

    def _read_events(self, response, attempt):
        pending = b""
        while part := response.read1(65536):
            *complete, pending = (pending + part).split(b"\n\n")
            for each in complete:
                number, data = each.decode().split("\n")
                self.first_id = self.first_id or attempt
                self.events.append((int(number.removeprefix("id: ")), data.split(" ")[2]))
        self.is_complete = [each for each, _ in self.events] == list(range(1, EVENTS + 1))

    @property
    def versions(self):
        """Return the software versions that wrote the events, in order of appearance."""
        return list(dict.fromkeys(version for _, version in self.events))


def case():
    """Play the case once."""
    with Deployment(Path(__file__).parent, ENTRIES) as deployment:
        site, record = deployment.site, deployment.record
        deployment.start(engines=3, services=1)
        for each in site.engines.values():
            each.event_s = EVENT_S
        time.sleep(4.0)
        entries = deployment.entries
        killed, others = entries[:KILLED], entries[KILLED:]
        for _ in range(6):
            site.engines[site.add_engine("v2")].event_s = EVENT_S
        record.write("six engines of version v2 serve beside three of v1")
        clients, threads = [], []
        kill_at_s = time.monotonic() + KILL_AFTER_S
        until_s = time.monotonic() + TRAFFIC_S
        is_killed = False
        for number in itertools.count():
            now_s = time.monotonic()
            if now_s >= until_s:
                break
            if IS_TROUBLED and not is_killed and now_s >= kill_at_s:
                is_killed = True
                for each in killed:
                    each.process.kill()
                record.write("killed " + ", ".join(each.name for each in killed))
            serving = others if is_killed else killed
            port = serving[number % len(serving)].ports.callers
            other_port = others[number % len(others)].ports.callers
            client = Client(deployment, port, other_port)
            clients.append(client)
            threads.append(threading.Thread(target=client.run, daemon=True))
            threads[-1].start()
            time.sleep(1.0 / (STREAMS_PER_S * KILLED))
        for each in threads:
            each.join(DEADLINE_S + 2.0)
        for each in clients:
            tries = "; ".join(
                f"{id} at {port}: {status}, {n} events" for id, port, status, n in each.tries
            )
            record.write(f"{tries}; versions {each.versions}; complete {each.is_complete}")
        joined = [each for each in clients if len(each.versions) > 1]
        complete = sum(each.is_complete for each in clients)
        resumed = [each for each in clients if len(each.tries) > 1 and each.tries[0][3]]
        text = (
            f"{len(clients)} streams, {complete} complete, {len(resumed)} taken up again, "
            f"{len(joined)} hold events of two versions (at most {JOINED_MAX} may)"
        )
        record.write(text)
        print(text)
        if complete < len(clients) / 4:
            return CANNOT_RUN
        return BROKEN if len(joined) > JOINED_MAX else HELD


run_case(case)
