"""HTTP calls to the platform's engines and services."""

import json
import math
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, replace

import h11
from result import Err, Ok, Result

from gooseberryquay.contracts.fields import Address
from gooseberryquay.ids import RequestId, UpstreamId
from gooseberryquay.links.caller_watch import CallerWatch, NullCallerWatch
from gooseberryquay.links.connection_pool import ConnectionPool
from gooseberryquay.links.exchange import BufferedReply, BufferedRequest, exchange
from gooseberryquay.links.relayed_connection import RelayedConnection
from gooseberryquay.links.transport_failure import (
    ConnectionBroken,
    TransportFailure,
    TransportTimeout,
)
from gooseberryquay.links.upstream_connection import (
    ANSWERED_IDS_MAX,
    BodyEnd,
    BodyPart,
    CallerLeft,
    ResponseHead,
    UpstreamConnection,
    head_of,
)
from gooseberryquay.platform import names
from gooseberryquay.serving.call import Call, HeaderPair
from gooseberryquay.serving.ports import (
    Carrier,
    CopyHandle,
    IndeterminateOutcome,
    ListeningState,
    LoadHint,
    MovedCopy,
    MoveFailure,
    MoveRefusal,
    NotExecuted,
    PeerUnavailable,
    ProbeOutcome,
    SendOptions,
)
from gooseberryquay.serving.upstream_record import UpstreamRecord, UpstreamState

__all__ = ["HttpUpstreamClient"]

MS_PER_S = 1000.0
# Late responses to earlier requests arrive one or two at a time.
STRAY_RESPONSES_MAX = 4
# Far above any expected response; the connection of a longer one is closed, not drained.
STRAY_BODY_BYTES_MAX = 1024 * 1024
# An engine does not begin a step of its batch that would end after its deadline.
DEADLINE_STEP_S = 0.05
HTTP_OK = 200
HTTP_REDIRECTION = 300
HTTP_MISDIRECTED = 421
HTTP_UNAVAILABLE = 503
FREE_TIMEOUT_S = 1.0
# Far more requests than any upstream holds.
COUNT_MAX = 1_000_000
PERCENT = 100.0
# Peers are near; one that does not accept within this time is left.
PEER_CONNECT_TIMEOUT_S = 0.3
# Far above the time that an upstream needs to accept a connection.
PROBE_CONNECT_TIMEOUT_S = 0.3
# No upstream has this id, so that each one answers at once and runs nothing.
NO_INSTANCE = "-"
# Several times a report on all runs of a large engine.
REPORT_BYTES_MAX = 256 * 1024


@dataclass
class EngineResponse:
    """Represent one response of an engine, whose body is still to be read."""

    status: int
    headers: Sequence[HeaderPair]
    is_not_run: bool
    is_other_instance: bool
    load: LoadHint | None
    is_leaving: bool
    pause_s: float | None
    rate_limit_per_s: float | None
    turn_aways_per_s: float | None
    connection: UpstreamConnection
    pool: ConnectionPool
    on_read: Callable[[], None] = lambda: None
    # When the engine stops work on the request, as it was told, on the monotonic clock.
    stops_at_s: float = math.inf

    def observe_reads(self, on_read: Callable[[], None]) -> None:
        """Call `on_read` with each part that is read from now on."""
        self.on_read = on_read

    def read(
        self, caller: CallerWatch, until_s: float
    ) -> Result[BodyPart | BodyEnd, IndeterminateOutcome | CallerLeft]:
        """Wait for the next part of the body."""
        match self.connection.read_body(caller, until_s):
            case Err(failure):
                return Err(_outcome_of_read(failure))
            case Ok(BodyEnd.CLOSED) if time.monotonic() >= self.stops_at_s - DEADLINE_STEP_S:
                # A response without framing ends the same way if the engine gives up.
                return Err(IndeterminateOutcome("closed at its deadline", is_timeout=True))
            case Ok(part):
                self.on_read()
                return Ok(part)

    def spend(self, pieces: int, caller: CallerWatch, until_s: float) -> None:
        """Account for pieces of the body; wait if there were too many for one answer."""
        self.connection.pace.spend(pieces, caller, until_s)

    def close(self) -> None:
        """Close the connection, which makes the engine cancel the request."""
        self.connection.close()

    def break_off(self) -> None:
        """Shut the connection down, which wakes a thread that reads from it."""
        self.connection.shut_down()

    def finish(self) -> None:
        """Return the connection to the pool while it remembers all requests that it has answered.

        A copy of an answer that it has forgotten could pass for the answer to the next try.
        """
        if len(self.connection.answered_ids) < ANSWERED_IDS_MAX:
            self.pool.release(self.connection)
        else:
            self.connection.close()


