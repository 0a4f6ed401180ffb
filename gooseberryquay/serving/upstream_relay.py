"""Carry requests of peers that are cut off from all upstreams."""

import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager, nullcontext
from typing import Protocol

from result import Err, Ok, Result

from gooseberryquay.ids import UpstreamId
from gooseberryquay.links.http_server import Request, Response, Router
from gooseberryquay.links.relayed_connection import RELAY_PATH, TIME_LEFT_HEADER, RelayAnswer
from gooseberryquay.links.streaming_gateway import BodyWriter, CallerDisconnected
from gooseberryquay.links.transport_failure import (
    ConnectionBroken,
    TransportFailure,
    TransportTimeout,
)
from gooseberryquay.links.upstream_connection import CallerLeft, UpstreamConnection
from gooseberryquay.serving.drain_state import DrainState
from gooseberryquay.serving.ports import OpenResponse
from gooseberryquay.serving.request_counters import RequestCounters
from gooseberryquay.serving.response_buffer_budget import SharedMemory
from gooseberryquay.serving.upstream_reach import UpstreamReach
from gooseberryquay.serving.upstream_record import UpstreamRecord
from gooseberryquay.serving.upstream_registry import KnownUpstream, UpstreamRegistry
from gooseberryquay.serving.upstream_signals import UpstreamSignals

__all__ = ["UpstreamLinks", "UpstreamRelay"]

MS_PER_S = 1000.0
HTTP_BAD_REQUEST = 400
# Each takes a thread and buffers one request body.
CARRIED_MAX = 256
# Of a thread and what it passes on; the body is counted as it is read.
CARRIED_BYTES = 128 * 1024
HEAD_BYTES_MAX = 64 * 1024
HEAD_END = b"\r\n\r\n"
CARRIED_TYPE = "application/octet-stream"


class UpstreamLinks(Protocol):
    """Open direct connections to upstreams and understand what these say of themselves."""

    def open_raw(
        self, upstream: UpstreamRecord, request: bytes, until_s: float
    ) -> Result[UpstreamConnection, TransportFailure]:
        """Send the bytes of a request on a new connection."""

    def parse_head(
        self, upstream: UpstreamRecord, head: bytes, connection: UpstreamConnection
    ) -> OpenResponse | None:
        """Parse the head of a response; return None if it is malformed."""


class UpstreamRelay:
    """Send a peer's request to the upstream that the peer has chosen, by one hop.

    The peer decides, counts and repeats. This entry refuses what it could not send itself: to an
    upstream that leaves, pauses or is out of service. It notes what the response says of the
    upstream, since that is said to the entry that sent the request.
    """

    def __init__(
        self,
        *,
        registry: UpstreamRegistry,
        links: UpstreamLinks,
        signals: UpstreamSignals,
        reach: UpstreamReach,
        drain_state: DrainState,
        counters: RequestCounters,
        memory: SharedMemory | None = None,
    ) -> None:
        self._memory = memory
        self._registry = registry
        self._links = links
        self._signals = signals
        self._reach = reach
        self._drain_state = drain_state
        self._counters = counters
        self._carried = 0
        self._lock = threading.Lock()

    def add_routes(self, router: Router) -> None:
        """Register the route that serves other entries."""
        router.add("POST", RELAY_PATH + "{id}", self._handle_request)

    def _handle_request(self, request: Request) -> Response:
        left_ms = request.headers.get(TIME_LEFT_HEADER, "")
        if not (left_ms.isascii() and left_ms.isdigit()):
            return Response(status=HTTP_BAD_REQUEST, body=b"{}")
        until_s = time.monotonic() + int(left_ms) / MS_PER_S
        with self._counters.in_flight(), self._counted() as carried:
            # An entry that has just started can't tell which upstreams are usable.
            if carried > CARRIED_MAX or not self._may_carry(until_s) or not self._has_list():
                return _refused(RelayAnswer.NOT_CARRYING)
            known = self._registry.usable_upstream(UpstreamId(request.path_values["id"]))
            if known is None:
                return _refused(RelayAnswer.NOT_USABLE)
            if self._memory is None:
                return self._send(request, known, until_s)
            if not self._memory.try_acquire(CARRIED_BYTES):
                return _refused(RelayAnswer.NOT_CARRYING)
            try:
                return self._send(request, known, until_s)
            finally:
                self._memory.release(CARRIED_BYTES)

    def _may_carry(self, until_s: float) -> bool:
        return not self._reach.is_cut_off and self._drain_state.accepts(until_s)

    def _has_list(self) -> bool:
        return bool(self._registry.listed())

    @contextmanager
    def _counted(self) -> Iterator[int]:
        with self._lock:
            self._carried += 1
            carried = self._carried
        try:
            yield carried
        finally:
            with self._lock:
                self._carried -= 1

    def _send(self, request: Request, known: KnownUpstream, until_s: float) -> Response:
        opened = self._links.open_raw(known.record, request.body, until_s)
        if isinstance(opened, Err):
            self._reach.record_failure(known.record.id)
        match opened:
            case Err(failure) if failure.was_sent:
                request.abort()
                return Response.sent()
            case Err(ConnectionBroken()):
                return _refused(RelayAnswer.REFUSED)
            case Err(_):
                return _refused(RelayAnswer.SILENT)
            case Ok(connection):
                self._counters.record_carried()
        try:
            if not self._carry(request, known, connection, until_s):
                request.abort()
        except CallerDisconnected:
            request.abort()
        finally:
            connection.close()
        return Response.sent()

    def _carry(
        self, request: Request, known: KnownUpstream, connection: UpstreamConnection, until_s: float
    ) -> bool:
        """Pass on what the upstream sends; return whether it ended regularly."""
        writer: BodyWriter | None = None
        head = b""
        while True:
            match self._receive(request, known, connection, until_s, is_first=writer is None):
                case Err(_):
                    return False
                case Ok(received):
                    pass
            if writer is None:
                writer = request.open_stream(CARRIED_TYPE, {})
            if not received:
                # A response without any byte is still ended.
                return writer.is_chunked
            if HEAD_END not in head and len(head) < HEAD_BYTES_MAX:
                head += received
                self._note_head(known, head, connection)
            writer.write(received)

    def _receive(
        self,
        request: Request,
        known: KnownUpstream,
        connection: UpstreamConnection,
        until_s: float,
        is_first: bool,
    ) -> Result[bytes, TransportFailure | CallerLeft]:
        """Wait for the next bytes of an upstream, and record what that tells of its reach."""
        with self._reach.waiting() if is_first else nullcontext():
            received = connection.receive_raw(request.caller, until_s)
        match received:
            case Ok(content) if content:
                self._reach.record_answer()
            case Ok(_) | Err(ConnectionBroken() | TransportTimeout()) if is_first:
                self._reach.record_failure(known.record.id)
        return received

    def _note_head(self, known: KnownUpstream, head: bytes, connection: UpstreamConnection) -> None:
        if HEAD_END not in head:
            return
        response = self._links.parse_head(known.record, head, connection)
        if response is not None:
            self._signals.process_response(known, response)


def _refused(status: int) -> Response:
    return Response(status=status, body=b"{}", is_closing=True)
