"""HTTP transport between callers, entries, upstreams and the platform."""

from gooseberryquay.links.http_client import (
    ConnectionBroken,
    HttpClient,
    Reply,
    TransportFailure,
    TransportTimeout,
)
from gooseberryquay.links.http_server import HttpServer, Request, Response, Router

__all__ = [
    "ConnectionBroken",
    "HttpClient",
    "HttpServer",
    "Reply",
    "Request",
    "Response",
    "Router",
    "TransportFailure",
    "TransportTimeout",
]
