"""Accepting, idling and closing of a server's connections."""

import contextlib
import errno
import resource
import selectors
import socket
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

from cheroot.connections import ConnectionManager

from gooseberryquay.links.caller_budget import CallerBudget
from gooseberryquay.links.socket_files import ServerConnection
from gooseberryquay.machines.caller_ledger import CallerLimit

__all__ = ["OrderlyConnectionManager"]

# How long callers may go on sending after the end of the last response.
LINGER_S = 1.0
# Part of the time to finish in which requests that still arrive are answered.
ANSWER_SHARE = 0.5
FINISH_POLL_S = 0.02
ACCEPT_PAUSE_S = 0.05
# Each open request needs a descriptor for its caller and one for its upstream.
DESCRIPTOR_SHARE = 0.5
# For the control, readiness and metrics servers, the store and the process itself.
RESERVED_DESCRIPTORS = 32
# Of the kernel for each connection of a caller, in each direction; it doubles this. Enough for a
# link of 10 Mbit/s at 100 ms, and for all events of a long stream that its caller does not read.
SOCKET_BUFFER_BYTES = 128 * 1024
EXHAUSTED_ERRORS = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}
ACCEPT_ERROR_LOG_INTERVAL_S = 10.0


class OrderlyConnectionManager(ConnectionManager):
    """Hold idle connections, and close connections without losing their last response.

    All connections wait here for the first byte of a request, also new ones, so that a caller that
    sends nothing takes no thread.
    """

    server: Any
    _selector: Any
    _stop_requested: bool
    _from_server_socket: Callable[[socket.socket], ServerConnection | None]

    def __init__(self, server: Any) -> None:
        super().__init__(server)
        server.socket.setblocking(False)
        self._wakeup, self._waker = socket.socketpair()
        self._wakeup.setblocking(False)
        self._waker.setblocking(False)
        self._selector.register(self._wakeup.fileno(), selectors.EVENT_READ, data=None)
        # Only the server of callers counts its connections against their memory.
        self._budget: CallerBudget | None = (
            server.caller_budget if server.limits_connections else None
        )
        self._open_max = _connections_max(server.descriptors_max, self._budget)
        if self._budget is not None:
            for each in (socket.SO_RCVBUF, socket.SO_SNDBUF):
                server.socket.setsockopt(socket.SOL_SOCKET, each, SOCKET_BUFFER_BYTES)
        self._open: set[ServerConnection] = set()
        self._open_lock = threading.Lock()
        self._accept_at_s: float | None = None
        self._error_logged_at_s = -ACCEPT_ERROR_LOG_INTERVAL_S
        self._finish_until_s: float | None = None
        self._is_finished = threading.Event()
        self._stopped = threading.Event()

    @property
    def can_add_keepalive_connection(self) -> bool:
        """Return whether a connection may be kept after its response."""
        return self._finish_until_s is None and bool(super().can_add_keepalive_connection)

    def put(self, conn: ServerConnection) -> None:
        """Wait for the next request of a connection, or serve the one that has arrived."""
        conn.last_used = time.monotonic()
        if conn.rfile.has_data():
            self.server.process_conn(conn)
        else:
            self._register(conn)

    def finish(self, until_s: float) -> bool:
        """Accept no more, answer what arrives for a while, then end and close all connections.

        Return whether all were closed before `until_s`.
        """
        self._finish_until_s = until_s
        self._wake()
        self._is_finished.wait(max(0.0, until_s - time.monotonic()))
        return not self._open_connections()

    def linger(self, connection: ServerConnection) -> bool:
        """Discard what the caller still sends; return False if the connection must be closed."""
        if self._stop_requested:
            return False
        connection.linger_until_s = time.monotonic() + LINGER_S
        try:
            self._register(connection)
        except (OSError, ValueError, KeyError):
            return False
        return True

    def forget(self, connection: ServerConnection) -> None:
        """Stop counting a connection whose socket is closed."""
        with self._open_lock:
            was_open = connection in self._open
            self._open.discard(connection)
        if was_open and self._budget is not None:
            self._budget.disconnect()

    def stop(self) -> None:
        """Stop the selector loop."""
        self._stop_requested = True
        self._wake()
        self._stopped.set()
        super().stop()

    def close(self) -> None:
        """Close all idle connections."""
        for connection in self._idle():
            connection.close()
        self._selector.close()
        self._wakeup.close()
        self._waker.close()

    def _run(self, expiration_interval: float) -> None:
        expire_at_s = time.monotonic() + expiration_interval
        while not self._stop_requested:
            if self._is_finished.is_set():
                self._stopped.wait()
            elif self._finish_until_s is not None:
                self._finish(self._finish_until_s)
                self._is_finished.set()
            else:
                self._serve_ready(expiration_interval)
                if time.monotonic() >= expire_at_s:
                    self._expire(time.monotonic() - self.server.timeout)
                    expire_at_s = time.monotonic() + expiration_interval

    def _serve_ready(self, timeout_s: float) -> None:
        if self._accept_at_s is not None:
            timeout_s = min(timeout_s, max(0.0, self._accept_at_s - time.monotonic()))
        is_accepting = False
        for descriptor, connection in list(self._selector.select(timeout_s)):
            if connection is self.server:
                is_accepting = True
            elif connection is None:
                with contextlib.suppress(OSError):
                    self._wakeup.recv(1024)
            elif connection.linger_until_s is not None:
                if connection.has_ended():
                    self._release(descriptor, connection)
            else:
                # Unregistered until the server has read from it and returns it through `put`.
                self._selector.unregister(descriptor)
                self.server.process_conn(connection)
        # Last, as it may close an idle connection.
        if is_accepting:
            self._accept()
        self._resume_accepting()

    def _accept(self) -> bool:
        try:
            if self._open_connections() >= self._open_max:
                raise OSError(errno.EMFILE, f"{self._open_max} connections are open")
            if self._budget is not None and not self._budget.try_connect():
                raise OSError(errno.ENOMEM, "the memory for callers is in use")
            connection = self._accept_counted()
        except OSError as error:
            self._pause_accepting(error)
            return False
        if connection is None:
            return False
        with self._open_lock:
            self._open.add(connection)
        self.put(connection)
        return True

    def _accept_counted(self) -> ServerConnection | None:
        connection = None
        try:
            connection = self._from_server_socket(self.server.socket)
        finally:
            if connection is None and self._budget is not None:
                self._budget.disconnect()
        return connection

    def _pause_accepting(self, error: OSError) -> None:
        """Leave new callers in the listen queue, so that open connections are still served."""
        now_s = time.monotonic()
        if now_s - self._error_logged_at_s >= ACCEPT_ERROR_LOG_INTERVAL_S:
            self._error_logged_at_s = now_s
            self.server.error_log(f"cannot accept connections: {error}")
        if self._finish_until_s is not None:
            return
        if error.errno in EXHAUSTED_ERRORS:
            if self._release_idle():
                return
            if self._budget is not None:
                self._budget.press(CallerLimit.DESCRIPTORS)
        self._selector.unregister(self.server.socket.fileno())
        self._accept_at_s = now_s + ACCEPT_PAUSE_S

    def _release_idle(self) -> bool:
        """Close the connection that has been idle longest; return False if there is none.

        It is one of the address that has most of them, so that none takes the others' share.
        """
        idle = self._idle()
        counts = Counter(each.remote_addr for each in idle)
        longest = min(
            idle, key=lambda each: (-counts[each.remote_addr], each.last_used), default=None
        )
        if longest is None:
            return False
        self._release(longest.socket.fileno(), longest)
        return True

    def _resume_accepting(self) -> None:
        if self._accept_at_s is None or time.monotonic() < self._accept_at_s:
            return
        self._accept_at_s = None
        self._selector.register(self.server.socket.fileno(), selectors.EVENT_READ, data=self.server)

    def _expire(self, threshold: float) -> None:
        now_s = time.monotonic()
        for connection in self._idle():
            if connection.linger_until_s is not None:
                if connection.linger_until_s < now_s:
                    self._release(connection.socket.fileno(), connection)
            elif connection.last_used < threshold:
                self._end(connection)

    def _finish(self, until_s: float) -> None:
        self._close_listener()
        answer_s = ANSWER_SHARE * (until_s - time.monotonic())
        self._serve_until(until_s - answer_s)
        self._serve_ready(0.0)
        for connection in self._idle():
            if connection.linger_until_s is None:
                self._end(connection)
        self._serve_until(until_s)

    def _serve_until(self, until_s: float) -> None:
        while self._open_connections() and not self._stop_requested:
            left_s = until_s - time.monotonic()
            if left_s <= 0.0:
                return
            self._serve_ready(min(FINISH_POLL_S, left_s))

    def _close_listener(self) -> None:
        """Accept the connections that callers have opened, and refuse further ones."""
        if self._accept_at_s is None:
            self._selector.unregister(self.server.socket.fileno())
        self._accept_at_s = None
        while self._accept():
            pass
        self._accept_at_s = None
        self.server.socket.close()

    def _end(self, connection: ServerConnection) -> None:
        self._selector.unregister(connection.socket.fileno())
        connection.close()

    def _release(self, descriptor: int, connection: ServerConnection) -> None:
        self._selector.unregister(descriptor)
        connection.release()

    def _register(self, connection: ServerConnection) -> None:
        self._selector.register(connection.socket.fileno(), selectors.EVENT_READ, data=connection)

    def _idle(self) -> list[ServerConnection]:
        registered = [each for _, each in self._selector.connections]
        return [each for each in registered if each is not None and each is not self.server]

    def _open_connections(self) -> int:
        with self._open_lock:
            return len(self._open)

    def _wake(self) -> None:
        with contextlib.suppress(OSError):
            self._waker.send(b"x")


def _connections_max(descriptors_max: int | None, budget: CallerBudget | None) -> int:
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    limits = [] if descriptors == resource.RLIM_INFINITY else [descriptors]
    if descriptors_max is not None:
        limits.append(descriptors_max - RESERVED_DESCRIPTORS)
    connections = int(DESCRIPTOR_SHARE * min(limits, default=sys.maxsize))
    return connections if budget is None else min(connections, budget.bounds.connections_max)
