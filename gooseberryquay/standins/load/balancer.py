"""The platform's balancer as the load tool plays it."""

import threading
from collections.abc import Callable, Sequence

from result import Err, Ok

from gooseberryquay.contracts.fields import Address
from gooseberryquay.links.http_client import HttpClient

__all__ = ["Balancer"]

HTTP_UNAVAILABLE = 503
POLL_TIMEOUT_S = 1.0


class Balancer:
    """Give entries in turn, leaving out those whose last health check failed."""

    def __init__(self, targets: Sequence[Address], poll_s: float) -> None:
        self._targets = tuple(targets)
        self._poll_s = poll_s
        self._unready: set[Address] = set()

    def start(self, stopped: Callable[[], bool]) -> None:
        """Check each entry's health in the background until the run is over."""
        for target in self._targets if self._poll_s > 0 else ():
            threading.Thread(target=self._check, args=(target, stopped), daemon=True).start()

    def in_turn(self, turn: int) -> tuple[Address, ...]:
        """Give the entries to try, the one whose turn it is first."""
        ready = [each for each in self._targets if each not in self._unready]
        chosen = ready or self._targets
        start = turn % len(chosen)
        return (*chosen[start:], *chosen[:start])

    def _check(self, target: Address, stopped: Callable[[], bool]) -> None:
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
