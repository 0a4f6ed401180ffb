"""Model engine as a process of its own, which can be frozen, killed and started again.

Run as `python -m gooseberryquay.standins.node_platform.engine_process OPTIONS`, with the fields of
`EngineOptions` as JSON.
"""

import contextlib
import http.client
import json
import os
import random
import socket
import sys
import threading
from dataclasses import dataclass
from typing import Any

from gooseberryquay.standins.node_platform.run_record import RunRecord
from gooseberryquay.standins.node_platform.service_process import UpstreamOptions, UpstreamProcess
from gooseberryquay.standins.node_platform.upstream_crash import CrashingServer
from gooseberryquay.standins.node_platform.upstream_server import (
    BODY_BYTES_MAX,
    HEADER_BYTES_MAX,
    ModelEngine,
)

__all__ = ["EngineOptions", "EngineProcess"]

STORE_COPY_PATH = "/api/store-copy"
CONNECT_TIMEOUT_S = 0.3
STORE_TIMEOUT_S = 1.0


@dataclass(frozen=True)
class EngineOptions(UpstreamOptions):
    """Configure an engine."""

    event_s: float = 0.03
    is_unframed: bool = False
    # Share of the requests that are refused as not run.
    shed_share: float = 0.0


class EngineProcess(UpstreamProcess):
    """Start, freeze and kill one engine at a fixed address."""

    def __init__(self, options: EngineOptions) -> None:
        super().__init__("gooseberryquay.standins.node_platform.engine_process", options)


class _FileRecord(RunRecord):
    """Append each run to a file, which outlives the process."""

    def __init__(self, path: str) -> None:
        super().__init__()
        self._file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT)

    def add_run(self, request: str, upstream: str) -> None:
        """Record that an upstream started to execute a request."""
        os.write(self._file, f"{request}\n".encode())


class _OtherEngine:
    """Reach an engine of another process, at its port."""

    def __init__(self, port: int) -> None:
        self._port = port

    @property
    def is_crashed(self) -> bool:
        """Return whether nothing listens at the port."""
        with contextlib.suppress(OSError):
            socket.create_connection(("127.0.0.1", self._port), CONNECT_TIMEOUT_S).close()
            return False
        return True

    def store_kv_copy(self, handle: str, event_count: int) -> None:
        """Let the engine store a copy."""
        connection = http.client.HTTPConnection("127.0.0.1", self._port, timeout=STORE_TIMEOUT_S)
        body = json.dumps({"handle": handle, "events": event_count})
        connection.request("POST", STORE_COPY_PATH, body)
        connection.getresponse().read()
        connection.close()


class _OtherEngines(dict[int, Any]):
    def get(self, port: int, default: Any = None) -> Any:
        """Return the engine at a port."""
        return _OtherEngine(port)


class _Engine(ModelEngine):
    def __init__(self, options: EngineOptions) -> None:
        record = _FileRecord(options.runs_path)
        super().__init__(options.id, record, random.Random(options.id), _OtherEngines())
        self.event_s, self.is_unframed = options.event_s, options.is_unframed
        self.faults.shed_share = options.shed_share
        self._server = CrashingServer(
            "127.0.0.1", options.port, self._forward, HEADER_BYTES_MAX, BODY_BYTES_MAX
        )

    def _handle_control(self, received: Any) -> bool:
        if received.gateway.req.path.decode() != STORE_COPY_PATH:
            return super()._handle_control(received)
        document = json.loads(received.body)
        self.store_kv_copy(document["handle"], document["events"])
        received.respond("200 OK", [], b"{}")
        return True


if __name__ == "__main__":
    _Engine(EngineOptions(**json.loads(sys.argv[1]))).start()
    threading.Event().wait()
