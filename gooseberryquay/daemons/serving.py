"""Run one server until the process receives SIGTERM or SIGINT."""

import signal
import threading
from typing import Protocol

__all__ = ["READY_PREFIX", "SIGNAL_POLL_S", "Server", "serve_until_signal"]

READY_PREFIX = "ready on port "
# The kernel may deliver a signal to any thread, but Python runs the handler only when the main
# thread wakes up.
SIGNAL_POLL_S = 0.5


class Server(Protocol):
    """Start and stop serving, and report the bound port."""

    def start(self) -> None:
        """Serve in the background."""

    def stop(self) -> None:
        """Stop serving."""

    @property
    def port(self) -> int:
        """Return the bound TCP port."""


def serve_until_signal(server: Server) -> None:
    """Print the port once the server is started, and stop it on SIGTERM or SIGINT."""
    stopped = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_args: stopped.set())
    server.start()
    print(f"{READY_PREFIX}{server.port}", flush=True)
    while not stopped.wait(SIGNAL_POLL_S):
        pass
    server.stop()
