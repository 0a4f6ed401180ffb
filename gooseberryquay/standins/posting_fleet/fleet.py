"""Fleet of posting nodes, each a process, which can be paused, killed and restarted."""

import signal
import time
import uuid
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from random import Random

from result import Err, Ok, Result

from gooseberryquay.ids import IdempotencyKey
from gooseberryquay.links.http_client import HttpClient, TransportFailure
from gooseberryquay.postings import PostingSettings
from gooseberryquay.standins.posting_fleet.node import (
    HOST,
    POSTING_TIMEOUT_S,
    ClaimStore,
    LiveView,
    NodeOptions,
    PostingReply,
)
from gooseberryquay.standins.process import CommandProcess, find_free_port

__all__ = ["PostingFleet", "build_key"]

RESPONSE_MARGIN_S = 4.0
CONNECT_TIMEOUT_S = 0.5
RANDOM_BITS = 62
# An outgoing connection may briefly occupy the port of the node.
START_ATTEMPTS = 5
MS_PER_S = 1000


def build_key(rng: Random) -> IdempotencyKey:
    """Return a UUIDv7 key with the current time."""
    time_ms = int(time.time() * MS_PER_S)
    low = rng.getrandbits(RANDOM_BITS)
    middle = rng.getrandbits(12)
    return IdempotencyKey(
        str(uuid.UUID(int=time_ms << 80 | 7 << 76 | middle << 64 | 2 << RANDOM_BITS | low))
    )


class PostingFleet:
    """Run posting nodes on fixed ports, each with its own address of the platform."""

    def __init__(
        self,
        platform_ports: Sequence[int],
        service_port: int = 0,
        store: ClaimStore = ClaimStore.LOG,
        settings: PostingSettings | None = None,
        dispatch_delay_s: float = 0.0,
    ) -> None:
        ports = _find_free_ports(len(platform_ports))
        self._options = [
            NodeOptions(
                number=number,
                ports=ports,
                platform_port=platform_port,
                service_port=service_port,
                store=store,
                settings=settings or PostingSettings(),
                dispatch_delay_s=dispatch_delay_s,
            )
            for number, platform_port in enumerate(platform_ports)
        ]
        self.processes = [_process(options) for options in self._options]
        self._clients = [HttpClient(HOST, port, CONNECT_TIMEOUT_S) for port in ports]

    def __len__(self) -> int:
        return len(self.processes)

    def start(self) -> None:
        """Start all nodes."""
        with ThreadPoolExecutor() as pool:
            list(pool.map(CommandProcess.start, self.processes))

    def stop(self) -> None:
        """Kill all nodes."""
        for process in self.processes:
            process.kill()

    def kill(self, number: int) -> None:
        """Kill a node."""
        self.processes[number].kill()

    def restart(self, number: int) -> None:
        """Restart a killed node as a new incarnation with no state.

        Raises `RuntimeError` if the node cannot be started on its port.
        """
        options = self._options[number]
        options = options.model_copy(update={"incarnation": options.incarnation + 1})
        self._options[number] = options
        self.processes[number] = _process(options)
        for _ in range(START_ATTEMPTS):
            with suppress(RuntimeError):
                self.processes[number].start()
                return
        raise RuntimeError(f"node {number} could not be restarted on its port")

    def pause(self, number: int) -> None:
        """Pause a node with SIGSTOP."""
        self.processes[number].send_signal(signal.SIGSTOP)

    def resume(self, number: int) -> None:
        """Resume a paused node, if it has not been killed."""
        with suppress(ProcessLookupError):
            self.processes[number].send_signal(signal.SIGCONT)

    def set_view(self, number: int, seen: tuple[int, ...]) -> None:
        """Set the nodes that one node considers alive; ignored if it is unreachable."""
        body = LiveView(numbers=seen).model_dump_json().encode()
        self._clients[number].send("POST", "/standin/view", body)

    def post(
        self, number: int, key: IdempotencyKey, timeout_s: float | None = None
    ) -> Result[PostingReply, TransportFailure]:
        """Send a posting to one node and return its reply."""
        wait_s = timeout_s or POSTING_TIMEOUT_S + RESPONSE_MARGIN_S
        sent = self._clients[number].send("POST", f"/postings/{key}", b"{}", None, wait_s)
        match sent:
            case Err(failure):
                return Err(failure)
            case Ok(reply):
                return Ok(PostingReply.model_validate_json(reply.body))


def _find_free_ports(count: int) -> tuple[int, ...]:
    ports: set[int] = set()
    while len(ports) < count:
        ports.add(find_free_port())
    return tuple(ports)


def _process(options: NodeOptions) -> CommandProcess:
    return CommandProcess("standin", "posting_node", "--options", options.model_dump_json())
