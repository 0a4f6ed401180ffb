"""Test callers and fleets for the tests of whole entries."""

import json
import subprocess
import sys
import threading
import time
from dataclasses import dataclass, field

from result import Err, Ok

from gooseberryquay.contracts.fields import Address
from gooseberryquay.links.http_client import HttpClient
from gooseberryquay.standins.fleet_plan import FleetPlan
from gooseberryquay.standins.platform_control import PlatformControl
from gooseberryquay.standins.platform_faults import PlatformFaults

WORKSPACE = "clerks"
MODEL = "yield-model"
POST_PATH = "/services/ledger-app/post-weights"
FIND_PATH = "/services/ledger-app/find-lot"
COMPLETION_PATH = "/v1/completions"
READ_TIMEOUT_S = 30.0


def small_plan(**changes):
    return FleetPlan(**{"engines": 2, "services": 1, "entries": 2, **changes})


@dataclass
class StreamResult:
    """Collect what a caller received from one stream."""

    status: int = 0
    event_ids: list[str] = field(default_factory=list)
    is_done: bool = False
    error: dict | None = None
    is_broken: bool = False

    @property
    def last_event_id(self):
        return self.event_ids[-1]

    @property
    def generation(self):
        names = {each.rpartition("/")[0] for each in self.event_ids}
        assert len(names) == 1, names
        return names.pop()

    def indexes(self):
        return [int(each.rpartition("/")[2]) for each in self.event_ids]

    def add_event(self, event):
        lines = event.decode().split("\n")
        fields = dict(line.split(": ", 1) for line in lines if ": " in line)
        if fields.get("data") == "[DONE]":
            self.is_done = True
        elif fields.get("event") == "error":
            self.error = json.loads(fields["data"])["error"]
        elif "id" in fields:
            self.event_ids.append(fields["id"])


def stream(address, tokens, last_event_id=None, stop_after=None, workspace=WORKSPACE, **body):
    """Stream one completion to its end, or close it after `stop_after` events."""
    result = StreamResult()
    read_stream(result, address, tokens, last_event_id, stop_after, workspace, **body)
    return result


def read_stream(
    result, address, tokens, last_event_id=None, stop_after=None, workspace=WORKSPACE, **body
):
    client = HttpClient(*address, read_timeout_s=READ_TIMEOUT_S)
    headers = {"X-Workspace": workspace}
    if last_event_id is not None:
        headers["Last-Event-ID"] = last_event_id
    defaults = {"model": MODEL, "prompt": "p", "stream": True, "standin_output_tokens": tokens}
    opened = client.open(
        "POST", COMPLETION_PATH, json.dumps({**defaults, **body}).encode(), headers
    )
    match opened:
        case Err(_):
            result.is_broken = True
            return
        case Ok(reply):
            result.status = reply.status
    pending = b""
    for part in reply.buffers():
        if part.is_err():
            result.is_broken = True
            break
        pending += part.unwrap()
        if result.status != 200:
            continue
        *events, pending = pending.split(b"\n\n")
        for event in events:
            result.add_event(event)
        if stop_after is not None and len(result.event_ids) >= stop_after:
            break
    if result.status != 200:
        result.error = json.loads(pending)["error"]
    reply.close()


class BackgroundStream:
    """Read one stream in a background thread."""

    def __init__(self, address, tokens, **body):
        self.result = StreamResult()
        self._thread = threading.Thread(
            target=read_stream, args=(self.result, address, tokens), kwargs=body, daemon=True
        )
        self._thread.start()

    def wait_for_tokens(self, count, timeout_s=20.0):
        wait_until(lambda: len(self.result.event_ids) >= count, timeout_s)
        return self

    def join(self, timeout_s=60.0):
        self._thread.join(timeout_s)
        assert not self._thread.is_alive()
        return self.result


@dataclass
class CallerResponse:
    """Represent one complete response."""

    status: int
    headers: dict
    body: dict

    @property
    def error(self):
        return self.body.get("error", {})


def call(address: Address, path, body, key=None, method="POST", **headers):
    """Send one request and return its response, or None if the connection broke."""
    client = HttpClient(*address, read_timeout_s=READ_TIMEOUT_S)
    all_headers = {"X-Workspace": WORKSPACE, **headers}
    if key is not None:
        all_headers["Idempotency-Key"] = key
    sent = client.send(method, path, json.dumps(body).encode(), all_headers)
    client.close()
    match sent:
        case Ok(reply):
            return CallerResponse(reply.status, dict(reply.headers), json.loads(reply.body))
        case Err(_):
            return None


def wait_until(condition, timeout_s=20.0):
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline_s, "condition was not met in time"
        time.sleep(0.02)


def run_operator_command(fleet, *arguments):
    """Run an operator command against the platform of a fleet."""
    platform = f"--platform={fleet.addresses.own['platform']}"
    command = [sys.executable, "-m", "gooseberryquay", *arguments, platform]
    return subprocess.run(command, check=False, capture_output=True, timeout=60)


def set_outage(fleet, outage):
    """Set the outage mode of a fleet's platform; `Outage.NONE` restores it."""
    control = PlatformControl(fleet.addresses.own["platform"])
    control.set_faults(PlatformFaults(outage=outage))
