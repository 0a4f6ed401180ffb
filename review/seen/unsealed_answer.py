"""A server answers 200 without the seal and without the id of the request."""

import http.client
import os
import socket
import sys
import tempfile
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import BROKEN, CANNOT_RUN, HELD, KEY, Deployment, run_case  # noqa: E402

from gooseberryquay.standins.node_platform.site import HOST  # noqa: E402

# Without the disruption if the variable is 0.
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
ID = "a000000000000001"


def serve(listener):
    """Answer one request on each connection."""
    while True:
        connection, _ = listener.accept()
        with connection:
            received = b""
            while b"\r\n\r\n" not in received:
                received += connection.recv(65536)
            own = b"" if IS_TROUBLED else f"X-Attempt-Id: {ID}\r\nX-Response-Seal: s\r\n".encode()
            head = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n" + own
            connection.sendall(head + b"\r\ndone")


def case():
    """Play it once."""
    with Deployment(Path(tempfile.mkdtemp()), 1) as deployment:
        deployment.start(engines=0, services=0)
        listener = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=serve, args=(listener,), daemon=True).start()
        record = {
            "service": "ledger",
            "address": f"127.0.0.1:{listener.getsockname()[1]}",
            "zone": "zone-a",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_left_ms": 0,
            "born": int(time.time() * 1000.0),
        }
        deployment.site.store.put("servers", "i-1", record)
        time.sleep(1.0)
        port = deployment.entries[0].ports.callers
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=6.0)
        headers = {
            "Host": HOST,
            "X-Attempt-Id": ID,
            "X-Deadline-Ms": "4000",
            "Authorization": f"Bearer {KEY}",
        }
        connection.request("GET", "/read/1", headers=headers)
        response = connection.getresponse()
        seal = response.getheader("X-Response-Seal")
        print(f"the client gets {response.status} {response.read()!r}, seal {seal}")
        if not IS_TROUBLED and response.status != http.client.OK:
            return CANNOT_RUN
        return BROKEN if response.status == http.client.OK and seal is None else HELD


run_case(case)
