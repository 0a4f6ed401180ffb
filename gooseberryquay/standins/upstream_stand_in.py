"""What the stand-ins of upstreams share: their server, faults, counts and sudden end."""

import os
import threading

from pydantic import BaseModel, ValidationError

from gooseberryquay.links.http_server import HttpServer, Request, Response, Router

__all__ = ["UpstreamStandIn"]

CRASH_STATUS = 70
HTTP_BAD_REQUEST = 400


class UpstreamStandIn:
    """Serve one upstream; dies as a whole process if it is told to and has one of its own."""

    def __init__(self, host: str, port: int, is_own_process: bool) -> None:
        self._is_own_process = is_own_process
        self.has_crashed = threading.Event()
        router = Router()
        self._add_routes(router)
        router.add("POST", "/standin/faults", self._answer_fault)
        router.add("GET", "/standin/counts", self._answer_counts)
        self._server = HttpServer(host, port, router)

    def start(self) -> None:
        """Serve in the background."""
        self._server.start()

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop()

    def crash(self) -> None:
        """Die at once: the process if it is the upstream's own, else the server."""
        if self._is_own_process:
            os._exit(CRASH_STATUS)
        if not self.has_crashed.is_set():
            self.has_crashed.set()
            threading.Thread(target=self.stop, daemon=True).start()

    @property
    def port(self) -> int:
        """Give the bound TCP port."""
        return self._server.port

    def counts(self) -> BaseModel:
        """Give what was counted since the start."""
        raise NotImplementedError

    def _add_routes(self, router: Router) -> None:
        """Add the upstream's own API."""
        raise NotImplementedError

    def _take_fault(self, body: bytes) -> None:
        """Start to misbehave as told; ValidationError for an unknown fault."""
        raise NotImplementedError

    def _answer_fault(self, request: Request) -> Response:
        try:
            self._take_fault(request.body)
        except ValidationError:
            return Response(status=HTTP_BAD_REQUEST)
        return Response(body=b"{}")

    def _answer_counts(self, _request: Request) -> Response:
        return Response.of(self.counts())
