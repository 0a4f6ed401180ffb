"""Engines spoil a few of their answers: bytes without an event come until the caller closes."""

import http.client
import itertools
import os
import random
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import BROKEN, CANNOT_RUN, HELD, KEY, Deployment, run_case  # noqa: E402

from gooseberryquay.links.streaming_gateway import CallerDisconnected  # noqa: E402
from gooseberryquay.standins.node_platform.site import HOST  # noqa: E402

# Without the disruption if the variable is 0.
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"

ENGINES = 9
# The doses of `garble` in the site file: share of the engines, `x` of their answers, `for_s`.
SPOILING_SHARE = 0.6
SPOILED_SHARE = 0.05
SPOILING_S = 5.5
SPOILING_AT_S = 6.0
PIECE = b"x" * 1400
PIECE_INTERVAL_S = 0.008
ENDLESS_MAX_S = 60.0
GENERATIONS_PER_S = float(os.environ.get("GENS", "30"))
CALLS_PER_S = 15.0
TRAFFIC_S = 26.0
EVENTS = 8
EVENT_S = 0.05
# Of the route of calls.
TIMEOUT_S = 2.0
LATE_S = 0.5
DEADLINE_S = 4.0
GENERATION_DEADLINE_S = 39.0
# Clients abandon a stream after a gap of four times the objective of 1.8 s.
GAP_MAX_S = 7.2
# Fewer late requests are not judged.
UNANSWERED_MIN = 8

_numbers = itertools.count(1)


class Spoiling:
    """The disruption: whether an answer that begins now is spoiled."""

    def __init__(self, record):
        self._record = record
        self._rng = random.Random(1)
        self.from_s = self.until_s = float("inf")
        self.count = 0

    def wrap(self, engine):
        """Let an engine spoil some of its streams."""
        stream = engine._stream

        def spoiled_stream(received, run, last, crash_at):
            now_s = time.monotonic()
            is_now = self.from_s <= now_s < self.until_s
            if not is_now or self._rng.random() >= SPOILED_SHARE:
                return stream(received, run, last, crash_at)
            self.count += 1
            self._record.write(f"{engine.id} spoils its answer to {received.id}")
            headers = [
                ("Content-Type", "text/event-stream"),
                ("X-Attempt-Id", received.id),
                ("X-Response-Seal", f"{received.id}.s"),
            ]
            received.gateway.start("200 OK", headers)
            began_at_s = time.monotonic()
            sent = 0
            try:
                while time.monotonic() - began_at_s < ENDLESS_MAX_S:
                    received.gateway.write(PIECE)
                    sent += len(PIECE)
                    time.sleep(PIECE_INTERVAL_S)
            except CallerDisconnected:
                pass
            took_s = time.monotonic() - began_at_s
            self._record.write(f"{received.id} was closed after {sent} bytes, {took_s:.1f} s")
            received.gateway.abort()

        engine._stream = spoiled_stream


class Request:
    """One request and when it was answered."""

    def __init__(self, port, is_call):
        self.port = port
        self.is_call = is_call
        self.id = f"a{next(_numbers):015x}"
        self.sent_at_s = time.monotonic()
        self.took_s = None
        self.status = None

    def run(self):
        """Send the request and read the answer."""
        deadline_s = DEADLINE_S if self.is_call else GENERATION_DEADLINE_S
        headers = {
            "Host": HOST,
            "X-Attempt-Id": self.id,
            "X-Deadline-Ms": str(int(deadline_s * 1000.0)),
            "Authorization": f"Bearer {KEY}",
        }
        if not self.is_call:
            headers["X-Model"] = "m"
            headers["X-Token-Usage"] = f"100,{4 * EVENTS}"
            headers["X-Prompt-Prefix"] = f"aa01:20,{self.id}:80"
        timeout_s = DEADLINE_S if self.is_call else GAP_MAX_S
        connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=timeout_s)
        path = "/post/1" if self.is_call else "/note/1"
        try:
            connection.request("POST", path, self.id.encode(), headers)
            response = connection.getresponse()
            response.read()
            self.status = response.status
            self.took_s = time.monotonic() - self.sent_at_s
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()


def case():
    """Play the case once."""
    with Deployment(Path(__file__).parent, 1) as deployment:
        site, record = deployment.site, deployment.record
        deployment.start(engines=ENGINES, services=3)
        spoiling = Spoiling(record)
        for number, each in enumerate(site.engines.values()):
            each.event_s = EVENT_S
            if number < round(SPOILING_SHARE * ENGINES):
                spoiling.wrap(each)
        port = deployment.entries[0].ports.callers
        time.sleep(3.0)
        began_at_s = time.monotonic()
        if IS_TROUBLED:
            spoiling.from_s = began_at_s + SPOILING_AT_S
            spoiling.until_s = spoiling.from_s + SPOILING_S
        requests, threads = [], []
        due = {False: began_at_s, True: began_at_s}
        while time.monotonic() - began_at_s < TRAFFIC_S:
            for is_call, per_s in ((False, GENERATIONS_PER_S), (True, CALLS_PER_S)):
                if time.monotonic() >= due[is_call]:
                    due[is_call] += 1.0 / per_s
                    requests.append(Request(port, is_call))
                    threads.append(threading.Thread(target=requests[-1].run, daemon=True))
                    threads[-1].start()
            time.sleep(0.005)
        for each in threads:
            each.join(GAP_MAX_S + 1.0)
        calls = [each for each in requests if each.is_call]
        for each in requests:
            kind = "call" if each.is_call else "generation"
            took = f"{each.took_s:.3f} s" if each.took_s is not None else "no answer"
            at_s = each.sent_at_s - record.began_at_s
            record.write(f"{kind} {each.id} sent at {at_s:.3f} s: {each.status}, {took}")
        unanswered = [each for each in calls if each.took_s is None or each.took_s > TIMEOUT_S]
        late = [each for each in unanswered if (each.took_s or 1e9) > TIMEOUT_S + LATE_S]
        text = (
            f"{len(calls)} calls, {len(unanswered)} unanswered at the route's timeout, "
            f"{len(late)} of these still 0.5 s later; {spoiling.count} answers spoiled; "
            f"median {sorted(each.took_s or 9.0 for each in calls)[len(calls) // 2]:.3f} s"
        )
        record.write(text)
        print(text)
        good = sum(each.status == 200 for each in requests)
        if good < len(requests) / 4 and not IS_TROUBLED:
            return CANNOT_RUN
        is_broken = len(unanswered) >= UNANSWERED_MIN and 2 * len(late) > len(unanswered)
        return BROKEN if is_broken else HELD


run_case(case)
