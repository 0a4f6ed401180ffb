"""Common base of the upstream stand-ins: server, fault injection, counts and crash."""

import os
import threading

from pydantic import BaseModel, ValidationError

from gooseberryquay.links.http_server import HttpServer, Request, Response, Router

__all__ = ["UpstreamStandIn"]

CRASH_STATUS = 70
HTTP_BAD_REQUEST = 400


class UpstreamStandIn:
    """Serve one upstream; a crash ends the process if it belongs to the upstream alone."""

    def __init__(self, host: str, port: int, is_own_process: bool) -> None:
        self._is_own_process = is_own_process
        self.has_crashed = threading.Event()
        router = Router()
        self._add_routes(router)
        router.add("POST", "/standin/faults", self._post_fault)
        router.add("GET", "/standin/counts", self._get_counts)
        self._server = HttpServer(host, port, router)

    def start(self) -> None:
        """Start serving in background threads."""
        self._server.start()

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop()

    def crash(self) -> None:
        """Crash immediately: end the process if it is the upstream's own, else stop the server."""
        if self._is_own_process:
            os._exit(CRASH_STATUS)
        if not self.has_crashed.is_set():
            self.has_crashed.set()
            threading.Thread(target=self.stop, daemon=True).start()

    @property
    def port(self) -> int:
        """Return the bound TCP port."""
        return self._server.port

    def counts(self) -> BaseModel:
        """Return the counts since the start."""
        raise NotImplementedError

    def _add_routes(self, router: Router) -> None:
        """Add the routes of the upstream's own API."""
        raise NotImplementedError

    def _parse_and_apply_fault(self, body: bytes) -> None:
        """Parse and inject a fault; raise `pydantic.ValidationError` if it is unknown."""
        raise NotImplementedError

    def _post_fault(self, request: Request) -> Response:
        try:
            self._parse_and_apply_fault(request.body)
        except ValidationError:
            return Response(status=HTTP_BAD_REQUEST)
        return Response(body=b"{}")

    def _get_counts(self, _request: Request) -> Response:
        return Response.of(self.counts())
