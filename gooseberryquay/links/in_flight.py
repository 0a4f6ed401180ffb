"""Count caller requests in flight, so that a drain knows when the last one ended."""

import threading
from collections.abc import Iterator

__all__ = ["InFlight"]


class InFlight:
    """Count open requests and wait until there is none."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._count = 0

    @property
    def count(self) -> int:
        """Give the number of open requests."""
        return self._count

    def enter(self) -> None:
        """Count one more open request."""
        with self._changed:
            self._count += 1

    def leave(self) -> None:
        """Count one open request less."""
        with self._changed:
            self._count -= 1
            self._changed.notify_all()

    def hold_until_sent(self, body: Iterator[bytes]) -> Iterator[bytes]:
        """Pass a body on and leave when it has been sent or given up."""
        return _HeldBody(self, body)

    def wait_until_none(self, timeout_s: float) -> bool:
        """Wait for the last request to end; False when the time is over."""
        with self._changed:
            return self._changed.wait_for(lambda: self._count == 0, timeout_s)


class _HeldBody(Iterator[bytes]):
    """Leave the count exactly once, also when the body was never read."""

    def __init__(self, in_flight: InFlight, body: Iterator[bytes]) -> None:
        self._in_flight = in_flight
        self._body = body
        self._next = body.__next__
        self._is_closed = False

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        return self._next()

    def close(self) -> None:
        """Close the body and leave the count."""
        if self._is_closed:
            return
        self._is_closed = True
        close_body = getattr(self._body, "close", None)
        if close_body is not None:
            close_body()
        self._in_flight.leave()
