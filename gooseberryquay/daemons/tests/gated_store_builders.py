"""Gates between single entries and the store, which serves the others meanwhile."""

import contextlib
import time
from enum import Enum

from gooseberryquay.links.http_server import HttpServer, Response, Router

SILENCE_S = 30.0


class GateMode(Enum):
    """Behaviour of a gate towards its entry."""

    OPEN = "open"
    REFUSING = "refusing"
    SILENT = "silent"
    # Calls are executed, and their answers lost.
    LOSING_ANSWERS = "losing answers"


class _GatedRouter(Router):
    def __init__(self, router):
        super().__init__()
        self._router = router
        self.mode = GateMode.OPEN

    def handle(self, request):
        if self.mode in {GateMode.REFUSING, GateMode.SILENT}:
            return self._turn_away()
        response = self._router.handle(request)
        return response if self.mode is GateMode.OPEN else self._turn_away()

    def _turn_away(self):
        if self.mode is GateMode.REFUSING:
            return Response(status=503, body=b"{}")
        time.sleep(SILENCE_S)
        return Response(status=503, body=b"{}", is_closing=True)


class StoreGate:
    """Serve the store of a site to one entry."""

    def __init__(self, site):
        self._router = _GatedRouter(site.store.build_router())
        self._server = HttpServer("127.0.0.1", 0, self._router)
        self._server.start()

    @property
    def port(self):
        """Return the bound TCP port."""
        return self._server.port

    def set(self, mode):
        """Change the behaviour, also towards calls that are waiting."""
        self._router.mode = mode

    def stop(self):
        """Stop serving."""
        self._server.stop()


@contextlib.contextmanager
def store_gates(site, count):
    """Start a gate for each of `count` entries."""
    gates = [StoreGate(site) for _ in range(count)]
    yield gates
    for each in gates:
        each.set(GateMode.OPEN)
