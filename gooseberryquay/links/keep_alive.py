"""Probes by which the kernel finds out that the other side of a connection is silent."""

import socket

__all__ = ["keep_probing"]

# A silent connection is closed within three seconds.
PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
PROBES_MAX = 2

PROBE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES_MAX),
)


def keep_probing(connection: socket.socket) -> None:
    """Have a silent connection closed by the kernel."""
    for option in PROBE_OPTIONS:
        connection.setsockopt(*option)
