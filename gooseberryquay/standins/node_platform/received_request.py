"""Request that an upstream received, and the ways of answering it."""

import contextlib
import os
import socket
import struct
from dataclasses import dataclass

from gooseberryquay.links.streaming_gateway import StreamingGateway

__all__ = ["ReceivedRequest", "reset_connection"]

LINGER_RESET = struct.pack("ii", 1, 0)


def reset_connection(gateway: StreamingGateway) -> None:
    """Reset the connection of a request; safe while another thread uses it."""
    with contextlib.suppress(OSError), socket.socket() as unconnected:
        opened = gateway.connection
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        # A shutdown would send a FIN first, and a close would free the descriptor for reuse.
        os.dup2(unconnected.fileno(), opened.fileno(), inheritable=False)
    gateway.abort()


@dataclass
class ReceivedRequest:
    """A request with its body, and the headers that each response to it states."""

    gateway: StreamingGateway
    headers: dict[str, str]
    body: bytes
    status_headers: list[tuple[str, str]]

    @property
    def id(self) -> str:
        """Return the id of the caller's attempt."""
        return self.headers.get("x-attempt-id", "")

    def respond(
        self,
        status: str,
        headers: list[tuple[str, str]],
        body: bytes = b"",
        *,
        is_unframed: bool = False,
    ) -> None:
        """Send a response; an unframed one ends with its connection."""
        sent = [*headers, *self.status_headers, ("X-Attempt-Id", self.id)]
        if not is_unframed:
            sent.append(("Content-Length", str(len(body))))
        self.start(status, sent, is_unframed=is_unframed)
        self.gateway.write_all(body)

    def start(
        self, status: str, headers: list[tuple[str, str]], *, is_unframed: bool = False
    ) -> None:
        """Begin a response without a length, in chunks unless it is unframed."""
        self.gateway.start(status, headers)
        if is_unframed:
            self.gateway.req.response_protocol = "HTTP/1.0"

    def cut_body(self, status: str, headers: list[tuple[str, str]], body: bytes) -> None:
        """Send the first half of an unframed response, then reset the connection."""
        self.respond(status, headers, body[: len(body) // 2], is_unframed=True)
        reset_connection(self.gateway)

    def cut_head(self, status: str, headers: list[tuple[str, str]], share: float) -> None:
        """Send a share of the bytes of a head, then close the connection."""
        lines = [f"HTTP/1.1 {status}", *(f"{name}: {value}" for name, value in headers), ""]
        head = "\r\n".join(lines).encode()
        with contextlib.suppress(OSError):
            self.gateway.connection.sendall(head[: int(share * len(head))])
        self.gateway.abort()
