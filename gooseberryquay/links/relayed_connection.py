"""Connection to an upstream through a peer that carries one request and its response."""

import time
from collections.abc import Sequence
from contextlib import ExitStack
from dataclasses import dataclass, field
from urllib.parse import quote

import h11
from result import Err, Result

from gooseberryquay.links.caller_watch import CallerWatch
from gooseberryquay.links.transport_failure import (
    ConnectionBroken,
    TransportFailure,
    TransportTimeout,
)
from gooseberryquay.links.upstream_connection import (
    JOINED_BYTES_MAX,
    BodyEnd,
    CallerLeft,
    ResponseHead,
    UpstreamConnection,
)

__all__ = [
    "RELAY_PATH",
    "TIME_LEFT_HEADER",
    "RelayAnswer",
    "RelayedConnection",
]

RELAY_PATH = "/peers/upstreams/"
TIME_LEFT_HEADER = "x-time-left-ms"
MS_PER_S = 1000.0


class RelayAnswer:
    """Status codes by which a peer answers a request to carry another one."""

    # The body holds the bytes of the upstream's response as they arrive.
    CARRIED = 200
    # The peer may not send to that upstream now. Nothing was sent.
    NOT_USABLE = 409
    # The upstream refuses connections. Nothing was sent.
    REFUSED = 502
    # The peer carries nothing now.
    NOT_CARRYING = 503
    # No connection to the upstream was open in time. Nothing was sent.
    SILENT = 504


class _NotCarried(Exception):
    """Raised when a peer answers that it has not sent the request."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


@dataclass
class RelayedConnection(UpstreamConnection):
    """Send one request to an upstream through the peer at `address`.

    What the peer returns is read like the bytes of a direct connection. The peer states the end of
    the upstream's bytes, so a peer that ends cannot make a response look complete.
    """

    upstream: str = ""
    # Left when the connection is closed.
    carried: ExitStack = field(default_factory=ExitStack)
    # Whether the peer itself carries nothing; another one may.
    is_peer_unavailable: bool = False
    # The end was received together with the last bytes.
    _is_end_pending: bool = False
    _carrier: h11.Connection = field(default_factory=lambda: h11.Connection(h11.CLIENT))

    def send(
        self, method: str, target: str, headers: Sequence[tuple[str, str]], body: bytes,
        until_s: float,
    ) -> TransportFailure | None:  # fmt: skip
        """Ask the peer to send a request until `until_s`."""
        parts = self._encode_parts(method, target, headers, body)
        left_ms = max(1, int((until_s - time.monotonic()) * MS_PER_S))
        head = h11.Request(
            method="POST",
            target=RELAY_PATH + quote(self.upstream, safe=""),
            headers=[
                ("host", str(self.address)),
                ("content-length", str(sum(len(each) for each in parts))),
                (TIME_LEFT_HEADER, str(left_ms)),
            ],
        )
        contents = (h11.Data(data=each) for each in parts if each)
        events = (head, *contents, h11.EndOfMessage())
        data = [self._carrier.send(each) or b"" for each in events]
        if len(body) <= JOINED_BYTES_MAX:
            data = [b"".join(data)]
        return self.send_raw(*data, until_s=until_s)

    def read_head(
        self, caller: CallerWatch, until_s: float
    ) -> Result[ResponseHead, TransportFailure | CallerLeft]:
        """Wait for the head of the upstream's response."""
        try:
            return super().read_head(caller, until_s)
        except _NotCarried as refused:
            return Err(self._failure_of(refused.status))

    def close(self) -> None:
        """Close the connection, which makes the peer close its own to the upstream."""
        super().close()
        self.carried.close()

    def _failure_of(self, status: int) -> TransportFailure:
        match status:
            case RelayAnswer.REFUSED:
                return ConnectionBroken("refused to the peer", was_sent=False)
            case RelayAnswer.SILENT:
                return TransportTimeout("silent to the peer", was_sent=False)
            case RelayAnswer.NOT_USABLE:
                return TransportTimeout("not usable for the peer", was_sent=False)
            case RelayAnswer.NOT_CARRYING:
                self.is_peer_unavailable = True
                return TransportTimeout("the peer carries nothing", was_sent=False)
            case _:
                self.is_peer_unavailable = True
                return TransportTimeout(f"the peer answered {status}", was_sent=True)

    def _receive(self) -> bytes | None:
        """Return all that the peer has passed on by now."""
        self._carrier.receive_data(super()._receive() or b"")
        passed_on = bytearray()
        while True:
            match self._carrier.next_event():
                case h11.NEED_DATA:
                    return bytes(passed_on) if passed_on else None
                case h11.Response(status_code=status) if status != RelayAnswer.CARRIED:
                    raise _NotCarried(status)
                case h11.Data(data=data):
                    passed_on += data
                case h11.EndOfMessage():
                    self._is_end_pending = True
                    return bytes(passed_on) if passed_on else None
                case _:
                    continue

    def _take_end(self) -> bool:
        was_pending, self._is_end_pending = self._is_end_pending, False
        return was_pending

    def _end(self) -> BodyEnd:
        end = super()._end()
        self.is_reusable = False
        return end
