"""Kernel socket timeouts, which save one system call for each read or write."""

import math
import socket
import struct

__all__ = ["set_read_timeout", "set_write_timeout"]

TIMEVAL_FORMAT = "ll"


def _timeval(timeout_s: float) -> bytes:
    fraction_s, whole_s = math.modf(timeout_s)
    return struct.pack(TIMEVAL_FORMAT, int(whole_s), int(fraction_s * 1e6))


def set_read_timeout(connection: socket.socket, timeout_s: float) -> None:
    """Make a read without data before the timeout fail with `BlockingIOError`."""
    connection.settimeout(None)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, _timeval(timeout_s))


def set_write_timeout(connection: socket.socket, timeout_s: float) -> None:
    """Make a write that blocks past the timeout fail with `BlockingIOError`."""
    connection.settimeout(None)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, _timeval(timeout_s))
