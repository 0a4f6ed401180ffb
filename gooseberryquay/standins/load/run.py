"""Send the same calls to several variants concurrently."""

import sys
import threading
import time
from collections.abc import Sequence

from gooseberryquay.standins.load.arrivals import Arrival, LoadPlan, plan_arrivals
from gooseberryquay.standins.load.balancer import Balancer
from gooseberryquay.standins.load.call import Call
from gooseberryquay.standins.load.model_call import ModelCall
from gooseberryquay.standins.load.plain_call import PlainCall
from gooseberryquay.standins.load.run_clock import RunClock
from gooseberryquay.standins.load.sender import Sender
from gooseberryquay.standins.load.snapshot import TallySnapshot
from gooseberryquay.standins.load.summary import VariantSummary
from gooseberryquay.standins.load.tally import Tally
from gooseberryquay.standins.load.upstream_counts import UpstreamCountsDelta
from gooseberryquay.standins.load.variant import (
    DEFAULT_OPTIONS,
    WHOLE_PLAN,
    LoadOptions,
    Shard,
    Variant,
)

__all__ = ["LoadRun"]

STACK_BYTES = 256 * 1024
POLL_S = 0.05
PROGRESS_S = 1.0
START_DELAY_S = 0.2


class LoadRun:
    """Send all calls of a plan to each variant, with one thread per open call."""

    def __init__(
        self,
        plan: LoadPlan,
        variants: Sequence[Variant],
        options: LoadOptions = DEFAULT_OPTIONS,
        shard: Shard = WHOLE_PLAN,
    ) -> None:
        self._plan = plan
        self._variants = variants
        self._options = options
        self._shard = shard
        self._tallies = [Tally(each.name, plan, options.stall_gap_s) for each in variants]
        self._deltas = [UpstreamCountsDelta(each.upstreams) for each in variants]
        self._clock = RunClock()
        self._run_number = 0

    def run(self) -> list[VariantSummary]:
        """Send the calls, wait until they end and return the summary of each variant."""
        for delta in self._deltas:
            delta.start()
        snapshots = self.run_from(time.monotonic() + START_DELAY_S, time.time_ns())
        return [self._add_counts(each.summary, number) for number, each in enumerate(snapshots)]

    def run_from(self, started_at_s: float, run_number: int) -> list[TallySnapshot]:
        """Send the calls from a given start on the monotonic clock, and return the snapshots.

        The run number makes idempotency keys unique across runs against the same entries.
        """
        threading.stack_size(STACK_BYTES)
        self._clock.start(started_at_s)
        self._run_number = run_number
        planned = plan_arrivals(self._plan)
        arrivals = [each for each in planned if self._shard.includes(each.number)]
        drivers = [
            threading.Thread(target=self._run_variant, args=(variant, tally, arrivals), daemon=True)
            for variant, tally in zip(self._variants, self._tallies, strict=True)
        ]
        for driver in drivers:
            driver.start()
        self._wait(drivers)
        self._clock.stop()
        return [tally.close(self.elapsed_s()) for tally in self._tallies]

    def elapsed_s(self) -> float:
        """Return the time since the start of the run, in seconds."""
        return self._clock.elapsed_s()

    def _add_counts(self, summary: VariantSummary, number: int) -> VariantSummary:
        if self._variants[number].upstreams:
            summary.upstreams = self._deltas[number].summary()
        return summary

    def _run_variant(self, variant: Variant, tally: Tally, arrivals: list[Arrival]) -> None:
        balancer = Balancer(variant.entries, self._options.health_poll_s)
        balancer.start(self._clock.is_stopped)
        sender = Sender(balancer, self._options.idle_timeout_s)
        for arrival in arrivals:
            time.sleep(max(0.0, arrival.at_s - self.elapsed_s()))
            tally.record_arrival(arrival)
            if tally.open_calls < self._options.open_calls_max:
                call = self._new_call(sender, variant, arrival)
                tally.record_start(call.outcome)
                threading.Thread(target=_run_call, args=(call, tally), daemon=True).start()
            else:
                tally.record_not_started()

    def _new_call(self, sender: Sender, variant: Variant, arrival: Arrival) -> Call:
        if arrival.kind.is_generation():
            return ModelCall(self._plan, arrival, sender, self._clock, self._options.late_gap_s)
        key = f"{variant.name}-{self._run_number}-{arrival.number}"
        return PlainCall(self._plan, arrival, sender, self._clock, key)

    def _wait(self, drivers: list[threading.Thread]) -> None:
        printed_at_s = time.monotonic()
        stop_after_s = self._plan.duration_s + self._options.drain_s
        while self.elapsed_s() < stop_after_s:
            is_open = any(driver.is_alive() for driver in drivers)
            if not is_open and not any(tally.open_calls for tally in self._tallies):
                return
            time.sleep(POLL_S)
            if self._options.shows_progress and time.monotonic() - printed_at_s >= PROGRESS_S:
                printed_at_s = time.monotonic()
                states = "  ".join(tally.progress() for tally in self._tallies)
                print(f"{self.elapsed_s():6.1f} s  {states}", file=sys.stderr, flush=True)


def _run_call(call: Call, tally: Tally) -> None:
    tally.record_end(call.run())
