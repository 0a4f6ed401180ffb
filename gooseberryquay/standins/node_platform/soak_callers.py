"""Callers of a soak, which check every answer that they get."""

import http.client
import random
import threading
import time
import uuid
from dataclasses import dataclass, field
from enum import Enum

from gooseberryquay.standins.node_platform.run_record import RunRecord
from gooseberryquay.standins.node_platform.site import HOST, KEY

__all__ = ["CallKind", "CallResult", "Callers", "broken_promises", "call_once"]

PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})
ANSWER_TIMEOUT_S = 12.0
PAUSE_S = 0.05
LAST_EVENTS = (2, 20, 80)
TOKENS_PER_EVENT = 4


class CallKind(Enum):
    """Name the kinds of request of a site by their path."""

    NOTE = "note"
    CHECK = "check"
    POST = "post"
    READ = "read"


@dataclass(frozen=True)
class CallResult:
    """Hold what became of one request; the status is None where the connection failed."""

    id: str
    kind: CallKind
    port: int
    began_at_s: float
    ended_at_s: float
    status: int | None
    fault: str | None = None


def call_once(
    port: int, kind: CallKind, source: random.Random, kept: http.client.HTTPConnection | None = None
) -> CallResult:
    """Send one request and check its answer."""
    id = uuid.UUID(int=source.getrandbits(128)).hex
    last = source.choice(LAST_EVENTS) if kind is CallKind.NOTE else LAST_EVENTS[0]
    headers = {"Host": HOST, "X-Attempt-Id": id, "X-Deadline-Ms": "10000", "X-Hold": "forged"}
    headers["Authorization"] = f"Bearer {KEY}"
    if kind in {CallKind.NOTE, CallKind.CHECK}:
        headers["X-Model"] = "m"
        headers["X-Token-Usage"] = f"100,{last * TOKENS_PER_EVENT}"
    connection = kept or http.client.HTTPConnection("127.0.0.1", port, timeout=ANSWER_TIMEOUT_S)
    began_at_s = time.monotonic()
    status, fault = None, None
    try:
        connection.request("POST", f"/{kind.value}/{id}", b"{}", headers)
        answer = connection.getresponse()
        body = answer.read()
        status = answer.status
        if status == http.client.OK:
            fault = _fault_of(kind, id, last, body)
    except TimeoutError:
        fault = "no answer in time"
    except (OSError, http.client.HTTPException):
        pass
    if kept is None or status is None:
        connection.close()
    return CallResult(id, kind, port, began_at_s, time.monotonic(), status, fault)


def _fault_of(kind: CallKind, id: str, last: int, body: bytes) -> str | None:
    if kind in {CallKind.NOTE, CallKind.CHECK}:
        expected = "".join(f"id: {number}\ndata: {id}\n\n" for number in range(1, last + 1))
    else:
        expected = f"done {id}"
    return None if body == expected.encode() else f"answer of {len(body)} bytes is not its own"


@dataclass
class Callers:
    """Call entries from many threads, most of them on kept connections."""

    ports: list[int]
    seed: int
    threads: int = 8
    results: list[CallResult] = field(default_factory=list)
    _stopped: threading.Event = field(default_factory=threading.Event)
    _threads: list[threading.Thread] = field(default_factory=list)

    def start(self) -> None:
        """Begin to call."""
        for number in range(self.threads):
            thread = threading.Thread(target=self._run, args=(number,), daemon=True)
            self._threads.append(thread)
            thread.start()

    def stop(self) -> None:
        """Let open requests end."""
        self._stopped.set()
        for thread in self._threads:
            thread.join(2 * ANSWER_TIMEOUT_S)

    def _run(self, number: int) -> None:
        source = random.Random(f"{self.seed}/{number}")
        port = source.choice(self.ports)
        kept = http.client.HTTPConnection("127.0.0.1", port, timeout=ANSWER_TIMEOUT_S)
        while not self._stopped.is_set():
            result = call_once(port, source.choice(list(CallKind)), source, kept)
            self.results.append(result)
            if result.status is None:
                kept.close()
                port = source.choice(self.ports)
                kept = http.client.HTTPConnection("127.0.0.1", port, timeout=ANSWER_TIMEOUT_S)
            time.sleep(PAUSE_S * source.random())


def broken_promises(results: list[CallResult], record: RunRecord) -> list[str]:
    """Name each promise that an answer or a run breaks."""
    found = [f"{each.kind.value} {each.id}: {each.fault}" for each in results if each.fault]
    found += [f"unasked: {each}" for each in record.unasked]
    for result in results:
        runs = record.runs_of(result.id)
        if result.kind in {CallKind.NOTE, CallKind.POST} and len(runs) > 1:
            found.append(f"{result.kind.value} {result.id} ran at {runs}")
        if result.status in PROMISES_NOT_RUN and runs and result.kind is not CallKind.READ:
            found.append(f"{result.kind.value} {result.id} answered {result.status}, ran at {runs}")
    return found