class HttpUpstreamClient:
    """Send requests to engines and services, and copy the KV cache of generations."""

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool

    def open(
        self, upstream: UpstreamRecord, call: Call, options: SendOptions, caller: CallerWatch
    ) -> Result[EngineResponse, NotExecuted | IndeterminateOutcome | CallerLeft]:
        """Send a request and wait for the head of its response."""
        match self._connect(upstream.address, call, options):
            case Err(failure):
                return Err(_not_executed(failure))
            case Ok(connection):
                return self._send(connection, upstream, call, options, caller)

    def open_through(
        self,
        carrier: Carrier,
        upstream: UpstreamRecord,
        call: Call,
        options: SendOptions,
        caller: CallerWatch,
    ) -> Result[EngineResponse, NotExecuted | IndeterminateOutcome | CallerLeft | PeerUnavailable]:
        """Send a request through a peer, and wait for the head of the engine's response."""
        connection = RelayedConnection(
            carrier.address,
            PEER_CONNECT_TIMEOUT_S,
            0.0,
            upstream=upstream.id,
            pace=self._pool.new_pace(),
        )
        if connection.connect(max(0.0, options.until_s - time.monotonic())) is not None:
            return Err(PeerUnavailable())
        connection.carried.enter_context(carrier.carried)
        opened = self._send(connection, upstream, call, options, caller)
        match opened:
            case Err(NotExecuted()) if connection.is_peer_unavailable:
                return Err(PeerUnavailable())
            case _:
                return opened

    def has_idle_connection(self, upstream: UpstreamRecord) -> bool:
        """Return whether an open connection to an upstream is idle."""
        pooled = self._pool.acquire(upstream.address)
        if pooled is None:
            return False
        self._pool.release(pooled)
        return True

    def _send(
        self,
        connection: UpstreamConnection,
        upstream: UpstreamRecord,
        call: Call,
        options: SendOptions,
        caller: CallerWatch,
    ) -> Result[EngineResponse, NotExecuted | IndeterminateOutcome | CallerLeft]:
        headers = _request_headers(upstream, call, options)
        failed = connection.send(call.method, call.target, headers, call.body, options.until_s)
        if failed is not None:
            connection.close()
            return Err(_indeterminate(failed))
        return self._read_response(connection, upstream.id, call, options, caller)

    def open_raw(
        self, upstream: UpstreamRecord, request: bytes, until_s: float
    ) -> Result[UpstreamConnection, TransportFailure]:
        """Send the bytes of a request on a new connection."""
        connection = self._pool.create(upstream.address)
        failure = connection.connect(max(0.0, until_s - time.monotonic()))
        if failure is None:
            failure = connection.send_raw(request, until_s=until_s)
        if failure is None:
            return Ok(connection)
        connection.close()
        return Err(failure)

    def parse_head(
        self, upstream: UpstreamRecord, head: bytes, connection: UpstreamConnection
    ) -> EngineResponse | None:
        """Parse the head of a response; return None if it is malformed."""
        protocol = h11.Connection(h11.CLIENT)
        protocol.send(h11.Request(method="GET", target="/", headers=[("host", "-")]))
        protocol.receive_data(head)
        try:
            event = protocol.next_event()
        except h11.RemoteProtocolError:
            return None
        if not isinstance(event, h11.Response):
            return None
        parsed = head_of(event)
        if parsed is None:
            return None
        return _response_of(parsed, upstream.id, connection, self._pool)

    def move(
        self, source: UpstreamRecord, id: RequestId, target: Address, is_final: bool, until_s: float
    ) -> Result[MovedCopy, MoveFailure]:
        """Copy a running generation's KV cache to another engine; a final copy also stops it."""
        body = json.dumps({"id": id, "target": str(target), "final": is_final}).encode()
        request = BufferedRequest("POST", names.KV_MOVE_PATH, body, REPORT_BYTES_MAX, is_final)
        moved = self._send_move(source, id, request, until_s)
        match moved:
            case Err(MoveFailure(MoveRefusal.NOT_SENT)) if is_final:
                pass
            case _:
                return moved
        # Open connections may live on where new ones are refused.
        kept = self._send_move(source, id, replace(request, needs_new_connection=False), until_s)
        match kept:
            case Err(MoveFailure(MoveRefusal.UNKNOWN_RUN | MoveRefusal.IN_PROGRESS)):
                # It may be a late copy of the answer to an earlier call.
                return Err(MoveFailure(MoveRefusal.FAILED))
            case _:
                return kept

    def _send_move(
        self, source: UpstreamRecord, id: RequestId, request: BufferedRequest, until_s: float
    ) -> Result[MovedCopy, MoveFailure]:
        match exchange(self._pool, source.address, request, until_s):
            case Err(ConnectionBroken() | TransportTimeout() as failure) if not failure.was_sent:
                return Err(MoveFailure(MoveRefusal.NOT_SENT))
            case Err(_):
                return Err(MoveFailure(MoveRefusal.FAILED))
            case Ok(reply) if dict(reply.headers).get(names.ATTEMPT_ID, id) not in {"", id}:
                return Err(MoveFailure(MoveRefusal.FAILED))
            case Ok(reply):
                return _read_copy(source.address, reply)

    def is_leaving(self, upstream: UpstreamRecord, until_s: float) -> bool | None:
        """Query whether an engine is draining; None if that incarnation does not respond."""
        request = BufferedRequest("GET", names.REPORT_PATH, b"", REPORT_BYTES_MAX)
        match exchange(self._pool, upstream.address, request, until_s):
            case Ok(BufferedReply(status=200, body=body, headers=headers)):
                return _read_leaving(upstream, body, dict(headers))
            case _:
                return None

    def listening_state(self, upstream: UpstreamRecord, until_s: float) -> ListeningState:
        """Probe with a new connection whether the upstream listens."""
        connection = self._pool.create(upstream.address)
        failure = connection.connect(max(0.0, until_s - time.monotonic()))
        connection.close()
        match failure:
            case None:
                return ListeningState.OPEN
            case ConnectionBroken():
                return ListeningState.REFUSED
            case TransportTimeout():
                return ListeningState.SILENT

    def probe(self, upstream: UpstreamRecord, answer_timeout_s: float) -> ProbeOutcome:
        """Ask an upstream on a new connection for any answer, without a slot or a run."""
        connection = self._pool.create(upstream.address)
        try:
            if connection.connect(PROBE_CONNECT_TIMEOUT_S) is not None:
                return ProbeOutcome.UNOPENED
            until_s = time.monotonic() + answer_timeout_s
            headers = [("host", str(upstream.address)), (names.EXPECT_INSTANCE, NO_INSTANCE)]
            if connection.send("GET", names.REPORT_PATH, headers, b"", until_s) is not None:
                return ProbeOutcome.UNANSWERED
            match connection.receive_raw(NullCallerWatch(), until_s):
                case Ok(received) if received:
                    return ProbeOutcome.ANSWERED
                case _:
                    return ProbeOutcome.UNANSWERED
        finally:
            connection.close()

    def free_copy(self, holder: Address, handle: CopyHandle) -> None:
        """Release a KV cache copy that is not used."""
        request = BufferedRequest(
            "DELETE", names.KV_HANDLE_PATH + handle.name, b"", REPORT_BYTES_MAX
        )
        exchange(self._pool, holder, request, time.monotonic() + FREE_TIMEOUT_S)

    def _connect(
        self, address: Address, call: Call, options: SendOptions
    ) -> Result[UpstreamConnection, TransportFailure]:
        pooled = None if options.needs_new_connection else self._pool.acquire(address)
        if pooled is not None:
            # A late copy of its earlier response would carry the id of a request sent again.
            if call.id not in pooled.answered_ids:
                return Ok(pooled)
            self._pool.release(pooled)
        connection = self._pool.create(address)
        failure = connection.connect(max(0.0, options.until_s - time.monotonic()))
        return Ok(connection) if failure is None else Err(failure)

    def _read_response(
        self,
        connection: UpstreamConnection,
        expected: UpstreamId,
        call: Call,
        options: SendOptions,
        caller: CallerWatch,
    ) -> Result[EngineResponse, NotExecuted | IndeterminateOutcome | CallerLeft]:
        for _ in range(STRAY_RESPONSES_MAX):
            match connection.read_head(caller, options.until_s):
                case Err(failure):
                    connection.close()
                    return Err(_outcome_of_head(failure))
                case Ok(head):
                    pass
            owner = head.value(names.ATTEMPT_ID)
            # On a reused connection, a response without an id may be a late duplicate for another.
            is_own = owner == call.id if connection.response_count else owner in {None, call.id}
            if is_own and _is_unproved_success(head):
                connection.close()
                return Err(IndeterminateOutcome("a success without the upstream's seal"))
            if is_own:
                connection.answered_ids.append(call.id)
                response = _response_of(head, expected, connection, self._pool)
                response.stops_at_s = min(options.until_s, call.deadline_at_s)
                return Ok(response)
            if not _skip_body(connection, caller, options.until_s):
                break
            connection.expect_another_response()
        connection.close()
        return Err(IndeterminateOutcome("the response does not match the request id"))


