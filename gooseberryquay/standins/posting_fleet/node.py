"""Posting executor in its own process, with a fixed list of peers."""

import time
from collections.abc import Sequence
from enum import Enum

from pydantic import BaseModel
from result import Err, Ok, Result

from gooseberryquay.contracts.fields import Address, FrozenModel
from gooseberryquay.contracts.service import RepeatPolicy
from gooseberryquay.errors import Ran
from gooseberryquay.ids import (
    ClaimToken,
    EntryId,
    IdempotencyKey,
    Incarnation,
    OperationName,
    RequestId,
    ServiceId,
    WorkspaceId,
    ZoneId,
)
from gooseberryquay.links.dispatch_outcome import DispatchOutcome, UpstreamResponse
from gooseberryquay.links.http_client import HttpClient, Reply, TransportFailure
from gooseberryquay.links.http_server import HttpServer, Request, Response, Router
from gooseberryquay.links.platform_client import PlatformClient
from gooseberryquay.links.service_client import ServiceCall, ServiceClient
from gooseberryquay.machines.peer import Peer
from gooseberryquay.postings import Posting, PostingExecutor, PostingSettings
from gooseberryquay.postings.object_per_key_claim_registry import ObjectPerKeyClaimRegistry
from gooseberryquay.standins.posting_fleet.no_claims import NoClaimRegistry

__all__ = ["ClaimStore", "NodeOptions", "PostingNode", "PostingReply"]

HOST = "127.0.0.1"
OPERATION = OperationName("post-weight")
POSTING_TIMEOUT_S = 8.0
SERVICE_TIMEOUT_S = 1.5
PLATFORM_TIMEOUT_S = 1.0


class ClaimStore(Enum):
    """Storage of claims."""

    LOG = "log"
    OBJECT = "object"
    NONE = "none"


class NodeOptions(FrozenModel):
    """Options of one node; `ports` lists the control ports of all nodes, including its own."""

    number: int
    ports: tuple[int, ...]
    platform_port: int
    service_port: int = 0
    store: ClaimStore = ClaimStore.LOG
    incarnation: int = 1
    dispatch_delay_s: float = 0.0
    settings: PostingSettings = PostingSettings()


class PostingReply(BaseModel):
    """Outcome of a posting, for tests."""

    failure: str | None = None
    ran: Ran | None = None
    body: str = ""
    message: str = ""


class LiveView(BaseModel):
    """Numbers of the nodes that this one considers alive."""

    numbers: tuple[int, ...]


class NodePeers:
    """Peers whose liveness is set explicitly by `numbers`."""

    def __init__(self, options: NodeOptions) -> None:
        self._own_number = options.number
        self._all = [_peer(number, port, options) for number, port in enumerate(options.ports)]
        self._clients = [HttpClient(HOST, port, 0.3) for port in options.ports]
        self.numbers: Sequence[int] = range(len(self._all))

    def this_entry(self) -> Peer:
        """Return this node."""
        return self._all[self._own_number]

    def live(self) -> tuple[Peer, ...]:
        """Return the nodes that this one considers alive."""
        return tuple(self._all[number] for number in self.numbers)

    def send(
        self, to: Peer, path: str, message: BaseModel, timeout_s: float
    ) -> Result[Reply, TransportFailure]:
        """POST a message as JSON."""
        client = self._clients[self._all.index(to)]
        return client.send("POST", path, message.model_dump_json().encode(), None, timeout_s)


def _peer(number: int, port: int, options: NodeOptions) -> Peer:
    is_this_node = number == options.number
    return Peer(
        id=EntryId(f"node-{number}"),
        incarnation=Incarnation(options.incarnation if is_this_node else 1),
        zone=ZoneId("a"),
        control_address=Address(HOST, port),
    )


class PostingNode:
    """Serve postings to tests, and claims to the other nodes."""

    def __init__(self, options: NodeOptions) -> None:
        self._dispatch_delay_s = options.dispatch_delay_s
        self._peers = NodePeers(options)
        platform = PlatformClient(Address(HOST, options.platform_port), 0.3, PLATFORM_TIMEOUT_S)
        self._executor = _build_executor(options, platform, self._peers)
        self._service = None
        if options.service_port:
            address = Address(HOST, options.service_port)
            self._service = ServiceClient(address, 0.5, SERVICE_TIMEOUT_S)
        router = Router()
        router.add("POST", "/postings/{key}", self._serve_posting)
        router.add("POST", "/standin/view", self._set_view)
        self._executor.add_routes(router)
        self._server = HttpServer(HOST, options.ports[options.number], router)

    def start(self) -> None:
        """Start serving in the background."""
        self._executor.start()
        self._server.start()

    def stop(self) -> None:
        """Finish the postings in progress, then stop."""
        self._executor.close(POSTING_TIMEOUT_S)
        self._server.stop()

    @property
    def port(self) -> int:
        """Return the bound TCP port."""
        return self._server.port

    def _set_view(self, request: Request) -> Response:
        self._peers.numbers = LiveView.model_validate_json(request.body).numbers
        return Response(body=b"{}")

    def _serve_posting(self, request: Request) -> Response:
        posting = Posting(
            workspace=WorkspaceId("plant-1"),
            service=ServiceId("ledger-app"),
            operation=OPERATION,
            key=IdempotencyKey(request.path_values["key"]),
            body=request.body,
            deadline_at_s=time.monotonic() + POSTING_TIMEOUT_S,
            after_response=request.after_response,
        )
        match self._executor.run_once(posting, lambda token: self._dispatch(posting, token)):
            case Ok(answer):
                return Response.of(PostingReply(body=answer.body.decode()))
            case Err(failure):
                reply = PostingReply(failure=failure.type, ran=failure.ran, message=failure.message)
                return Response.of(reply, failure.status)

    def _dispatch(self, posting: Posting, token: ClaimToken) -> DispatchOutcome:
        time.sleep(self._dispatch_delay_s)
        if self._service is None:
            return UpstreamResponse(200, "application/json", b"{}")
        call = ServiceCall(
            posting.operation,
            RequestId(token),
            posting.body,
            RepeatPolicy.NEVER,
            SERVICE_TIMEOUT_S,
            posting.key,
        )
        return self._service.send(call)


def _build_executor(
    options: NodeOptions, platform: PlatformClient, peers: NodePeers
) -> PostingExecutor:
    match options.store:
        case ClaimStore.LOG:
            return PostingExecutor(platform, peers, options.settings)
        case ClaimStore.OBJECT:
            return PostingExecutor(
                platform, peers, options.settings, ObjectPerKeyClaimRegistry(platform)
            )
        case ClaimStore.NONE:
            return PostingExecutor(platform, peers, options.settings, NoClaimRegistry())
