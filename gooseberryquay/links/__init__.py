"""Carry messages between callers, entries, upstreams and the platform."""

from gooseberryquay.links.http_client import HttpClient, ConnectionBroken, TransportFailure, TransportTimeout, Reply
from gooseberryquay.links.http_server import HttpServer, Request, Response, Router

__all__ = [
    "HttpClient",
    "HttpServer",
    "ConnectionBroken",
    "TransportFailure",
    "TransportTimeout",
    "Reply",
    "Request",
    "Response",
    "Router",
]
