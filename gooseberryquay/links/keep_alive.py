"""TCP keepalive, by which the kernel detects an unresponsive peer."""

import socket

__all__ = ["enable_keepalive"]

# A connection to an unresponsive peer is closed within three seconds.
PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
PROBES_MAX = 2

PROBE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES_MAX),
)


def enable_keepalive(connection: socket.socket) -> None:
    """Enable TCP keepalive, so that the kernel closes a connection to an unresponsive peer."""
    for option in PROBE_OPTIONS:
        connection.setsockopt(*option)
