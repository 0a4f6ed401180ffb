"""Client connection that sends the head and the body of a request in one write."""

from typing import Any

from urllib3.connection import HTTPConnection

from gooseberryquay.links.response_head import CompleteHeadResponse

__all__ = ["CoalescingConnection"]

MAX_COALESCED_BYTES = 64 * 1024


class CoalescingConnection(HTTPConnection):
    """Send a request in one system call, so that the server wakes up once instead of twice."""

    response_class = CompleteHeadResponse
    _parts: list[bytes] | None = None

    def request(self, method: str, url: str, body: Any = None, *args: Any, **options: Any) -> None:
        """Send one request; a body above `MAX_COALESCED_BYTES` is sent separately."""
        if not isinstance(body, bytes) or len(body) > MAX_COALESCED_BYTES:
            super().request(method, url, body, *args, **options)
            return
        parts: list[bytes] = []
        self._parts = parts
        try:
            super().request(method, url, body, *args, **options)
        finally:
            self._parts = None
        self.send(b"".join(parts))

    def send(self, data: Any) -> None:
        """Send data, or buffer it until the request is complete."""
        if self._parts is None:
            super().send(data)
        else:
            self._parts.append(data)
