"""Simulation of the platform's load balancer."""

import threading
from collections.abc import Callable, Sequence

from result import Err, Ok

from gooseberryquay.contracts.fields import Address
from gooseberryquay.links.http_client import HttpClient

__all__ = ["Balancer"]

HTTP_UNAVAILABLE = 503
POLL_TIMEOUT_S = 1.0


class Balancer:
    """Round-robin choice among the entries, except those whose last health check failed."""

    def __init__(self, targets: Sequence[Address], poll_s: float) -> None:
        self._targets = tuple(targets)
        self._poll_s = poll_s
        self._unready: set[Address] = set()

    def start(self, stopped: Callable[[], bool]) -> None:
        """Poll the health of each entry in the background until the run is over."""
        for target in self._targets if self._poll_s > 0 else ():
            threading.Thread(target=self._poll_health, args=(target, stopped), daemon=True).start()

    def rotate_targets(self, rotation: int) -> tuple[Address, ...]:
        """Return the healthy entries in the order to try, or all entries if none is healthy."""
        ready = [each for each in self._targets if each not in self._unready]
        chosen = ready or self._targets
        start = rotation % len(chosen)
        return (*chosen[start:], *chosen[:start])

    def _poll_health(self, target: Address, stopped: Callable[[], bool]) -> None:
        client = HttpClient(*target, POLL_TIMEOUT_S, POLL_TIMEOUT_S)
        pause = threading.Event()
        while not stopped():
            match client.send("GET", "/readyz"):
                case Err(_):
                    self._unready.add(target)
                case Ok(reply) if reply.status == HTTP_UNAVAILABLE:
                    self._unready.add(target)
                case Ok(_):
                    self._unready.discard(target)
            pause.wait(self._poll_s)
        client.close()
