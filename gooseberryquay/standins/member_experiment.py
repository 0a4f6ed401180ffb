"""Experiment: cost of membership per node, and its convergence time."""

import signal
import statistics
import time
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor, wait
from dataclasses import dataclass

import urllib3

from gooseberryquay.ids import EntryId
from gooseberryquay.standins.member import COST_PATH, REPORT_PATH, MemberCost, MemberReport
from gooseberryquay.standins.process import CommandProcess, find_free_port

__all__ = ["MemberExperiment"]

HOST = "127.0.0.1"
SEEDS = 3
CONCURRENT_STARTS = 4
POLL_S = 0.1
READ_TIMEOUT_S = 10.0
CONVERGENCE_TIMEOUT_S = 180.0


@dataclass(frozen=True)
class Cost:
    """Resource use of one member; bytes and processor time are per second."""

    sent_bytes: float
    received_bytes: float
    processor_s: float
    resident_mib: float


class MemberProcess:
    """One membership stand-in in a process of its own."""

    def __init__(self, name: str, port: int, seed_ports: Sequence[int], speed: float) -> None:
        self.id = EntryId(name)
        seeds = "-".join(str(each) for each in seed_ports)
        self.process = CommandProcess(
            *("members", "serve", "--id", name, "--port", str(port)),
            *("--seed_ports", seeds, "--speed", str(speed)),
        )

    def cost(self) -> MemberCost:
        """Read the resource use of the member."""
        return MemberCost.model_validate_json(self._get(COST_PATH))

    def live_entries(self) -> set[EntryId]:
        """Return the ids of the entries that the member considers live."""
        report = MemberReport.model_validate_json(self._get(REPORT_PATH))
        return {peer.id for peer in report.live}

    def _get(self, path: str) -> bytes:
        url = f"http://{HOST}:{self.process.port}{path}"
        return urllib3.request("GET", url, timeout=READ_TIMEOUT_S).data


class MemberExperiment:
    """Measure members, run as processes, at rest, and then after a kill, a join and a leave."""

    def __init__(self, count: int, seconds: float, speed: float = 1.0) -> None:
        self._count = count
        self._seconds = seconds
        self._speed = speed
        self._seed_ports = [find_free_port() for _ in range(min(SEEDS, count))]
        self._members: list[MemberProcess] = []
        self._ended: list[MemberProcess] = []
        self._threads = ThreadPoolExecutor(CONCURRENT_STARTS)

    def run(self) -> None:
        """Run all phases, print the figures and end every process."""
        try:
            self._run()
        finally:
            for member in (*self._members, *self._ended):
                member.process.kill()

    def _run(self) -> None:
        started_s = time.monotonic()
        for number in range(self._count):
            self._add(number)
        self._start_all(self._members[:SEEDS])
        self._start_all(self._members[SEEDS:])
        print(f"members {self._count}, started in {time.monotonic() - started_s:.1f} s")
        joined_s = self._time_until(lambda seen: len(seen) == self._count)[-1]
        print(f"all know all after another {joined_s:.2f} s")
        self._print_costs()
        self._measure_kill()
        self._measure_join()
        self._measure_leave()

    def _start_all(self, members: list[MemberProcess]) -> None:
        started = [self._threads.submit(member.process.start) for member in members]
        wait(started)
        for each in started:
            each.result()

    def _add(self, number: int) -> MemberProcess:
        is_seed = number < len(self._seed_ports)
        port = self._seed_ports[number] if is_seed else 0
        member = MemberProcess(f"entry-{number}", port, self._seed_ports, self._speed)
        self._members.append(member)
        return member

    def _print_costs(self) -> None:
        time.sleep(self._seconds / 2)
        before = list(self._threads.map(MemberProcess.cost, self._members))
        started_s = time.monotonic()
        time.sleep(self._seconds)
        elapsed_s = time.monotonic() - started_s
        after = list(self._threads.map(MemberProcess.cost, self._members))
        costs = [_cost(*pair, elapsed_s) for pair in zip(before, after, strict=True)]
        _print_spread("sent B/s", [cost.sent_bytes for cost in costs])
        _print_spread("received B/s", [cost.received_bytes for cost in costs])
        _print_spread("processor % of a core", [100 * cost.processor_s for cost in costs])
        _print_spread("resident MiB", [cost.resident_mib for cost in costs])

    def _measure_kill(self) -> None:
        killed = self._members.pop()
        killed.process.kill()
        _print_spread("killed member removed after s", self._time_until_without(killed.id))

    def _measure_join(self) -> None:
        added = self._add(self._count)
        added.process.start()
        times_s = self._time_until(lambda seen: added.id in seen)
        _print_spread("new member known after s", times_s)

    def _measure_leave(self) -> None:
        leaving = self._members.pop()
        self._ended.append(leaving)
        leaving.process.send_signal(signal.SIGTERM)
        _print_spread("leave known after s", self._time_until_without(leaving.id))

    def _time_until_without(self, member: EntryId) -> list[float]:
        return self._time_until(lambda seen: member not in seen)

    def _time_until(self, condition: Callable[[set[EntryId]], bool]) -> list[float]:
        """Poll every member until its view meets a condition; return sorted times, in seconds."""
        started_s = time.monotonic()
        times_s: list[float] = []
        pending = list(self._members)
        while pending and time.monotonic() - started_s < CONVERGENCE_TIMEOUT_S:
            views = list(self._threads.map(MemberProcess.live_entries, pending))
            now_s = time.monotonic() - started_s
            met = [condition(view) for view in views]
            times_s.extend(now_s for is_met in met if is_met)
            pending = [each for each, is_met in zip(pending, met, strict=True) if not is_met]
            time.sleep(POLL_S)
        if pending:
            raise TimeoutError(f"{len(pending)} members did not converge")
        return times_s


def _cost(before: MemberCost, after: MemberCost, elapsed_s: float) -> Cost:
    return Cost(
        (after.sent_bytes - before.sent_bytes) / elapsed_s,
        (after.received_bytes - before.received_bytes) / elapsed_s,
        (after.processor_s - before.processor_s) / elapsed_s,
        after.resident_kib / 1024,
    )


def _print_spread(name: str, values: list[float]) -> None:
    median = statistics.median(values)
    print(f"{name}: min {min(values):.2f} median {median:.2f} max {max(values):.2f}", flush=True)
