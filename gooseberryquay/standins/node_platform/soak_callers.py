"""Callers of a soak, which check every response."""

import http.client
import random
import re
import threading
import time
import uuid
from dataclasses import dataclass, field
from enum import Enum

from gooseberryquay.standins.node_platform.call_result import CallEnd, CallKind, CallResult
from gooseberryquay.standins.node_platform.caller_connection import CallerConnection, Exchange
from gooseberryquay.standins.node_platform.site import HOST, KEY
from gooseberryquay.standins.node_platform.soak_judges import find_violations
from gooseberryquay.standins.node_platform.upstream_server import failure_body

__all__ = ["CallKind", "CallResult", "CallerStyle", "Callers", "call_once", "find_violations"]

RESPONSE_TIMEOUT_S = 12.0
LAST_EVENTS = (2, 20, 80)
TOKENS_PER_EVENT = 4


def call_once(
    port: int, kind: CallKind, rng: random.Random, pooled: CallerConnection | None = None
) -> CallResult:
    """Send one request and check its response.

    Uses `pooled` if given, and closes it after a failure.
    """
    id = uuid.UUID(int=rng.getrandbits(128)).hex
    last = rng.choice(LAST_EVENTS) if kind is CallKind.NOTE else LAST_EVENTS[0]
    headers = {"Host": HOST, "X-Attempt-Id": id, "X-Deadline-Ms": "10000", "X-Hold": "forged"}
    headers["Authorization"] = f"Bearer {KEY}"
    if kind.is_streaming:
        headers["X-Model"] = "m"
        headers["X-Token-Usage"] = f"100,{last * TOKENS_PER_EVENT}"
    connection = pooled or CallerConnection(port, RESPONSE_TIMEOUT_S)
    began_at_s = time.monotonic()
    exchange = connection.exchange(f"/{kind.value}/{id}", headers, b"{}")
    ended_at_s = time.monotonic()
    if pooled is None:
        connection.close()
    return CallResult(
        id,
        kind,
        port,
        began_at_s,
        ended_at_s,
        exchange.status if exchange.end is CallEnd.COMPLETE else None,
        _find_response_fault(kind, id, last, exchange),
        exchange.end,
        exchange.sent_at_s,
        has_begun=exchange.status == http.client.OK,
        seal=exchange.headers.get("x-response-seal"),
        is_kept=exchange.is_kept,
        events=_find_events(id, exchange) if kind.is_streaming else None,
    )


def _find_events(id: str, exchange: Exchange) -> tuple[int, ...] | None:
    """Return the numbers of a stream's events, or None if it holds anything else."""
    if exchange.status != http.client.OK or exchange.end is not CallEnd.COMPLETE:
        return None
    event = rb"id: (\d+)\ndata: %b %b\n\n" % (id.encode(), _version_of(exchange).encode())
    if re.fullmatch(rb"(?:%b)*" % event, exchange.body) is None:
        return None
    return tuple(int(each) for each in re.findall(event, exchange.body))


def _version_of(exchange: Exchange) -> str:
    """Return the version that wrote the first event; all others must be of it, too."""
    found = re.search(rb" (v\d+)\n", exchange.body)
    return found[1].decode() if found is not None else "v1"


def _find_response_fault(kind: CallKind, id: str, last: int, exchange: Exchange) -> str | None:
    if exchange.end is CallEnd.MALFORMED:
        return "the connection carried bytes that are no response to the request"
    if exchange.end is not CallEnd.COMPLETE:
        return None
    seal = exchange.headers.get("x-response-seal")
    if exchange.status != http.client.OK and seal is None:
        return None
    if exchange.status != http.client.OK:
        expected = failure_body(id)
    elif kind.is_streaming:
        data = f"{id} {_version_of(exchange)}"
        expected = "".join(f"id: {number}\ndata: {data}\n\n" for number in range(1, last + 1))
    else:
        expected = f"done {id}"
    if exchange.body != expected.encode():
        return f"response of {len(exchange.body)} bytes does not belong to the request"
    if exchange.status == http.client.OK and seal != f"{id}.s":
        return f"successful response with the seal {seal!r}"
    return None


class CallerStyle(Enum):
    """How a caller uses connections; the value is the longest pause between two requests."""

    # Keeps each connection until it fails.
    KEPT = 0.05
    IDLE = 1.5
    # Opens a connection for each request.
    FRESH = 0.1

    @property
    def pause_s(self) -> float:
        """Return the longest pause between two requests in seconds."""
        return self.value


@dataclass
class Callers:
    """Call entries from many threads, in each style in turn."""

    ports: list[int]
    seed: int | str
    threads: int = 8
    styles: tuple[CallerStyle, ...] = (CallerStyle.KEPT,)
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
        style = self.styles[number % len(self.styles)]
        port = rng.choice(self.ports)
        pooled = CallerConnection(port, RESPONSE_TIMEOUT_S)
        while not self._stopped.is_set():
            result = call_once(port, rng.choice(list(CallKind)), rng, pooled)
            self.results.append(result)
            if result.status is None or style is CallerStyle.FRESH:
                pooled.close()
                port = rng.choice(self.ports)
                pooled = CallerConnection(port, RESPONSE_TIMEOUT_S)
            time.sleep(style.pause_s * rng.random())
