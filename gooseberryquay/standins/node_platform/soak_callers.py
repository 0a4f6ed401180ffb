"""Callers of a soak, which check every response."""

import http.client
import random
import threading
import time
import uuid
from dataclasses import dataclass, field
from enum import Enum

from gooseberryquay.standins.node_platform.run_record import RunRecord
from gooseberryquay.standins.node_platform.site import HOST, KEY

__all__ = ["CallKind", "CallResult", "Callers", "call_once", "find_violations"]

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
RESPONSE_TIMEOUT_S = 12.0
PAUSE_S = 0.05
LAST_EVENTS = (2, 20, 80)
TOKENS_PER_EVENT = 4


class CallKind(Enum):
    """Kinds of requests to a site; the value is the first part of the path."""

    NOTE = "note"
    CHECK = "check"
    POST = "post"
    READ = "read"


@dataclass(frozen=True)
class CallResult:
    """Outcome of one request; `status` is None if the connection failed or timed out."""

    id: str
    kind: CallKind
    port: int
    began_at_s: float
    ended_at_s: float
    status: int | None
    fault: str | None = None


def call_once(
    port: int, kind: CallKind, rng: random.Random, pooled: http.client.HTTPConnection | None = None
) -> CallResult:
    """Send one request and check its response.

    Uses `pooled` if given, and closes it after a failure.
    """
    id = uuid.UUID(int=rng.getrandbits(128)).hex
    last = rng.choice(LAST_EVENTS) if kind is CallKind.NOTE else LAST_EVENTS[0]
    headers = {"Host": HOST, "X-Attempt-Id": id, "X-Deadline-Ms": "10000", "X-Hold": "forged"}
    headers["Authorization"] = f"Bearer {KEY}"
    if kind in {CallKind.NOTE, CallKind.CHECK}:
        headers["X-Model"] = "m"
        headers["X-Token-Usage"] = f"100,{last * TOKENS_PER_EVENT}"
    connection = pooled or http.client.HTTPConnection("127.0.0.1", port, timeout=RESPONSE_TIMEOUT_S)
    began_at_s = time.monotonic()
    status, fault = None, None
    try:
        connection.request("POST", f"/{kind.value}/{id}", b"{}", headers)
        response = connection.getresponse()
        body = response.read()
        status = response.status
        if status == http.client.OK:
            fault = _find_response_fault(kind, id, last, body)
    except TimeoutError:
        fault = "no response before the timeout"
    except (OSError, http.client.HTTPException):
        pass
    if pooled is None or status is None:
        connection.close()
    return CallResult(id, kind, port, began_at_s, time.monotonic(), status, fault)


def _find_response_fault(kind: CallKind, id: str, last: int, body: bytes) -> str | None:
    if kind in {CallKind.NOTE, CallKind.CHECK}:
        expected = "".join(f"id: {number}\ndata: {id} v1\n\n" for number in range(1, last + 1))
    else:
        expected = f"done {id}"
    return (
        None
        if body == expected.encode()
        else f"response of {len(body)} bytes does not belong to the request"
    )


@dataclass
class Callers:
    """Call entries from many threads, each with a persistent connection."""

    ports: list[int]
    seed: int
    threads: int = 8
    results: list[CallResult] = field(default_factory=list)
    _stopped: threading.Event = field(default_factory=threading.Event)
    _threads: list[threading.Thread] = field(default_factory=list)

    def start(self) -> None:
        """Start the threads."""
        for number in range(self.threads):
            thread = threading.Thread(target=self._run, args=(number,), daemon=True)
            self._threads.append(thread)
            thread.start()

    def stop(self) -> None:
        """Wait until the open requests have ended."""
        self._stopped.set()
        for thread in self._threads:
            thread.join(2 * RESPONSE_TIMEOUT_S)

    def _run(self, number: int) -> None:
        rng = random.Random(f"{self.seed}/{number}")
        port = rng.choice(self.ports)
        pooled = http.client.HTTPConnection("127.0.0.1", port, timeout=RESPONSE_TIMEOUT_S)
        while not self._stopped.is_set():
            result = call_once(port, rng.choice(list(CallKind)), rng, pooled)
            self.results.append(result)
            if result.status is None:
                pooled.close()
                port = rng.choice(self.ports)
                pooled = http.client.HTTPConnection("127.0.0.1", port, timeout=RESPONSE_TIMEOUT_S)
            time.sleep(PAUSE_S * rng.random())


def find_violations(results: list[CallResult], record: RunRecord) -> list[str]:
    """Return a description of each guarantee that a response or a run violates."""
    found = [f"{each.kind.value} {each.id}: {each.fault}" for each in results if each.fault]
    found += [f"unexpected request: {each}" for each in record.unexpected_requests]
    for result in results:
        runs = record.runs_of(result.id)
        if result.kind in {CallKind.NOTE, CallKind.POST} and len(runs) > 1:
            found.append(f"{result.kind.value} {result.id} ran at {runs}")
        if result.status in NOT_RUN_STATUSES and runs and result.kind is not CallKind.READ:
            found.append(f"{result.kind.value} {result.id} got {result.status}, but ran at {runs}")
    return found