def _request_headers(
    upstream: UpstreamRecord, call: Call, options: SendOptions
) -> list[tuple[str, str]]:
    left_ms = max(1, int((min(options.until_s, call.deadline_at_s) - time.monotonic()) * MS_PER_S))
    headers = [("host", call.host), *call.headers]
    headers.append((names.DEADLINE_MS, str(left_ms)))
    headers.append((names.EXPECT_INSTANCE, upstream.id))
    if call.body or call.method not in {"GET", "HEAD", "DELETE"}:
        headers.append(("content-length", str(len(call.body))))
    if options.workspace is not None:
        headers.append((names.TENANT, options.workspace))
    if options.priority is not None:
        headers.append((names.PRIORITY, str(options.priority)))
    if options.backup is not None:
        headers.append((names.KV_BACKUP, str(options.backup)))
    if options.continuation is None:
        if call.resume_after is not None:
            headers.append((names.LAST_EVENT_ID, call.resume_after))
        return headers
    if options.continuation.last_event_id is not None:
        headers.append((names.LAST_EVENT_ID, options.continuation.last_event_id))
    copy = options.continuation.copy
    if copy is not None:
        headers.append((names.CONTINUE_FROM, f"{copy.source}/{copy.name}"))
    return headers


def _response_of(
    head: ResponseHead,
    expected: UpstreamId,
    connection: UpstreamConnection,
    pool: ConnectionPool,
) -> EngineResponse:
    is_marked = head.value(names.NOT_EXECUTED) is not None
    is_other = _is_other_instance(head, expected)
    headers = tuple(pair for pair in head.headers if pair[0] not in names.HOP_BY_HOP_HEADERS)
    load = _load_of(head.value(names.INSTANCE_LOAD))
    return EngineResponse(
        status=head.status,
        headers=headers,
        is_not_run=is_marked or is_other,
        is_other_instance=is_other,
        load=load,
        is_leaving=head.value(names.SERVER_LEAVING) is not None,
        pause_s=_pause_of(head),
        rate_limit_per_s=_limit_of(head.value(names.SERVER_LIMIT)),
        turn_aways_per_s=_limit_of(head.value(names.SERVER_BRITTLE)),
        connection=connection,
        pool=pool,
    )


