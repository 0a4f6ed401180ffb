"""End-to-end demonstration in one process: stand-ins, two entries, one request of each kind."""

import json
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from typing import Any
from uuid import uuid4

import urllib3

from gooseberryquay.contracts.settings import Settings
from gooseberryquay.contracts.settings_file import parse_settings
from gooseberryquay.daemons.entry import Entry
from gooseberryquay.daemons.serving import Server
from gooseberryquay.standins.engine import EngineStandIn
from gooseberryquay.standins.engine_settings import EngineSettings
from gooseberryquay.standins.fleet_plan import FleetAddresses, FleetPlan, base_ini, overlay_ini
from gooseberryquay.standins.platform import PlatformStandIn
from gooseberryquay.standins.service import ServiceSettings, ServiceStandIn

__all__ = ["run_demo"]

READY_TIMEOUT_S = 20.0
READY_POLL_S = 0.05
TOKENS_BEFORE_SWITCH = 5
SUMMARY_TOKENS = 20
CHECK_TOKENS = 3
HTTP_OK = 200


class DemoError(RuntimeError):
    """Report a step of the demonstration that failed."""


def run_demo() -> None:
    """Run one request of each kind end to end; raise `DemoError` if a step fails."""
    plan = FleetPlan(engines=2, services=1)
    addresses = FleetAddresses(plan)
    with _servers(plan, addresses):
        client = _DemoClient(plan, [str(each) for each in addresses.entries.values()])
        client.wait_until_ready()
        client.stream_summary()
        client.check_lot()
        client.post_weights()
        client.look_up_lot()
    print("done")


@contextmanager
def _servers(plan: FleetPlan, addresses: FleetAddresses) -> Iterator[None]:
    settings = parse_settings(
        ("base.ini", base_ini(plan, addresses)), ("overlay.ini", overlay_ini(plan, addresses))
    ).unwrap()
    with ExitStack() as stack:
        for server in _build_servers(plan, addresses, settings):
            server.start()
            stack.callback(server.stop)
        yield


def _build_servers(
    plan: FleetPlan, addresses: FleetAddresses, settings: Settings
) -> Iterator[Server]:
    assert settings.platform is not None
    yield PlatformStandIn(*addresses.own["platform"])
    for seed, name in enumerate(plan.engine_names()):
        yield EngineStandIn(EngineSettings(seed=seed), *addresses.own[name])
    for name in plan.service_names():
        yield ServiceStandIn(ServiceSettings(), *addresses.own[name])
    for own in settings.entries.values():
        yield Entry(settings, own, settings.platform)


class _DemoClient:
    """Send the requests and print the responses."""

    def __init__(self, plan: FleetPlan, entries: list[str]) -> None:
        self._plan = plan
        self._entries = entries
        self._http = urllib3.PoolManager()
        self._headers = {"X-Workspace": str(plan.workspaces[0])}

    def wait_until_ready(self) -> None:
        """Wait until both entries are ready."""
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        for entry in self._entries:
            while self._http.request("GET", f"http://{entry}/readyz").status != HTTP_OK:
                if time.monotonic() > deadline_s:
                    raise DemoError(f"entry {entry} did not become ready")
                time.sleep(READY_POLL_S)

    def stream_summary(self) -> None:
        """Stream a summary through one entry and resume it through the other."""
        print("shift summary, streamed through the first entry: ", end="")
        first = self._open_stream(self._entries[0], None)
        seen: list[str] = []
        for event_id, text in _events(first):
            print(text, end="", flush=True)
            seen.append(event_id)
            if len(seen) == TOKENS_BEFORE_SWITCH:
                break
        first.close()
        print("\n  the rest, through the second entry: ", end="")
        rest = self._open_stream(self._entries[1], seen[-1])
        for event_id, text in _events(rest):
            print(text, end="", flush=True)
            seen.append(event_id)
        print()
        if len(set(seen)) != SUMMARY_TOKENS or len(seen) != SUMMARY_TOKENS:
            raise DemoError(f"expected {SUMMARY_TOKENS} tokens once each, got {seen}")

    def check_lot(self) -> None:
        """Send a short chat request without streaming."""
        body = {
            "model": self._plan.model,
            "messages": [{"role": "user", "content": "Does lot 7 pass?"}],
            "max_tokens": CHECK_TOKENS,
            "standin_output_tokens": CHECK_TOKENS,
        }
        response = self._send("/v1/chat/completions", body, {})
        print("lot check:", response["choices"][0]["message"]["content"])

    def post_weights(self) -> None:
        """Post once and repeat the request at the other entry, which must not run it again."""
        key = {"Idempotency-Key": str(uuid4())}
        path = f"/services/{self._plan.plain_service}/post-weights"
        first = self._send(path, {"lot": 7, "kg": 120.5}, key)
        again = self._send(path, {"lot": 7, "kg": 120.5}, key, entry=1)
        print("posting:", first)
        print("posting, repeated:", again)
        if first != again:
            raise DemoError("a repeated posting must get the recorded response")

    def look_up_lot(self) -> None:
        """Send an idempotent lookup."""
        response = self._send(f"/services/{self._plan.plain_service}/find-lot", {"lot": 7}, {})
        print("lookup:", response)

    def _open_stream(self, entry: str, last_event_id: str | None) -> urllib3.BaseHTTPResponse:
        body = {
            "model": self._plan.model,
            "prompt": "Summarize the night shift.",
            "stream": True,
            "standin_output_tokens": SUMMARY_TOKENS,
        }
        headers = dict(self._headers)
        if last_event_id is not None:
            headers["Last-Event-ID"] = last_event_id
        url = f"http://{entry}/v1/completions"
        response = self._http.request(
            "POST", url, body=json.dumps(body), headers=headers, preload_content=False
        )
        if response.status != HTTP_OK:
            raise DemoError(f"{url}: {response.status} {response.read()!r}")
        return response

    def _send(self, path: str, body: object, headers: dict[str, str], entry: int = 0) -> Any:
        url = f"http://{self._entries[entry]}{path}"
        all_headers = {**self._headers, **headers}
        response = self._http.request("POST", url, body=json.dumps(body), headers=all_headers)
        if response.status != HTTP_OK:
            raise DemoError(f"{url}: {response.status} {response.data!r}")
        return response.json()


def _events(response: urllib3.BaseHTTPResponse) -> Iterator[tuple[str, str]]:
    event_id = ""
    for line in _lines(response):
        if line.startswith("id: "):
            event_id = line.removeprefix("id: ")
        elif line.startswith("data: {"):
            chunk = json.loads(line.removeprefix("data: "))
            yield event_id, chunk["choices"][0]["text"]


def _lines(response: urllib3.BaseHTTPResponse) -> Iterator[str]:
    pending = b""
    for part in response.stream():
        *whole, pending = (pending + part).split(b"\n")
        yield from (line.decode() for line in whole)
