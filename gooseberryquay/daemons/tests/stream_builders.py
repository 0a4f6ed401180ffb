"""Callers that take broken streams up again, and the software versions that wrote their events."""

import contextlib
import http.client
import itertools
import threading
import time
from dataclasses import dataclass, field

from gooseberryquay.standins.node_platform.site import HOST, KEY

_NUMBERS = itertools.count()
TIMEOUT_S = 8.0
TOKENS_PER_EVENT = 4


def _new_body():
    return f"prompt {next(_NUMBERS)}".encode()


@dataclass
class StreamCaller:
    """Read one stream, over several tries if it is taken up again."""

    path: str = "/check/1"
    event_count: int = 60
    # Streams of one body count as repeats of one request, which several ended engines make suspect.
    body: bytes = field(default_factory=_new_body)
    id: str = ""
    first_id: str | None = None
    numbers: list = field(default_factory=list)
    versions: list = field(default_factory=list)
    statuses: list = field(default_factory=list)
    is_complete: bool = False
    # Whether the last response ended as a regular one does, whatever it held.
    has_ended: bool = False
    deadline_ms: int = 6000
    timeout_s: float = TIMEOUT_S

    def read(self, port, until_event=None):
        """Read from one entry up to an event or to the end; then close the connection."""
        self.id = f"s-{next(_NUMBERS)}"
        self.has_ended = False
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=self.timeout_s)
        with contextlib.suppress(OSError, http.client.HTTPException):
            connection.request("POST", self.path, self.body, self._headers())
            response = connection.getresponse()
            self.statuses.append(response.status)
            if response.status == http.client.OK:
                self._read_events(response, until_event)
        connection.close()
        return self

    def _headers(self):
        headers = {
            "Host": HOST,
            "X-Attempt-Id": self.id,
            "X-Deadline-Ms": str(self.deadline_ms),
            "X-Model": "m",
            "X-Token-Usage": f"100,{TOKENS_PER_EVENT * self.event_count}",
            "X-Prompt-Prefix": "aa01:20,f00:10",
            "Authorization": f"Bearer {KEY}",
        }
        if self.numbers:
            headers["Last-Event-Id"] = str(self.numbers[-1])
            headers["Resumes"] = self.first_id
        return headers

    def _read_events(self, response, until_event):
        pending = b""
        while part := response.read1(65536):
            *events, pending = (pending + part).split(b"\n\n")
            for each in events:
                number, data = each.decode().split("\n")
                self.first_id = self.first_id or self.id
                self.numbers.append(int(number.removeprefix("id: ")))
                self.versions.append(data.split(" ")[2])
            if until_event is not None and self.numbers and self.numbers[-1] >= until_event:
                return
        self.has_ended = not pending
        self.is_complete = not pending and self.numbers == list(range(1, self.event_count + 1))

    @property
    def is_joined(self):
        """Return whether events of several software versions were read."""
        return len(set(self.versions)) > 1


def read_all(callers, ports, until_event=None):
    """Let all callers read at the same time, from entries in turn."""
    threads = [
        threading.Thread(target=each.read, args=(ports[number % len(ports)], until_event))
        for number, each in enumerate(callers)
    ]
    for each in threads:
        each.start()
    for each in threads:
        each.join()


def start_streams(callers, ports, other_ports, interval_s):
    """Let callers begin one after the other; each that is cut off is taken up at another entry.

    Returns the threads that read.
    """
    threads = []
    for number, each in enumerate(callers):
        tries = (ports[number % len(ports)], other_ports[number % len(other_ports)])
        threads.append(threading.Thread(target=_read_in_turn, args=(each, tries)))
        threads[-1].start()
        time.sleep(interval_s)
    return threads


def _read_in_turn(caller, ports):
    for port in ports:
        if not caller.is_complete:
            caller.read(port)