def _is_unproved_success(head: ResponseHead) -> bool:
    """Return whether a response states a success that no upstream has sealed.

    Another server at the address may have sent it, and the request may not have run.
    """
    is_success = HTTP_OK <= head.status < HTTP_REDIRECTION
    return is_success and head.value(names.RESPONSE_SEAL) is None


def _is_other_instance(head: ResponseHead, expected: UpstreamId) -> bool:
    """Return whether an instance rejects a request that was addressed to another one.

    An engine seals only the responses to requests that it has executed.
    """
    if head.status != HTTP_MISDIRECTED or head.value(names.RESPONSE_SEAL) is not None:
        return False
    return head.value(names.INSTANCE_ID) != expected


def _pause_of(head: ResponseHead) -> float | None:
    """Return for how many seconds an engine that rejected a request asks for no more."""
    if head.status != HTTP_UNAVAILABLE:
        return None
    try:
        pause_s = float(head.value(names.RETRY_AFTER) or "")
    except ValueError:
        return None
    return pause_s if pause_s > 0.0 else None


def _limit_of(text: str | None) -> float | None:
    try:
        per_s = float(text or "")
    except ValueError:
        return None
    return per_s if math.isfinite(per_s) and per_s >= 0.0 else None


def _load_of(text: str | None) -> LoadHint | None:
    """Decode three counts and, from an upstream on a shared machine, its work time in percent.

    Further figures are ignored.
    """
    try:
        figures = [int(each) for each in (text or "").split(",")]
        running, waiting, slots, *further = figures
    except ValueError:
        return None
    if not all(0 <= each <= COUNT_MAX for each in figures):
        return None
    slowdown = further[0] / PERCENT if further and further[0] > 0 else None
    return LoadHint(running, waiting, slots, slowdown)


