"""HTTP transport between callers, entries, upstreams and the platform."""

from gooseberryquay.links.http_client import HttpClient, LinkBroken, LinkFailure, LinkTimeout, Reply
from gooseberryquay.links.http_server import HttpServer, Request, Response, Router

__all__ = [
    "HttpClient",
    "HttpServer",
    "LinkBroken",
    "LinkFailure",
    "LinkTimeout",
    "Reply",
    "Request",
    "Response",
    "Router",
]
