"""Run postings of many callers under a seeded fault schedule and check the history."""

import threading
import time
from collections import defaultdict
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from dataclasses import dataclass
from random import Random

from result import Ok

from gooseberryquay.contracts.fields import Address
from gooseberryquay.ids import IdempotencyKey
from gooseberryquay.links.http_server import Request
from gooseberryquay.postings import PostingSettings
from gooseberryquay.standins.fault_proxy import FaultProxy
from gooseberryquay.standins.platform_control import PlatformControl
from gooseberryquay.standins.posting_fleet.fleet import PostingFleet, build_key
from gooseberryquay.standins.posting_fleet.node import HOST
from gooseberryquay.standins.posting_fleet.posting_faults import FleetDependencies, PostingFaults
from gooseberryquay.standins.posting_fleet.verdict import Attempt, Verdict, check_history
from gooseberryquay.standins.process import CommandProcess
from gooseberryquay.standins.service import ServiceSettings, ServiceStandIn
from gooseberryquay.standins.service_messages import OperationResponse

__all__ = ["ScheduleOptions", "TimedService", "run_schedule"]

ARRIVALS_S = 5.0
ATTEMPTS_MAX = 5
RACE_PROBABILITY = 0.3
RACERS = 3
CALLER_TIMEOUT_S = (0.5, 10.0)
RETRY_PAUSE_S = (0.0, 1.0)
SETTLE_S = 3.0
SETTLE_TIMEOUT_S = 20.0
# Short timeouts and small heads cause refusals and seals within a schedule of seconds.
TIGHT_SETTINGS = PostingSettings(
    shard_count=4,
    head_bytes_max=4096,
    claim_timeout_s=0.8,
    record_timeout_s=0.5,
    owner_timeout_s=0.3,
    clock_skew_s=0.5,
)


@dataclass(frozen=True)
class ScheduleOptions:
    """Parameters of one schedule; equal options give the same arrivals and faults."""

    seed: int
    postings: int
    nodes: int


class TimedService(ServiceStandIn):
    """Service that records the execution times of each key, in seconds of the monotonic clock."""

    def __init__(self, delay_s: float = ServiceSettings.delay_s) -> None:
        super().__init__(ServiceSettings(delay_s), HOST)
        self.run_times_s: dict[IdempotencyKey, list[float]] = defaultdict(list)

    def _run(self, request: Request) -> OperationResponse:
        key = IdempotencyKey(request.headers["idempotency-key"])
        self.run_times_s[key].append(time.monotonic())
        return super()._run(request)


class _Callers:
    """Send postings to random nodes and retry them until a response or the attempt limit."""

    def __init__(self, fleet: PostingFleet, options: ScheduleOptions) -> None:
        self._fleet = fleet
        self._options = options
        self._lock = threading.Lock()
        self.attempts: list[Attempt] = []
        self.keys: list[IdempotencyKey] = []

    def run(self) -> None:
        """Send all postings of the schedule and wait until all callers are done."""
        numbers = range(self._options.postings)
        with ThreadPoolExecutor(self._options.postings) as pool:
            list(
                pool.map(
                    lambda number: self._call(Random(f"{self._options.seed}/{number}")), numbers
                )
            )

    def _call(self, rng: Random) -> None:
        time.sleep(rng.uniform(0, ARRIVALS_S))
        key = build_key(rng)
        with self._lock:
            self.keys.append(key)
        racers = RACERS if rng.random() < RACE_PROBABILITY else 1
        rngs = [Random(rng.random()) for _ in range(racers)]
        with ThreadPoolExecutor(racers) as pool:
            list(pool.map(lambda each: self._call_with_retries(each, key), rngs))

    def _call_with_retries(self, rng: Random, key: IdempotencyKey) -> None:
        for _ in range(ATTEMPTS_MAX):
            number = rng.randrange(len(self._fleet))
            attempt = self.attempt(number, key, rng.uniform(*CALLER_TIMEOUT_S))
            if attempt.reply is not None and attempt.reply.failure is None:
                return
            time.sleep(rng.uniform(*RETRY_PAUSE_S))

    def attempt(self, number: int, key: IdempotencyKey, timeout_s: float) -> Attempt:
        """Send one request and record its outcome."""
        sent_at_s = time.monotonic()
        sent = self._fleet.post(number, key, timeout_s)
        reply = sent.ok_value if isinstance(sent, Ok) else None
        attempt = Attempt(key, sent_at_s, time.monotonic(), reply)
        with self._lock:
            self.attempts.append(attempt)
        return attempt


def run_schedule(options: ScheduleOptions) -> Verdict:
    """Run one schedule with real processes and return its verdict."""
    with ExitStack() as stack:
        platform = stack.enter_context(CommandProcess("standin", "platform"))
        platform_proxies = [FaultProxy(Address(HOST, platform.port)) for _ in range(options.nodes)]
        service = TimedService()
        service.start()
        stack.callback(service.stop)
        service_proxy = FaultProxy(Address(HOST, service.port))
        for proxy in (*platform_proxies, service_proxy):
            proxy.start()
            stack.callback(proxy.stop)
        fleet = PostingFleet(
            [proxy.port for proxy in platform_proxies], service_proxy.port, settings=TIGHT_SETTINGS
        )
        stack.callback(fleet.stop)
        fleet.start()
        control = PlatformControl(Address(HOST, platform.port))
        faults = PostingFaults(
            Random(options.seed),
            fleet,
            FleetDependencies(control, platform_proxies, service, service_proxy),
        )
        return _run_history(options, fleet, faults, service)


def _run_history(
    options: ScheduleOptions, fleet: PostingFleet, faults: PostingFaults, service: TimedService
) -> Verdict:
    callers = _Callers(fleet, options)
    fault_thread = threading.Thread(target=faults.run)
    fault_thread.start()
    callers.run()
    faults.stop()
    fault_thread.join()
    time.sleep(SETTLE_S)
    faults.heal()
    attempts = list(callers.attempts)
    with ThreadPoolExecutor(options.nodes * 4) as pool:
        calls = [(number, key) for key in callers.keys for number in range(options.nodes)]
        final = list(
            pool.map(lambda call: callers.attempt(call[0], call[1], SETTLE_TIMEOUT_S), calls)
        )
    return check_history(options.seed, attempts, final, service.run_times_s, faults.counts)
