"""Experiment: control traffic of an entry at rest, in mass membership changes and in outages."""

import statistics
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack

import urllib3

from gooseberryquay.contracts.fields import Address
from gooseberryquay.ids import Revision
from gooseberryquay.links.http_server import HttpServer, Response, Router
from gooseberryquay.links.platform_client import PlatformClient
from gooseberryquay.machines.load_report import LoadReport
from gooseberryquay.standins.control_node import CONTROL_COST_PATH, CONTROL_ZONE, ControlCost
from gooseberryquay.standins.platform_control import PlatformControl
from gooseberryquay.standins.platform_faults import Outage, PlatformFaults
from gooseberryquay.standins.process import CommandProcess, find_free_port
from gooseberryquay.zones.configuration_change import SetZoneState
from gooseberryquay.zones.configuration_store import ConfigurationStore
from gooseberryquay.zones.zone_state import ZoneState

__all__ = ["ControlExperiment"]

HOST = "127.0.0.1"
SEEDS = 3
CONCURRENT_STARTS = 4
SAMPLE_S = 5.0
POLL_S_PER_NODE = 0.01
READ_TIMEOUT_S = 10.0
CONVERGENCE_TIMEOUT_S = 180.0


class ControlProcess:
    """One control node in a process of its own."""

    def __init__(self, number: int, port: int, arguments: tuple[str, ...]) -> None:
        self.port = port
        self.process = CommandProcess(
            *("members", "serve_control", "--id", f"entry-{number}", "--port", str(port)),
            *arguments,
        )

    def cost(self) -> ControlCost:
        """Read the node's byte counts and its view."""
        url = f"http://{HOST}:{self.port}{CONTROL_COST_PATH}"
        return ControlCost.model_validate_json(
            urllib3.request("GET", url, timeout=READ_TIMEOUT_S).data
        )


class ControlExperiment:
    """Start nodes as processes; replace a quarter of them, with and without the platform."""

    def __init__(self, count: int, seconds: float, settle_s: float) -> None:
        self._count = count
        self._seconds = seconds
        self._settle_s = settle_s
        self._threads = ThreadPoolExecutor(CONCURRENT_STARTS)
        self._nodes: list[ControlProcess] = []
        self._seed_ports = tuple(find_free_port() for _ in range(SEEDS))
        self._started = 0

    def run(self) -> None:
        """Run all phases, print the figures and end every process."""
        with ExitStack() as ends:
            ends.callback(self._kill, self._nodes)
            platform = ends.enter_context(CommandProcess("standin", "platform"))
            load = _load_server()
            ends.callback(load.stop)
            address = Address(HOST, platform.port)
            self._control = PlatformControl(address)
            self._store = ConfigurationStore(PlatformClient(address))
            self._arguments = (
                *("--seed_ports", "-".join(str(each) for each in self._seed_ports)),
                *("--platform_port", str(platform.port), "--load_port", str(load.port)),
            )
            self._run()

    def _run(self) -> None:
        self._add(self._count)
        self._wait_for(lambda cost: cost.peers == self._count and cost.is_fresh)
        time.sleep(self._settle_s)
        self._measure("at rest")
        self._time_zone_out("zone out at rest")
        self._control.set_faults(PlatformFaults(outage=Outage.REFUSE))
        self._measure("outage")
        self._control.set_faults(PlatformFaults())
        time.sleep(self._settle_s)
        self._change_many()
        self._time_zone_out("zone out in a mass change")
        self._measure("mass change")
        time.sleep(self._settle_s)
        self._control.set_faults(PlatformFaults(outage=Outage.REFUSE))
        self._change_many()
        self._measure("mass change in an outage")
        self._wait_for(lambda cost: cost.peers == self._count)

    def _add(self, count: int) -> None:
        added = []
        for _ in range(count):
            is_seed = self._started < SEEDS
            port = self._seed_ports[self._started] if is_seed else find_free_port()
            added.append(ControlProcess(self._started, port, self._arguments))
            self._started += 1
        self._nodes.extend(added)
        list(self._threads.map(lambda node: node.process.start(), added))

    def _change_many(self) -> None:
        """Kill a quarter of the nodes at the same time and start as many new ones."""
        quarter = self._count // 4
        killed = self._nodes[SEEDS : SEEDS + quarter]
        del self._nodes[SEEDS : SEEDS + quarter]
        self._kill(killed)
        self._add(quarter)

    def _kill(self, nodes: list[ControlProcess]) -> None:
        for node in nodes:
            node.process.kill()

    def _measure(self, name: str) -> None:
        before = self._costs()
        began_s = time.monotonic()
        samples = stale = 0
        while time.monotonic() - began_s < self._seconds:
            time.sleep(SAMPLE_S)
            after = self._costs()
            samples += len(after)
            stale += sum(not each.is_fresh for each in after)
        elapsed_s = time.monotonic() - began_s
        rates = [
            (last.total_bytes - first.total_bytes) / elapsed_s
            for first, last in zip(before, after, strict=True)
        ]
        _print_spread(f"{name}: sent and received B/s", rates)
        print(f"{name}: not fresh {stale} of {samples} samples", flush=True)

    def _costs(self) -> list[ControlCost]:
        return list(self._threads.map(ControlProcess.cost, self._nodes))

    def _time_zone_out(self, name: str) -> None:
        change = SetZoneState(zones=(CONTROL_ZONE,), state=ZoneState.OUT)
        began_s = time.monotonic()
        accepted = self._store.apply(change, "experiment").unwrap()
        _print_spread(
            f"{name}: in force after s", self._wait_for_revision(accepted.revision, began_s)
        )
        self._store.apply(change.model_copy(update={"state": ZoneState.IN}), "experiment").unwrap()

    def _wait_for_revision(self, revision: Revision, began_s: float) -> list[float]:
        return self._wait_for(lambda cost: cost.revision >= revision, began_s)

    def _wait_for(
        self, condition: Callable[[ControlCost], bool], began_s: float | None = None
    ) -> list[float]:
        """Poll every node until it meets a condition; return the times, in seconds."""
        began_s = time.monotonic() if began_s is None else began_s
        times_s: list[float] = []
        pending = list(self._nodes)
        while pending:
            met = list(self._threads.map(lambda node: condition(node.cost()), pending))
            now_s = time.monotonic() - began_s
            times_s.extend(now_s for is_met in met if is_met)
            pending = [node for node, is_met in zip(pending, met, strict=True) if not is_met]
            if now_s > CONVERGENCE_TIMEOUT_S:
                raise TimeoutError(f"{len(pending)} nodes did not meet the condition")
            time.sleep(POLL_S_PER_NODE * len(self._nodes))
        return times_s


def _load_server() -> HttpServer:
    router = Router()
    router.add("GET", "/load", lambda _request: Response.of(LoadReport(in_flight=1)))
    server = HttpServer(HOST, 0, router)
    server.start()
    return server


def _print_spread(name: str, values: list[float]) -> None:
    median = statistics.median(values)
    print(f"{name}: min {min(values):.2f} median {median:.2f} max {max(values):.2f}", flush=True)
