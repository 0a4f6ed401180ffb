"""Answers that end before they are whole."""

import errno
from collections.abc import Iterator

__all__ = ["ConnectionBreak", "broken_body"]


class ConnectionBreak(ConnectionResetError):
    """Make the server close a connection at once instead of ending the answer."""

    def __init__(self) -> None:
        super().__init__(errno.ECONNRESET, "closed by the stand-in")


def broken_body(part: bytes) -> Iterator[bytes]:
    """Give a part of a body, then break the connection."""
    if part:
        yield part
    raise ConnectionBreak
