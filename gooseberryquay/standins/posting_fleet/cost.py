"""Cost of a posting with each claim store, measured one after another in one run."""

import time
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass
from random import Random

from hdrh.histogram import HdrHistogram
from result import Ok

from gooseberryquay.contracts.fields import Address
from gooseberryquay.ids import IdempotencyKey
from gooseberryquay.standins.platform_control import PlatformControl
from gooseberryquay.standins.platform_limits import CallKind
from gooseberryquay.standins.posting_fleet.fleet import PostingFleet, build_key
from gooseberryquay.standins.posting_fleet.node import HOST, ClaimStore
from gooseberryquay.standins.process import CommandProcess

__all__ = ["CostOptions", "PostingCost", "measure_costs"]

CALLER_THREADS = 256
WARM_UP_POSTINGS_PER_NODE = 4
US_PER_S = 1_000_000
US_PER_MS = 1000
MAX_LATENCY_US = 60 * US_PER_S
SIGNIFICANT_DIGITS = 3


@dataclass(frozen=True)
class PostingCost:
    """Cost of postings at one rate; calls, bytes and CPU time are per posting."""

    store: ClaimStore
    rate_per_s: float
    postings: int
    failed: int
    writes: float
    reads: float
    written_bytes: float
    p50_ms: float
    p99_ms: float
    node_cpu_ms: float
    node_resident_mb: float

    def __str__(self) -> str:
        return (
            f"{self.store.value:6} {self.rate_per_s:5g}/s n={self.postings} failed={self.failed} "
            f"writes={self.writes:.3f} reads={self.reads:.3f} bytes={self.written_bytes:.0f} "
            f"p50={self.p50_ms:.1f}ms p99={self.p99_ms:.1f}ms "
            f"cpu={self.node_cpu_ms:.2f}ms resident={self.node_resident_mb:.0f}MB"
        )


@dataclass(frozen=True)
class CostOptions:
    """Size of an experiment, and the write rate of the platform."""

    nodes: int
    seconds: float
    seed: int
    writes_per_s: float


@dataclass
class _LoadGenerator:
    """Send postings at the arrival times of a seeded Poisson process."""

    fleet: PostingFleet
    rng: Random
    rate_per_s: float
    seconds: float
    failed: int = 0

    def __post_init__(self) -> None:
        self.latency_us = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)

    def run(self) -> int:
        """Send all postings, wait for their responses and return the number sent."""
        started_at_s = time.monotonic()
        due_s = 0.0
        futures: list[Future[None]] = []
        with ThreadPoolExecutor(CALLER_THREADS) as pool:
            while (due_s := due_s + self.rng.expovariate(self.rate_per_s)) < self.seconds:
                due_at_s = started_at_s + due_s
                time.sleep(max(0.0, due_at_s - time.monotonic()))
                number = self.rng.randrange(len(self.fleet))
                futures.append(pool.submit(self._post, number, build_key(self.rng), due_at_s))
        for future in futures:
            future.result()
        return len(futures)

    def _post(self, number: int, key: IdempotencyKey, due_at_s: float) -> None:
        match self.fleet.post(number, key):
            case Ok(reply) if reply.failure is None:
                latency_us = int((time.monotonic() - due_at_s) * US_PER_S)
                self.latency_us.record_value(max(1, latency_us))
            case _:
                self.failed += 1


def measure_costs(rates: tuple[float, ...], options: CostOptions) -> Iterator[PostingCost]:
    """Measure each store at each rate, with a new platform and new nodes each time."""
    for rate_per_s in rates:
        for store in ClaimStore:
            yield _measure(store, rate_per_s, options)


def _measure(store: ClaimStore, rate_per_s: float, options: CostOptions) -> PostingCost:
    with CommandProcess(
        "standin", "platform", f"--writes_per_s={options.writes_per_s}"
    ) as platform:
        control = PlatformControl(Address(HOST, platform.port))
        fleet = PostingFleet([platform.port] * options.nodes, store=store)
        try:
            fleet.start()
            _warm_up(fleet, Random(options.seed))
            load = _LoadGenerator(fleet, Random(options.seed), rate_per_s, options.seconds)
            return _measure_load(control, load, store)
        finally:
            fleet.stop()


def _warm_up(fleet: PostingFleet, rng: Random) -> None:
    for number in range(len(fleet)):
        for _ in range(WARM_UP_POSTINGS_PER_NODE):
            fleet.post(number, build_key(rng))


def _measure_load(control: PlatformControl, load: _LoadGenerator, store: ClaimStore) -> PostingCost:
    before, cpu_before_s = control.counts(), _cpu_s(load.fleet)
    postings = load.run()
    after, cpu_after_s = control.counts(), _cpu_s(load.fleet)
    return PostingCost(
        store=store,
        rate_per_s=load.rate_per_s,
        postings=postings,
        failed=load.failed,
        writes=(after.calls(CallKind.WRITE) - before.calls(CallKind.WRITE)) / postings,
        reads=(after.calls(CallKind.READ) - before.calls(CallKind.READ)) / postings,
        written_bytes=(after.body_bytes(CallKind.WRITE) - before.body_bytes(CallKind.WRITE))
        / postings,
        p50_ms=load.latency_us.get_value_at_percentile(50) / US_PER_MS,
        p99_ms=load.latency_us.get_value_at_percentile(99) / US_PER_MS,
        node_cpu_ms=(cpu_after_s - cpu_before_s) * 1000 / postings,
        node_resident_mb=max(process.resident_mb() for process in load.fleet.processes),
    )


def _cpu_s(fleet: PostingFleet) -> float:
    return sum(process.cpu_s() for process in fleet.processes)
