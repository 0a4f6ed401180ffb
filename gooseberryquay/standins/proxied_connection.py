"""One connection through the fault proxy, one thread for each direction."""

import contextlib
import socket
import struct
import threading
import time
from collections.abc import Callable

from gooseberryquay.standins.proxy_messages import Direction

__all__ = ["LinkState", "ProxiedConnection"]

READ_BYTES = 64 * 1024
LINGER_RESET = struct.pack("ii", 1, 0)


class LinkState:
    """Hold the faults that apply to every connection of a link."""

    def __init__(self) -> None:
        self.delay_s = {Direction.TO_TARGET: 0.0, Direction.TO_CALLER: 0.0}
        self.flowing = {
            Direction.TO_TARGET: threading.Event(),
            Direction.TO_CALLER: threading.Event(),
        }
        self.is_losing_answers = False
        self.heal()

    def delay(self, direction: Direction, delay_s: float) -> None:
        """Pass bytes on later."""
        for each in self.delay_s:
            if direction.includes(each):
                self.delay_s[each] = delay_s

    def stall(self, direction: Direction) -> None:
        """Hold bytes until healed."""
        for each, flowing in self.flowing.items():
            if direction.includes(each):
                flowing.clear()

    def heal(self) -> None:
        """End every fault."""
        self.is_losing_answers = False
        for direction, event in self.flowing.items():
            self.delay_s[direction] = 0.0
            event.set()


class ProxiedConnection:
    """Pass bytes between a caller and the target, or swallow them."""

    def __init__(
        self,
        caller: socket.socket,
        target: socket.socket,
        state: LinkState,
        passed: Callable[[Direction, int], None],
        closed: Callable[["ProxiedConnection"], None],
    ) -> None:
        self._caller = caller
        self._target = target
        self._state = state
        self._passed = passed
        self._closed = closed
        self._silenced: set[Direction] = set()
        for each in (caller, target):
            each.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def start(self) -> None:
        """Pass bytes in the background."""
        for direction in (Direction.TO_TARGET, Direction.TO_CALLER):
            threading.Thread(target=self._pump, args=(direction,), daemon=True).start()

    def silence(self, direction: Direction) -> None:
        """Swallow what comes from now on, ends of streams included."""
        for each in (Direction.TO_TARGET, Direction.TO_CALLER):
            if direction.includes(each):
                self._silenced.add(each)

    def close(self) -> None:
        """Close both sides."""
        for each in (self._caller, self._target):
            with contextlib.suppress(OSError):
                each.shutdown(socket.SHUT_RDWR)
            each.close()
        self._closed(self)

    def reset(self) -> None:
        """Reset both sides."""
        for each in (self._caller, self._target):
            with contextlib.suppress(OSError):
                each.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
                # Wakes the thread that reads; a close alone would wait for it.
                each.shutdown(socket.SHUT_RD)
            each.close()
        self._closed(self)

    def _pump(self, direction: Direction) -> None:
        is_to_target = direction is Direction.TO_TARGET
        source, sink = (
            (self._caller, self._target) if is_to_target else (self._target, self._caller)
        )
        try:
            while buffer := source.recv(READ_BYTES):
                self._pass_on(buffer, sink, direction)
            self._state.flowing[direction].wait()
            if direction not in self._silenced:
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            if not self._silenced:
                self.close()
            return
        if not is_to_target and not self._silenced:
            self.close()

    def _pass_on(self, buffer: bytes, sink: socket.socket, direction: Direction) -> None:
        time.sleep(self._state.delay_s[direction])
        self._state.flowing[direction].wait()
        if direction in self._silenced:
            return
        if direction is Direction.TO_CALLER and self._state.is_losing_answers:
            self.close()
            return
        sink.sendall(buffer)
        self._passed(direction, len(buffer))
