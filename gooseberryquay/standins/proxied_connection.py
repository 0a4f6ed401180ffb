"""One connection through the fault proxy, with one thread per direction."""

import contextlib
import socket
import struct
import threading
import time
from collections.abc import Callable

from gooseberryquay.standins.proxy_messages import Direction

__all__ = ["LinkFaults", "ProxiedConnection"]

READ_BYTES = 64 * 1024
STALL_POLL_S = 0.05
END_TIMEOUT_S = 1.0
LINGER_RESET = struct.pack("ii", 1, 0)


class LinkFaults:
    """Faults that apply to every connection of a proxied link."""

    def __init__(self) -> None:
        self.delay_s = {Direction.TO_TARGET: 0.0, Direction.TO_CALLER: 0.0}
        self.flowing = {
            Direction.TO_TARGET: threading.Event(),
            Direction.TO_CALLER: threading.Event(),
        }
        self.drops_responses = False
        self.resets_requests = False
        self.heal()

    def delay(self, direction: Direction, delay_s: float) -> None:
        """Delay forwarded bytes by `delay_s` seconds."""
        for each in self.delay_s:
            if direction.includes(each):
                self.delay_s[each] = delay_s

    def stall(self, direction: Direction) -> None:
        """Hold bytes back until the link is healed."""
        for each, flowing in self.flowing.items():
            if direction.includes(each):
                flowing.clear()

    def heal(self) -> None:
        """Remove delays, stalls, resets of requests and the loss of responses."""
        self.drops_responses = False
        self.resets_requests = False
        for direction, event in self.flowing.items():
            self.delay_s[direction] = 0.0
            event.set()


class ProxiedConnection:
    """Forward bytes between a caller and the target, or discard them.

    The last of its two threads closes the sockets: if a socket is closed while a thread still uses
    it, the system may reuse its file descriptor for another connection.
    """

    def __init__(
        self,
        caller: socket.socket,
        target: socket.socket,
        state: LinkFaults,
        on_forwarded: Callable[[Direction, bytes], None],
        on_closed: Callable[["ProxiedConnection"], None],
        *,
        breaks_by_reset: bool = False,
    ) -> None:
        self._caller = caller
        self._target = target
        self._state = state
        self._on_forwarded = on_forwarded
        self._on_closed = on_closed
        self._breaks_by_reset = breaks_by_reset
        self._silenced: set[Direction] = set()
        self._lock = threading.Lock()
        self._is_ended = False
        self._threads = [
            threading.Thread(target=self._run_direction, args=(direction,), daemon=True)
            for direction in (Direction.TO_TARGET, Direction.TO_CALLER)
        ]
        self._running = len(self._threads)
        for each in (caller, target):
            each.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def start(self) -> None:
        """Start forwarding in background threads."""
        for thread in self._threads:
            thread.start()

    def silence(self, direction: Direction) -> None:
        """Discard all further data in a direction, including the end of the stream."""
        for each in (Direction.TO_TARGET, Direction.TO_CALLER):
            if direction.includes(each):
                self._silenced.add(each)

    def end(self, is_reset: bool) -> None:
        """Close both sides, or reset them if `is_reset`."""
        with self._lock:
            if self._is_ended:
                return
            self._is_ended = True
            for each in (self._caller, self._target):
                with contextlib.suppress(OSError):
                    _wake_and_end(each, is_reset)

    def wait_until_ended(self) -> None:
        """Wait until both sides are closed."""
        deadline_s = time.monotonic() + END_TIMEOUT_S
        for thread in self._threads:
            # A connection may be ended before its threads have started.
            if thread.ident is not None:
                thread.join(max(0.0, deadline_s - time.monotonic()))
        # A thread blocked in a send ends only when its socket is closed.
        self._release()

    def _run_direction(self, direction: Direction) -> None:
        try:
            self._copy(direction)
        except OSError:
            self._end_unless_silenced(self._breaks_by_reset)
        if direction is Direction.TO_CALLER:
            self._end_unless_silenced(is_reset=False)
        with self._lock:
            self._running -= 1
            is_last = self._running == 0
        if is_last:
            self._release()

    def _copy(self, direction: Direction) -> None:
        source, sink = self._caller, self._target
        if direction is Direction.TO_CALLER:
            source, sink = sink, source
        while buffer := source.recv(READ_BYTES):
            self._forward(buffer, sink, direction)
        self._wait_while_stalled(direction)
        with self._lock:
            if not self._is_ended and direction not in self._silenced:
                sink.shutdown(socket.SHUT_WR)

    def _forward(self, buffer: bytes, sink: socket.socket, direction: Direction) -> None:
        time.sleep(self._state.delay_s[direction])
        self._wait_while_stalled(direction)
        if direction in self._silenced or self._is_ended:
            return
        if direction is Direction.TO_CALLER and self._state.drops_responses:
            self.end(is_reset=False)
            return
        if direction is Direction.TO_TARGET and self._state.resets_requests:
            self.end(is_reset=True)
            return
        sink.sendall(buffer)
        self._on_forwarded(direction, buffer)

    def _wait_while_stalled(self, direction: Direction) -> None:
        while not self._state.flowing[direction].wait(STALL_POLL_S):
            if self._is_ended:
                return

    def _end_unless_silenced(self, is_reset: bool) -> None:
        if not self._silenced:
            self.end(is_reset)

    def _release(self) -> None:
        self._caller.close()
        self._target.close()
        self._on_closed(self)


def _wake_and_end(opened: socket.socket, is_reset: bool) -> None:
    if is_reset:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    # With SHUT_RD no FIN is sent, so the following close sends the reset instead.
    opened.shutdown(socket.SHUT_RD if is_reset else socket.SHUT_RDWR)