def _skip_body(connection: UpstreamConnection, caller: CallerWatch, until_s: float) -> bool:
    skipped_bytes = 0
    while skipped_bytes <= STRAY_BODY_BYTES_MAX:
        match connection.read_body(caller, until_s):
            case Err(_):
                return False
            case Ok(BodyEnd()):
                return True
            case Ok(BodyPart(content)):
                skipped_bytes += len(content)
    return False


def _not_executed(failure: TransportFailure) -> NotExecuted:
    return NotExecuted(failure.message, is_upstream_gone=isinstance(failure, ConnectionBroken))


def _indeterminate(failure: TransportFailure) -> IndeterminateOutcome:
    return IndeterminateOutcome(failure.message, isinstance(failure, TransportTimeout))


def _outcome_of_read(
    failure: TransportFailure | CallerLeft,
) -> IndeterminateOutcome | CallerLeft:
    return failure if isinstance(failure, CallerLeft) else _indeterminate(failure)


def _outcome_of_head(
    failure: TransportFailure | CallerLeft,
) -> NotExecuted | IndeterminateOutcome | CallerLeft:
    if isinstance(failure, CallerLeft) or failure.was_sent:
        return _outcome_of_read(failure)
    return _not_executed(failure)


def _read_leaving(upstream: UpstreamRecord, body: bytes, headers: Mapping[str, str]) -> bool | None:
    try:
        document = json.loads(body)
        born_ms, state = document.get("born"), document.get("state")
    except (ValueError, AttributeError, RecursionError):
        return None
    # The address may have been reassigned to another engine.
    is_other = headers.get(names.INSTANCE_ID, upstream.id) != upstream.id
    if is_other or born_ms not in {None, upstream.born_ms}:
        return None
    return names.SERVER_LEAVING in headers or state == UpstreamState.DRAINING.value


def _read_copy(source: Address, reply: BufferedReply) -> Result[MovedCopy, MoveFailure]:
    try:
        document = json.loads(reply.body) if reply.body else {}
        name = document.get("handle")
        events = int(document.get("created", 0))
    except (ValueError, TypeError, AttributeError, ArithmeticError, RecursionError):
        return Err(MoveFailure(MoveRefusal.FAILED))
    handle = CopyHandle(source, str(name)) if name is not None else None
    match reply.status:
        case 200 if handle is not None:
            return Ok(MovedCopy(handle, events))
        case 404:
            return Err(MoveFailure(MoveRefusal.UNKNOWN_RUN))
        case 409:
            return Err(MoveFailure(MoveRefusal.IN_PROGRESS))
        case 503:
            return Err(MoveFailure(MoveRefusal.NO_ROOM, handle))
        case _:
            return Err(MoveFailure(MoveRefusal.FAILED, handle))
