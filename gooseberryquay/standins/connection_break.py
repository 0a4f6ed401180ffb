"""Responses that end before they are complete."""

import errno
from collections.abc import Iterator

__all__ = ["ConnectionBreak", "broken_body"]


class ConnectionBreak(ConnectionResetError):
    """Make the server close the connection immediately instead of finishing the response."""

    def __init__(self) -> None:
        super().__init__(errno.ECONNRESET, "closed by the stand-in")


def broken_body(part: bytes) -> Iterator[bytes]:
    """Yield a part of a body, then break the connection."""
    if part:
        yield part
    raise ConnectionBreak
