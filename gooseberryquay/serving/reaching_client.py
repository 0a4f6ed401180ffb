"""Send requests to upstreams directly, or through a peer while none is reached."""

from dataclasses import replace
from typing import Protocol

from result import Err, Ok, Result

from gooseberryquay.contracts.fields import Address
from gooseberryquay.ids import EntryId, RequestId
from gooseberryquay.links.caller_watch import CallerWatch
from gooseberryquay.links.upstream_connection import CallerLeft
from gooseberryquay.serving.call import Call
from gooseberryquay.serving.ports import (
    Carrier,
    CopyHandle,
    IndeterminateOutcome,
    ListeningState,
    MovedCopy,
    MoveFailure,
    NotExecuted,
    OpenResponse,
    PeerUnavailable,
    SendOptions,
    UpstreamClient,
)
from gooseberryquay.serving.relay_peers import RelayPeers
from gooseberryquay.serving.upstream_reach import UpstreamReach
from gooseberryquay.serving.upstream_record import UpstreamRecord

__all__ = ["PeerClient", "ReachingClient"]

# Peers that are asked to carry one request.
PEERS_MAX = 4

Opened = Result[OpenResponse, NotExecuted | IndeterminateOutcome | CallerLeft]


class PeerClient(UpstreamClient, Protocol):
    """Send requests to upstreams on direct connections, or through a given peer."""

    def open_through(
        self,
        carrier: Carrier,
        upstream: UpstreamRecord,
        call: Call,
        options: SendOptions,
        caller: CallerWatch,
    ) -> Result[OpenResponse, NotExecuted | IndeterminateOutcome | CallerLeft | PeerUnavailable]:
        """Send a request through a peer."""

    def has_idle_connection(self, upstream: UpstreamRecord) -> bool:
        """Return whether an open connection to an upstream is idle."""


class ReachingClient:
    """Choose the way of each request, and record what that tells of the ways.

    Requests alone are sent through peers; calls that control generations are not.
    """

    def __init__(self, direct: PeerClient, reach: UpstreamReach, peers: RelayPeers) -> None:
        self._direct = direct
        self._reach = reach
        self._peers = peers

    def open(
        self, upstream: UpstreamRecord, call: Call, options: SendOptions, caller: CallerWatch
    ) -> Opened:
        """Send a request and wait for the response headers."""
        if self._reach.is_cut_off and not self._has_live_connection(upstream, options):
            opened = self._open_through_peers(upstream, call, options, caller)
            if opened is not None:
                return opened
        return self._open_directly(upstream, call, options, caller)

    def _open_directly(
        self, upstream: UpstreamRecord, call: Call, options: SendOptions, caller: CallerWatch
    ) -> Opened:
        if not self._reach.may_use_idle_connections():
            options = replace(options, needs_new_connection=True)
        with self._reach.waiting():
            opened = self._direct.open(upstream, call, options, caller)
        match opened:
            case Ok(response):
                self._reach.record_answer()
                response.observe_reads(self._reach.record_answer)
            case Err(NotExecuted() as failure):
                self._reach.record_failure(upstream.id)
                if self._reach.is_cut_off:
                    # An entry that reaches no upstream cannot tell whether one is gone.
                    return Err(replace(failure, is_upstream_gone=False))
            case Err(IndeterminateOutcome()):
                self._reach.record_failure(upstream.id)
            case Err(CallerLeft()):
                pass
        return opened

    def _has_live_connection(self, upstream: UpstreamRecord, options: SendOptions) -> bool:
        if options.needs_new_connection or not self._reach.may_use_idle_connections():
            return False
        return self._direct.has_idle_connection(upstream)

    def _open_through_peers(
        self, upstream: UpstreamRecord, call: Call, options: SendOptions, caller: CallerWatch
    ) -> Opened | None:
        """Send a request through a peer; return None if no peer carries it."""
        asked: set[EntryId] = set()
        while len(asked) < PEERS_MAX:
            peer = self._peers.choose(asked)
            if peer is None:
                return None
            asked.add(peer.id)
            carrier = Carrier(
                peer.control_address, self._peers.carrying(peer.id, call.id, upstream.id)
            )
            match self._direct.open_through(carrier, upstream, call, options, caller):
                case Err(PeerUnavailable()):
                    self._peers.avoid(peer.id)
                case Err(NotExecuted() | IndeterminateOutcome() | CallerLeft() as failure):
                    return Err(failure)
                case Ok(response):
                    return Ok(response)
        return None

    def move(
        self, source: UpstreamRecord, id: RequestId, target: Address, is_final: bool, until_s: float
    ) -> Result[MovedCopy, MoveFailure]:
        """Copy a generation's KV cache to another engine, and stop the run if `is_final`."""
        return self._direct.move(source, id, target, is_final, until_s)

    def is_leaving(self, upstream: UpstreamRecord, until_s: float) -> bool | None:
        """Query whether an engine is leaving; None if that incarnation does not respond."""
        return self._direct.is_leaving(upstream, until_s)

    def listening_state(self, upstream: UpstreamRecord, until_s: float) -> ListeningState:
        """Classify the address of an upstream.

        An entry that reaches no upstream cannot tell, and assumes that the upstream listens.
        """
        if self._reach.is_cut_off:
            return ListeningState.OPEN
        return self._direct.listening_state(upstream, until_s)

    def free_copy(self, holder: Address, handle: CopyHandle) -> None:
        """Free a copy that is not needed."""
        self._direct.free_copy(holder, handle)
