"""Caller API in this process before upstreams whose answers end early."""

import json
import re
import socket
import threading
from contextlib import contextmanager, suppress

from result import Err, Ok

from gooseberryquay.contracts import (
    Address,
    Declaration,
    Service,
    ServiceKind,
    Workspace,
)
from gooseberryquay.contracts.settings import LimitSettings
from gooseberryquay.errors import Overloaded
from gooseberryquay.links.caller_api import CallerApi
from gooseberryquay.links.completion_api import CHAT_PATH, COMPLETION_PATH, CompletionApi
from gooseberryquay.links.engine_client import EngineClient
from gooseberryquay.links.generation_relay import GenerationRelay
from gooseberryquay.links.http_server import HttpServer
from gooseberryquay.links.in_flight import InFlightCounter
from gooseberryquay.links.request_log import RequestLog
from gooseberryquay.links.service_api import ServiceApi
from gooseberryquay.links.service_caller import ServiceCaller
from gooseberryquay.links.service_client import ServiceClient
from gooseberryquay.links.tests.builders import RecordingPlacement
from gooseberryquay.machines.retry_budget import RetryBudget
from gooseberryquay.machines.tests.choice_builders import build_upstream
from gooseberryquay.zones.configuration import Configuration

MODEL = "yield-model"
PLAIN_SERVICE = "ledger-app"
LOOKUP_PATH = f"/services/{PLAIN_SERVICE}/find-lot"
WORKSPACE = "clerks"
BODY_BYTES_MAX = 65536
LIMITS = LimitSettings(stream_idle_timeout_s=1.0)
REQUEST_ID = re.compile(rb"x-request-id: ([^\r]+)", re.IGNORECASE)
UNKNOWN = b"HTTP/1.1 404 Unknown\r\nContent-Length: 0\r\n\r\n"
TIMEOUT_S = 20.0


@contextmanager
def cutting_upstream(answer_to):
    """Serve the answer to each POST, close after it, and know no generation.

    `answer_to` returns the bytes that are sent for a request id.
    """
    listener = socket.create_server(("127.0.0.1", 0), backlog=64)

    def answer(connection):
        with connection, suppress(OSError):
            data = connection.recv(65536)
            is_start = data.startswith(b"POST ")
            connection.sendall(answer_to(REQUEST_ID.search(data)[1]) if is_start else UNKNOWN)

    def serve():
        with suppress(OSError):
            while True:
                connection = listener.accept()[0]
                threading.Thread(target=answer, args=(connection,), daemon=True).start()

    threading.Thread(target=serve, daemon=True).start()
    yield Address(*listener.getsockname())
    listener.close()


class OnePlaceDispatcher:
    """Place each request once, at the same upstream."""

    def __init__(self, address):
        self._upstream = build_upstream(address=address)

    def place(self, work):
        if work.excluded:
            return Err(Overloaded("no other upstream", retry_after_s=1.0))
        return Ok(RecordingPlacement(self._upstream))

    def upstream_died(self, upstream, work):
        pass

    def ended(self, work, outcome):
        pass


class AcceptingState:
    """State of an entry that accepts all requests."""

    def readiness(self):
        return None

    def refusal(self):
        return None

    def refusal_of(self, _deadline_at_s):
        return None


def build_configuration():
    declaration = Declaration(
        services={
            MODEL: Service(id=MODEL, kind=ServiceKind.MODEL),
            PLAIN_SERVICE: Service(
                id=PLAIN_SERVICE, kind=ServiceKind.PLAIN, operations=("find-lot",)
            ),
        },
        sites={},
        workspaces={WORKSPACE: Workspace(id=WORKSPACE)},
        upstreams={},
    )
    return Configuration(revision=1, declaration=declaration)


@contextmanager
def caller_api(upstream):
    """Serve completions and lookups of one upstream; return the port."""
    dispatcher, retries, state = OnePlaceDispatcher(upstream), RetryBudget(1.0), AcceptingState()
    engine = EngineClient(build_upstream(address=upstream))
    relay = GenerationRelay(dispatcher, lambda _id: engine, LIMITS, retries)
    service = ServiceClient(upstream, idle_timeout_s=1.0)
    services = ServiceApi(
        ServiceCaller(dispatcher, lambda _id: service, retries),
        None,
        build_configuration,
        RequestLog(),
        key_length_max=100,
        state=state,
    )
    api = CallerApi(build_configuration, state, InFlightCounter(), BODY_BYTES_MAX)
    completions = CompletionApi(relay, build_configuration, RequestLog(), state)
    for path in (COMPLETION_PATH, CHAT_PATH):
        api.add_work("POST", path, completions.complete)
    api.add_work("POST", "/services/{service}/{operation}", services.call)
    server = HttpServer("127.0.0.1", 0, api)
    server.start()
    try:
        yield server.port
    finally:
        server.stop()


def exchange(port, path, **body):
    """Send one request; return the bytes of the response until the connection closes."""
    content = json.dumps(body).encode()
    head = (
        f"POST {path} HTTP/1.1\r\nHost: entry\r\nX-Workspace: {WORKSPACE}\r\n"
        f"Connection: close\r\nContent-Length: {len(content)}\r\n\r\n"
    )
    with socket.create_connection(("127.0.0.1", port), TIMEOUT_S) as connection:
        connection.sendall(head.encode() + content)
        return b"".join(iter(lambda: connection.recv(65536), b""))
