"""Failure detection: direct probes, then indirect probes, then suspicion."""

import random
import threading
import time
from collections import deque
from concurrent.futures import ThreadPoolExecutor

from pydantic import ValidationError
from result import Ok

from gooseberryquay.ids import EntryId
from gooseberryquay.links.http_client import Reply
from gooseberryquay.links.http_server import Request, Response
from gooseberryquay.machines.member_exchange import MemberExchange
from gooseberryquay.machines.member_messages import (
    MemberRecord,
    MemberState,
    RelayRequest,
    RelayResponse,
)
from gooseberryquay.machines.member_table import MemberTable
from gooseberryquay.machines.member_timing import MembershipTiming
from gooseberryquay.machines.peer_connections import PeerConnections

__all__ = ["RELAY_PATH", "MemberProber"]

RELAY_PATH = "/heartbeat/relay"
RELAYS = 3
HTTP_OK = 200
HTTP_BAD_REQUEST = 400


class MemberProber:
    """Probe the members one at a time, in an order that is shuffled for each round."""

    def __init__(
        self,
        table: MemberTable,
        exchange: MemberExchange,
        connections: PeerConnections,
        *,
        timing: MembershipTiming,
        rng: random.Random,
    ) -> None:
        self._table = table
        self._exchange = exchange
        self._connections = connections
        self._timing = timing
        self._rng = rng
        self._order: deque[EntryId] = deque()
        self._order_lock = threading.Lock()
        self._relays = ThreadPoolExecutor(max_workers=2 * RELAYS, thread_name_prefix="relay")

    def probe_next(self) -> None:
        """Probe the next present member; suspect it if no direct or indirect probe succeeds."""
        record = self._next_present()
        if record is not None:
            self._probe(record)

    def probe_removed(self) -> None:
        """Probe a removed member, so that it learns of its removal if it is still running."""
        removed = self._table.removed()
        if removed:
            record = self._rng.choice(removed)
            self._exchange.probe(record.control_address, record)

    def handle_relay(self, request: Request) -> Response:
        """Probe a member on behalf of another one."""
        try:
            target = RelayRequest.model_validate_json(request.body).target
        except ValidationError:
            return Response(status=HTTP_BAD_REQUEST)
        responder = self._exchange.probe(target.control_address, target)
        return Response(body=RelayResponse(is_reached=responder == target.id).encode())

    def close(self) -> None:
        """Stop the threads for indirect probes."""
        self._relays.shutdown(wait=False, cancel_futures=True)

    def _next_present(self) -> MemberRecord | None:
        with self._order_lock:
            if not self._order:
                members = [record.id for record in self._table.present()]
                self._rng.shuffle(members)
                self._order.extend(members)
            while self._order:
                record = self._table.get(self._order.popleft())
                if record is not None and record.is_present():
                    return record
        return None

    def _probe(self, record: MemberRecord) -> None:
        started_s = time.monotonic()
        if self._exchange.probe(record.control_address, record) == record.id:
            return
        if record.state is MemberState.SUSPECT or self._is_reached_indirectly(record):
            return
        if time.monotonic() - started_s <= self._probe_duration_max_s():
            self._table.suspect(record)

    def _probe_duration_max_s(self) -> float:
        """Return the duration beyond which this process, not the member, was too slow."""
        return 2 * (2 * self._timing.probe_timeout_s + self._timing.relay_timeout_s)

    def _is_reached_indirectly(self, record: MemberRecord) -> bool:
        others = [
            each
            for each in self._table.present()
            if each.id != record.id and each.state is MemberState.ALIVE
        ]
        relays = self._rng.sample(others, min(RELAYS, len(others)))
        return any(list(self._relays.map(lambda relay: self._reaches(relay, record), relays)))

    def _reaches(self, relay: MemberRecord, record: MemberRecord) -> bool:
        sent = self._connections.send(
            relay.control_address,
            "POST",
            RELAY_PATH,
            RelayRequest(target=record).encode(),
            self._timing.relay_timeout_s,
        )
        match sent:
            case Ok(Reply(status=status, body=body)) if status == HTTP_OK:
                return _is_reached(body)
            case _:
                return False


def _is_reached(body: bytes) -> bool:
    try:
        return RelayResponse.model_validate_json(body).is_reached
    except ValidationError:
        return False
