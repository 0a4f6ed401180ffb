"""Run one server in a process until it is told to end."""

import signal
import threading
from typing import Protocol

__all__ = ["READY_PREFIX", "SIGNAL_LOOK_S", "Server", "serve_until_signal"]

READY_PREFIX = "ready on port "
# The system may give a signal to any thread, and its handler runs when the main thread wakes.
SIGNAL_LOOK_S = 0.5


class Server(Protocol):
    """Start, stop and name a port."""

    def start(self) -> None:
        """Serve in the background."""

    def stop(self) -> None:
        """Stop serving."""

    @property
    def port(self) -> int:
        """Give the bound TCP port."""


def serve_until_signal(server: Server) -> None:
    """Print the port once ready, and stop at SIGTERM or SIGINT."""
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_args: stopped.set())
    server.start()
    print(f"{READY_PREFIX}{server.port}", flush=True)
    while not stopped.wait(SIGNAL_LOOK_S):
        pass
    server.stop()
